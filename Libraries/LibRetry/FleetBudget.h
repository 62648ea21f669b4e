//===- FleetBudget.h - One budget of repeats for a whole fleet --*- C++ -*-===//
//
// Bounds what all processes together send beyond the first arrival of each
// request, in any span of a window. Without the bound a service that fails
// under load gets a multiple of that load. The processes do not ask each other
// for each repeat: every one has its share of the fixed part, and earns the
// proportional part with the requests that it sends itself.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace figlift::retry {

struct FleetBudgetTerms {
  /// Repeats allowed for each request of the window.
  double Ratio = 0.2;
  /// Repeats allowed besides, for the whole fleet.
  double Base = 50;
  std::chrono::milliseconds Window{10000};
};

class FleetBudget {
public:
  /// \p FleetStarts says that no earlier process of this fleet has spent
  /// anything. A process that was restarted in a running fleet does not know
  /// what its predecessor spent, so it has no fixed part for one window.
  FleetBudget(FleetBudgetTerms Terms, bool FleetStarts, BootTime Now);

  /// How many processes share the fixed part now.
  void setProcesses(size_t Live, BootTime Now);
  void requestSent(const std::string &Service, BootTime Now);
  /// A repeat has been sent. Callers look at left() first; an arrival that a
  /// server rejected counts as well, and may use up more than there was.
  void charge(const std::string &Service, BootTime Now);
  double left(const std::string &Service, BootTime Now);

private:
  struct Account {
    std::deque<BootTime> Requests;
    std::deque<BootTime> Repeats;
  };

  /// What is left of the bound after others' views have differed from this
  /// one: requests that one process counts and another has seen leave.
  static constexpr double SafeShare = 0.8;

  void expire(std::deque<BootTime> &Times, BootTime Now) const;

  FleetBudgetTerms m_Terms;
  /// No share of the fixed part before this.
  BootTime m_BaseFrom;
  std::map<std::string, Account> m_Accounts;
  /// Largest number of processes within the window: one that has just gone
  /// may have spent its share.
  std::deque<std::pair<BootTime, size_t>> m_Processes;
};

} // namespace figlift::retry
