//===- Ring.h - Bounded store of recent events ------------------*- C++ -*-===//
//
// Ring buffer of the newest events of one process. A writer reserves a slot by
// one atomic addition and locks only that slot, so two writers contend only if
// the ring wraps around during one write. No operation locks the whole ring.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTimeline/Event.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace figlift::timeline {

class Ring {
public:
  explicit Ring(size_t Capacity);

  /// Overwrites the oldest event with \p New. Thread-safe.
  void push(Event New);
  /// Returns the events after \p After, sorted by timestamp. Thread-safe.
  std::vector<Event> after(Stamp After) const;
  size_t capacity() const { return m_Capacity; }
  /// Number of events overwritten since the process started.
  uint64_t overwritten() const;

private:
  struct Slot {
    mutable std::mutex Mutex;
    /// 1 + the number of the stored event; 0 while empty. Increases
    /// monotonically: a writer that was paused while the ring wrapped around
    /// must not replace a newer event.
    uint64_t Sequence = 0;
    Event Stored;
  };

  const size_t m_Capacity;
  const std::unique_ptr<Slot[]> m_Slots;
  /// Number of the next event; its slot is the number modulo the capacity.
  std::atomic<uint64_t> m_Next{0};
};

} // namespace figlift::timeline
