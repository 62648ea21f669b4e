//===- FleetBudget.cpp - One budget of repeats for a whole fleet ----------===//
//
// Sliding windows of send times; rates are some hundred a second at most.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/FleetBudget.h"

#include <algorithm>

namespace figlift::retry {

FleetBudget::FleetBudget(FleetBudgetTerms Terms, bool FleetStarts, BootTime Now)
    : m_Terms(Terms), m_BaseFrom(FleetStarts ? Now : Now + Terms.Window) {}

void FleetBudget::setProcesses(size_t Live, BootTime Now) {
  while (!m_Processes.empty() &&
         m_Processes.front().first + m_Terms.Window < Now)
    m_Processes.pop_front();
  m_Processes.emplace_back(Now, Live);
}

void FleetBudget::expire(std::deque<BootTime> &Times, BootTime Now) const {
  while (!Times.empty() && Times.front() + m_Terms.Window < Now)
    Times.pop_front();
}

void FleetBudget::requestSent(const std::string &Service, BootTime Now) {
  Account &Which = m_Accounts[Service];
  expire(Which.Requests, Now);
  Which.Requests.push_back(Now);
}

double FleetBudget::left(const std::string &Service, BootTime Now) {
  Account &Which = m_Accounts[Service];
  expire(Which.Requests, Now);
  expire(Which.Repeats, Now);
  size_t Processes = 1;
  for (const auto &[At, Live] : m_Processes)
    Processes = std::max(Processes, Live);
  double Allowed = m_Terms.Ratio * static_cast<double>(Which.Requests.size());
  if (Now >= m_BaseFrom)
    Allowed += m_Terms.Base / static_cast<double>(Processes);
  return SafeShare * Allowed - static_cast<double>(Which.Repeats.size());
}

void FleetBudget::charge(const std::string &Service, BootTime Now) {
  m_Accounts[Service].Repeats.push_back(Now);
}

} // namespace figlift::retry
