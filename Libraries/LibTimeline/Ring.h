//===- Ring.h - Bounded store of recent events ------------------*- C++ -*-===//
//
// Keeps the newest events of one process. Writers take a place by one atomic
// addition and then lock that place alone, so two of them meet only when the
// ring wraps around within one write; no thread ever waits for the whole ring.
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

  /// Keeps \p New in place of the oldest event. Any thread.
  void push(Event New);
  /// Events after \p After in order of their stamps. Any thread.
  std::vector<Event> after(Stamp After) const;
  size_t capacity() const { return m_Capacity; }
  /// Events that were overwritten since the start.
  uint64_t overwritten() const;

private:
  struct Slot {
    mutable std::mutex Mutex;
    /// 1 + the number of the event held; 0 while empty. Only grows: a writer
    /// that was paused for a whole round must not replace a newer event.
    uint64_t Sequence = 0;
    Event Held;
  };

  const size_t m_Capacity;
  const std::unique_ptr<Slot[]> m_Slots;
  /// Number of the next event; its slot is the remainder by the capacity.
  std::atomic<uint64_t> m_Next{0};
};

} // namespace figlift::timeline
