//===- InFlightTracker.h - Gauges of all targets of an entry ----*- C++ -*-===//
//
// Owns one TargetGauge for each target and keeps it across rebuilds of the
// routing table. The lock is taken when a table is built or a gauge is looked
// up by target id, never while a request is routed: each TargetView holds its
// gauge.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibRoute/TargetGauge.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace figlift::route {

class InFlightTracker {
public:
  /// Returns the gauge of \p Target, created on first use.
  std::shared_ptr<TargetGauge> gauge(const std::string &Target);
  /// Removes gauges without other owners.
  void removeUnused();
  size_t size() const;

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, std::shared_ptr<TargetGauge>> m_Gauges;
};

/// Counts one attempt in the gauge of its target until it is settled, at the
/// latest when the ticket is destroyed.
class InFlightTicket {
public:
  InFlightTicket() = default;
  InFlightTicket(std::shared_ptr<TargetGauge> Gauge, SentWork Work);
  InFlightTicket(InFlightTicket &&Other) noexcept = default;
  InFlightTicket &operator=(InFlightTicket &&Other) noexcept;
  ~InFlightTicket() { settle(); }

  /// Removes the attempt from the gauge, because the target's reports include
  /// it from now on, or because it has ended. Further calls have no effect.
  void settle();

private:
  /// Null once settled.
  std::shared_ptr<TargetGauge> m_Gauge;
  SentWork m_Work;
};

} // namespace figlift::route
