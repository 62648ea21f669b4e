//===- SnapshotCell.cpp - The current snapshot under RCU ------------------===//
//
// Replaces the snapshot and waits for its readers.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/SnapshotCell.h"

namespace figlift::config {

SnapshotCell::~SnapshotCell() { publish(nullptr); }

SnapshotPointer SnapshotCell::get() const {
  RcuReadSection Section;
  const auto *Current = m_Current.load(std::memory_order_acquire);
  return Current ? *Current : nullptr;
}

void SnapshotCell::publish(SnapshotPointer Next) {
  const SnapshotPointer *Replacement =
      Next ? new SnapshotPointer(std::move(Next)) : nullptr;
  const SnapshotPointer *Old =
      m_Current.exchange(Replacement, std::memory_order_acq_rel);
  if (!Old)
    return;
  waitForReaders();
  delete Old;
}

} // namespace figlift::config
