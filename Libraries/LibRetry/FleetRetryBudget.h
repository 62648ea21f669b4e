//===- FleetRetryBudget.h - Retry budget shared by a fleet ------*- C++ -*-===//
//
// Bounds the retries that all processes of a fleet send together within a
// sliding window. Without the bound, a service that fails under load receives
// a multiple of that load. The processes do not coordinate each retry: each
// has an equal share of the fixed part of the budget, and earns the
// proportional part with the requests that it sends itself.
//
// Processes of a fleet that starts for the first time do not know yet how many
// they are. Equal shares of the processes known so far would add up to several
// times the fixed part, as the first process would take all of it. The k-th
// process to register therefore begins with 1/(k(k+1)) of it; these shares add
// up to less than 1 however many processes follow.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace figlift::retry {

struct FleetRetryBudgetSettings {
  /// Retries allowed for each request of the window.
  double Ratio = 0.2;
  /// Fixed part: retries allowed in addition, for the whole fleet.
  double Base = 50;
  std::chrono::milliseconds Window{10000};
};

class FleetRetryBudget {
public:
  /// The process starts at \p Now. It has no fixed part for one window, as it
  /// does not know what others, or its own predecessor, have spent.
  FleetRetryBudget(FleetRetryBudgetSettings Settings, BootTime Now)
      : m_Settings(Settings), m_Started(Now) {}

  /// No earlier process of this fleet has spent anything, and this one is at
  /// most the \p Place -th to register, from 1. It begins with a fixed part
  /// at once. The first place stays.
  void setStartPlace(size_t Place);
  /// Sets the number of processes that share the fixed part.
  void setProcessCount(size_t Live, BootTime Now);
  void recordRequest(const std::string &Service, BootTime Now);
  /// Records a retry. Callers check remaining() before they send one. An
  /// attempt that a server rejected is charged as well, so the budget may
  /// become negative.
  void recordRetry(const std::string &Service, BootTime Now);
  /// Keeps room for a retry that is certain to follow one that is recorded now.
  /// To be cancelled when the retry is recorded, or will not be sent.
  void reserveRetry(const std::string &Service);
  void cancelReservation(const std::string &Service);
  double remaining(const std::string &Service, BootTime Now);

private:
  struct Account {
    std::deque<BootTime> Requests;
    std::deque<BootTime> Retries;
    size_t Reserved = 0;
  };

  /// Part of the budget that is used. The rest is a margin for differences
  /// between the windows of the processes: a request that one process still
  /// counts may have expired in another.
  static constexpr double UsableFraction = 0.8;

  void expire(std::deque<BootTime> &Times, BootTime Now) const;
  /// This process's share of the fixed part.
  double baseShare(BootTime Now) const;

  FleetRetryBudgetSettings m_Settings;
  BootTime m_Started;
  /// Empty if the fleet does not start, or while the place is not known.
  std::optional<size_t> m_StartPlace;
  std::map<std::string, Account> m_Accounts;
  /// Process counts within the window. The largest one divides the fixed part,
  /// because a process that has just stopped may have spent its share.
  std::deque<std::pair<BootTime, size_t>> m_Processes;
};

} // namespace figlift::retry
