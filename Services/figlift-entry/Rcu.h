//===- Rcu.h - Read-copy-update of whole snapshots --------------*- C++ -*-===//
//
// The request path reads the routing table and the configuration without a
// lock and without writing to memory that other threads read.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/RcuReadSection.h"

#include <atomic>
#include <memory>
#include <utility>

namespace figlift::entry {

/// Holds one snapshot. One thread publishes; any thread reads.
template <typename T> class RcuPointer {
public:
  RcuPointer() : m_Now(new T()) {}
  ~RcuPointer() { delete m_Now.load(); }
  RcuPointer(const RcuPointer &) = delete;
  RcuPointer &operator=(const RcuPointer &) = delete;

  /// Calls \p Use with the snapshot inside a read-side critical section:
  /// \p Use must not block and must keep no reference into the snapshot.
  template <typename Function> auto read(Function &&Use) const {
    const config::RcuReadSection Section;
    return Use(*m_Now.load(std::memory_order_acquire));
  }

  /// Replaces the snapshot; returns when the old one is destroyed. Not inside
  /// read().
  void publish(std::unique_ptr<const T> Next) {
    const std::unique_ptr<const T> Old(
        m_Now.exchange(Next.release(), std::memory_order_acq_rel));
    config::waitForReaders();
  }

private:
  std::atomic<const T *> m_Now;
};

} // namespace figlift::entry
