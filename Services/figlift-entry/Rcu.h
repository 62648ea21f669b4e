//===- Rcu.h - Read-copy-update of snapshots --------------------*- C++ -*-===//
//
// Lets the request path read the routing table and the configuration without a
// lock and without writing to memory that other threads read.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/RcuReadSection.h"

#include <atomic>
#include <memory>
#include <utility>

namespace figlift::entry {

/// Holds one snapshot. Only one thread may publish; any thread may read.
template <typename T> class RcuPointer {
public:
  RcuPointer() : m_Current(new T()) {}
  ~RcuPointer() { delete m_Current.load(); }
  RcuPointer(const RcuPointer &) = delete;
  RcuPointer &operator=(const RcuPointer &) = delete;

  /// Calls \p Use with the snapshot inside a read-side critical section. \p Use
  /// must not block and must not keep references into the snapshot.
  template <typename Function> auto read(Function &&Use) const {
    const config::RcuReadSection Section;
    return Use(*m_Current.load(std::memory_order_acquire));
  }

  /// Replaces the snapshot and destroys the old one once all its readers have
  /// finished. Must not be called inside read().
  void publish(std::unique_ptr<const T> Next) {
    const std::unique_ptr<const T> Old(
        m_Current.exchange(Next.release(), std::memory_order_acq_rel));
    config::waitForReaders();
  }

private:
  std::atomic<const T *> m_Current;
};

} // namespace figlift::entry
