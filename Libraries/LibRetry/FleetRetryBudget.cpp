//===- FleetRetryBudget.cpp - Retry budget shared by a fleet ----*- C++ -*-===//
//
// Keeps the send times of the window in a queue. Rates are a few hundred per
// second at most, so the queues stay short.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/FleetRetryBudget.h"

#include <algorithm>

namespace figlift::retry {

void FleetRetryBudget::setStartPlace(size_t Place) {
  if (!m_StartPlace)
    m_StartPlace = Place;
}

/// In its second window a process that began with a share by its place takes
/// at most that: the first ones, whose first shares exceed the equal one, have
/// to come down to it before the others rise to it.
double FleetRetryBudget::baseShare(BootTime Now) const {
  size_t Processes = 1;
  for (const auto &[At, Live] : m_Processes)
    Processes = std::max(Processes, Live);
  const double Equal = 1 / static_cast<double>(Processes);
  const auto Place = static_cast<double>(m_StartPlace.value_or(0));
  const double First = m_StartPlace ? 1 / (Place * (Place + 1)) : 0;
  const auto Age = Now - m_Started;
  if (Age < m_Settings.Window)
    return First;
  return m_StartPlace && Age < 2 * m_Settings.Window ? std::min(First, Equal)
                                                     : Equal;
}

void FleetRetryBudget::setProcessCount(size_t Live, BootTime Now) {
  while (!m_Processes.empty() &&
         m_Processes.front().first + m_Settings.Window < Now)
    m_Processes.pop_front();
  m_Processes.emplace_back(Now, Live);
}

void FleetRetryBudget::expire(std::deque<BootTime> &Times, BootTime Now) const {
  while (!Times.empty() && Times.front() + m_Settings.Window < Now)
    Times.pop_front();
}

void FleetRetryBudget::recordRequest(const std::string &Service, BootTime Now) {
  Account &ServiceAccount = m_Accounts[Service];
  expire(ServiceAccount.Requests, Now);
  ServiceAccount.Requests.push_back(Now);
}

double FleetRetryBudget::remaining(const std::string &Service, BootTime Now) {
  Account &ServiceAccount = m_Accounts[Service];
  expire(ServiceAccount.Requests, Now);
  expire(ServiceAccount.Retries, Now);
  const double Allowed =
      m_Settings.Ratio * static_cast<double>(ServiceAccount.Requests.size()) +
      m_Settings.Base * baseShare(Now);
  return UsableFraction * Allowed -
         static_cast<double>(ServiceAccount.Retries.size() +
                             ServiceAccount.Reserved);
}

void FleetRetryBudget::recordRetry(const std::string &Service, BootTime Now) {
  m_Accounts[Service].Retries.push_back(Now);
}

void FleetRetryBudget::reserveRetry(const std::string &Service) {
  ++m_Accounts[Service].Reserved;
}

void FleetRetryBudget::cancelReservation(const std::string &Service) {
  --m_Accounts[Service].Reserved;
}

} // namespace figlift::retry
