//===- InFlightTracker.cpp - Gauges of all targets of an entry --*- C++ -*-===//
//
// Registry of gauges, and tickets of attempts.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/InFlightTracker.h"

namespace figlift::route {

std::shared_ptr<TargetGauge> InFlightTracker::gauge(const std::string &Target) {
  std::lock_guard Lock(m_Mutex);
  auto &Slot = m_Gauges[Target];
  if (!Slot)
    Slot = std::make_shared<TargetGauge>();
  return Slot;
}

void InFlightTracker::removeUnused() {
  std::lock_guard Lock(m_Mutex);
  std::erase_if(m_Gauges, [](const auto &Entry) {
    return Entry.second.use_count() == 1;
  });
}

size_t InFlightTracker::size() const {
  std::lock_guard Lock(m_Mutex);
  return m_Gauges.size();
}

InFlightTicket::InFlightTicket(std::shared_ptr<TargetGauge> Gauge,
                               SentWork Work)
    : m_Gauge(std::move(Gauge)), m_Work(Work) {
  if (m_Gauge)
    m_Gauge->recordSent(m_Work);
}

InFlightTicket &InFlightTicket::operator=(InFlightTicket &&Other) noexcept {
  if (this == &Other)
    return *this;
  settle();
  m_Gauge = std::move(Other.m_Gauge);
  m_Work = Other.m_Work;
  return *this;
}

void InFlightTicket::settle() {
  if (!m_Gauge)
    return;
  m_Gauge->recordSettled(m_Work);
  m_Gauge.reset();
}

} // namespace figlift::route
