//===- FleetRetryBudget.cpp - Retry budget shared by a fleet ----*- C++ -*-===//
//
// Keeps the send times of the window in a queue. Rates are a few hundred per
// second at most, so the queues stay short.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/FleetRetryBudget.h"

#include <algorithm>

namespace figlift::retry {

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetSettings Settings,
                                   bool FleetStarts, BootTime Now)
    : m_Settings(Settings),
      m_BaseStart(FleetStarts ? Now : Now + Settings.Window) {}

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
  size_t Processes = 1;
  for (const auto &[At, Live] : m_Processes)
    Processes = std::max(Processes, Live);
  double Allowed =
      m_Settings.Ratio * static_cast<double>(ServiceAccount.Requests.size());
  if (Now >= m_BaseStart)
    Allowed += m_Settings.Base / static_cast<double>(Processes);
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
