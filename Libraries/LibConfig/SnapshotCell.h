//===- SnapshotCell.h - The current snapshot under RCU ----------*- C++ -*-===//
//
// Every request reads the configuration. Readers take no lock and write no
// shared memory (liburcu); one writer replaces the snapshot and frees the old
// one when the last reader has left it.
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
  /// read-side critical section: \p Use must not block and must keep no
  /// reference to the snapshot's parts.
  template <typename Function> auto read(Function &&Use) const {
    RcuReadSection Section;
    const auto *Current = m_Current.load(std::memory_order_acquire);
    return Use(Current ? Current->get() : nullptr);
  }

  /// The current snapshot, to be kept as long as the caller likes.
  SnapshotPointer get() const;

  /// Replaces the snapshot; waits for the readers of the old one. One thread
  /// at a time, and not inside read().
  void publish(SnapshotPointer Next);

private:
  std::atomic<const SnapshotPointer *> m_Current = nullptr;
};

} // namespace figlift::config
