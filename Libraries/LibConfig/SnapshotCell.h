//===- SnapshotCell.h - The current snapshot under RCU ----------*- C++ -*-===//
//
// Every request reads the configuration. Readers neither take a lock nor write
// shared memory (liburcu); one writer replaces the snapshot and frees the old
// one after its last reader has finished.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/RcuReadSection.h"
#include "LibConfig/Snapshot.h"

#include <atomic>

namespace figlift::config {

class SnapshotCell {
public:
  SnapshotCell() = default;
  ~SnapshotCell();
  SnapshotCell(const SnapshotCell &) = delete;
  SnapshotCell &operator=(const SnapshotCell &) = delete;

  /// Calls \p Use with the current snapshot (null before the first) inside a
  /// read-side critical section. \p Use must not block and must not keep
  /// references into the snapshot.
  template <typename Function> auto read(Function &&Use) const {
    RcuReadSection Section;
    const auto *Current = m_Current.load(std::memory_order_acquire);
    return Use(Current ? Current->get() : nullptr);
  }

  /// The current snapshot; the caller may keep it for any time.
  SnapshotPointer get() const;

  /// Replaces the snapshot and waits for the readers of the old one. Must be
  /// called by one thread at a time, and not inside read().
  void publish(SnapshotPointer Next);

private:
  std::atomic<const SnapshotPointer *> m_Current = nullptr;
};

} // namespace figlift::config
