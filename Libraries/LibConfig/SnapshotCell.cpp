//===- SnapshotCell.cpp - The current snapshot under RCU ------------------===//
//
// Thin cover of liburcu's memb flavour.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/SnapshotCell.h"

#include <urcu/urcu-memb.h>

namespace figlift::config {

namespace {

struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

} // namespace

SnapshotCell::ReadSection::ReadSection() {
  thread_local ThreadRegistration Registration;
  urcu_memb_read_lock();
}

SnapshotCell::ReadSection::~ReadSection() { urcu_memb_read_unlock(); }

SnapshotCell::~SnapshotCell() { publish(nullptr); }

SnapshotPointer SnapshotCell::get() const {
  ReadSection Section;
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
  urcu_memb_synchronize_rcu();
  delete Old;
}

} // namespace figlift::config
