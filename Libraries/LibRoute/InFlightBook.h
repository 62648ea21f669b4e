//===- InFlightBook.h - Gauges of all targets of an entry -------*- C++ -*-===//
//
// Hands out one TargetGauge for each target and keeps it over rebuilds of the
// routing table. The lock is taken when a table is built or a ticket made from
// an id, never while a request is routed: a TargetView holds its gauge.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibRoute/TargetGauge.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace figlift::route {

class InFlightBook {
public:
  /// The gauge of \p Target, made on first use.
  std::shared_ptr<TargetGauge> gauge(const std::string &Target);
  /// Drops the gauges that nobody else holds.
  void forgetUnused();
  size_t size() const;

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, std::shared_ptr<TargetGauge>> m_Gauges;
};

/// One attempt in the book of its target; settles itself once, at the latest
/// when it is destroyed.
class InFlightTicket {
public:
  InFlightTicket() = default;
  InFlightTicket(std::shared_ptr<TargetGauge> Gauge, SentWork Work);
  InFlightTicket(InFlightTicket &&Other) noexcept = default;
  InFlightTicket &operator=(InFlightTicket &&Other) noexcept;
  ~InFlightTicket() { settle(); }

  /// The target accounts for the attempt from now on, or it has ended.
  void settle();

private:
  /// Null once settled.
  std::shared_ptr<TargetGauge> m_Gauge;
  SentWork m_Work;
};

} // namespace figlift::route
