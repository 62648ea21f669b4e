//===- InvariantChecker.cpp - Checks the guarantees of gateways -----------===//
//
// What servers receive, and the changes of the system that excuse something.
// What callers get is checked in InvariantOutcomes.cpp.
//
//===----------------------------------------------------------------------===//

#include "InvariantChecker.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

namespace {

void removeBefore(std::deque<BootTime> &Times, BootTime Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

} // namespace

uint64_t InvariantChecker::count(const std::string &Name) const {
  const auto Count = m_Counts.find(Name);
  return Count == m_Counts.end() ? 0 : Count->second;
}

void InvariantChecker::recordRequest(const Attempt &Request) {
  if (m_Records.empty())
    m_FirstSent = Request.Sent;
  m_Records[Request.Id] = Record{Request};
  // Requests of the moving route count for the service at which they arrive.
  if (Request.Service != MovingService)
    m_Requests[Request.Service].push_back(Request.Sent);
  ++m_Counts["requests"];
  countUnserved(Request);
}

bool InvariantChecker::isStable(const Times &LastTimes,
                                const std::string &Gateway,
                                BootTime Now) const {
  for (const std::string &Source : {Gateway, std::string(AllGateways)})
    if (const auto Entry = LastTimes.find(Source);
        Entry != LastTimes.end() && Now - Entry->second < m_Bounds.StableWindow)
      return false;
  return true;
}

bool InvariantChecker::isUndisturbed(const std::string &Gateway,
                                     BootTime Now) const {
  return isStable(m_LastFaults, Gateway, Now) &&
         isStable(m_PlannedChanges, Gateway, Now);
}

void InvariantChecker::recordFault(const std::string &Gateway, BootTime Now) {
  m_LastFaults[Gateway] = Now;
}

void InvariantChecker::recordLossyLink(const std::string &ServerPrefix,
                                       BootTime Now) {
  for (auto &[Pair, Asked] : m_Backoffs)
    if (Pair.Server.starts_with(ServerPrefix))
      std::erase_if(Asked, [&](const Backoff &Pause) {
        return Now - Pause.AskedAt < m_Bounds.AnswerTime;
      });
}

void InvariantChecker::recordPlannedChange(const std::string &Gateway,
                                           BootTime Now) {
  m_PlannedChanges[Gateway] = Now;
}

void InvariantChecker::recordStop(const std::string &Gateway,
                                  BootTime TerminatedAt,
                                  std::chrono::milliseconds Grace,
                                  BootTime Now) {
  recordPlannedChange(Gateway, Now);
  Stop &LastStop = m_Stops[Gateway];
  if (LastStop.At != TerminatedAt)
    LastStop = {TerminatedAt, Grace, Grace, TerminatedAt};
  else if (Grace < LastStop.LongestGrace)
    LastStop = {TerminatedAt, std::min(Grace, LastStop.Grace), Grace,
                Now + m_Bounds.ReloadSlack};
  // The gateway cannot tell the order of signals that come close together.
  else if (Now < TerminatedAt + m_Bounds.ReloadSlack)
    LastStop.LongestGrace = Grace;
}

void InvariantChecker::recordRestart(const std::string &Gateway, BootTime Now) {
  m_StartedAt[Gateway] = Now;
  m_ServedVersions.erase(Gateway);
  const auto IsOfGateway = [&](const auto &Entry) {
    return Entry.first.Gateway == Gateway;
  };
  std::erase_if(m_Backoffs, IsOfGateway);
  std::erase_if(m_LeavingKnownAt, IsOfGateway);
}

void InvariantChecker::recordDrain(const std::string &Server, BootTime Now) {
  m_DrainStarts.try_emplace(Server, Now);
}

void InvariantChecker::recordConfiguration(uint64_t Number,
                                           const std::string &Service,
                                           BootTime Now) {
  m_Versions.push_back({Number, Service, Now});
}

void InvariantChecker::recordArrival(const Arrival &Event, BootTime Now) {
  const auto Known = m_Records.find(Event.AttemptId);
  if (Known == m_Records.end())
    return addViolation("UNASKED: no caller sent " + Event.AttemptId);
  Record &Entry = Known->second;
  if (Entry.Request.Service == MovingService && !Entry.ExecutionArrived)
    m_Requests[Event.Service].push_back(Now);
  bool &AlreadyArrived =
      Event.IsPrefill ? Entry.PrefillArrived : Entry.ExecutionArrived;
  if (std::exchange(AlreadyArrived, true)) {
    m_Retries[Event.Service].push_back(Now);
    ++m_Counts["retries"];
    recordRetry(Entry, Event, Now);
    checkRetryBudget(Event.Service, Now);
  }
  if (const auto Found = m_Relisted.find(Entry.Request.Service);
      Found != m_Relisted.end())
    Found->second.Unserved[Entry.Request.Gateway] = 0;
  checkCrashes(Entry, Now);
  checkLimit(Entry, Event, Now);
  checkBackoff(Entry, Event, Now);
  checkLeaving(Entry, Event, Now);
  checkDrain(Entry, Event, Now);
  checkVersion(Entry, Event, Now);
  if (Event.IsPrefill || Event.Rejected)
    return;
  ++Entry.Executions;
  if (Entry.Request.Kind == Repeatable::Yes)
    return;
  if (Entry.Executions > 1)
    addViolation(fmt::format("TWICE: {} ran {} times", Event.AttemptId,
                             Entry.Executions));
  if (Entry.PromisedNotExecuted)
    addViolation("REFUSED: " + Event.AttemptId +
                 " was executed after a response that says it was not");
}

void InvariantChecker::recordRetry(const Record &Entry, const Arrival &Event,
                                   BootTime Now) {
  using Seconds = std::chrono::duration<double>;
  m_RetryLines.push_back(fmt::format(
      "retry {:.3f} s: {} {} {} from {} at {}, crash cause \"{}\"{}",
      Seconds(Now - m_FirstSent).count(), Event.Service, Event.AttemptId,
      Event.IsPrefill ? "prefill" : "execution", Entry.Request.Gateway,
      Event.Server, Entry.Request.crashCause(),
      Event.Rejected ? ", rejected" : ""));
}

void InvariantChecker::checkRetryBudget(const std::string &Service,
                                        BootTime Now) {
  std::deque<BootTime> &Retries = m_Retries[Service];
  removeBefore(Retries, Now - m_Bounds.RetryWindow);
  std::deque<BootTime> &Requests = m_Requests[Service];
  removeBefore(Requests, Now - m_Bounds.RetryWindow * 2);
  const auto WindowStart = std::lower_bound(Requests.begin(), Requests.end(),
                                            Now - m_Bounds.RetryWindow);
  const auto MaximumRequests =
      std::max(std::distance(Requests.begin(), WindowStart),
               std::distance(WindowStart, Requests.end()));
  const double Allowed =
      m_Bounds.RetryRatio * static_cast<double>(MaximumRequests) +
      m_Bounds.RetryBase;
  if (static_cast<double>(Retries.size()) > Allowed)
    addViolation(fmt::format(
        "BUDGET: {} retries at {}, {:.0f} allowed, {:.3f} s after the first "
        "request",
        Retries.size(), Service, Allowed,
        std::chrono::duration<double>(Now - m_FirstSent).count()));
}

void InvariantChecker::recordCrash(const std::string &AttemptId, BootTime Now) {
  const auto Known = m_Records.find(AttemptId);
  if (Known == m_Records.end())
    return;
  const Attempt &Request = Known->second.Request;
  Crashes &RequestCrashes = m_Crashes[Request.crashCause()];
  ++m_Counts["crashes"];
  if (++RequestCrashes.Servers == crashLimit(Request))
    RequestCrashes.LimitReachedAt = Now;
}

void InvariantChecker::checkCrashes(const Record &Entry, BootTime Now) {
  const auto RequestCrashes = m_Crashes.find(Entry.Request.crashCause());
  if (RequestCrashes == m_Crashes.end() || Entry.Request.crashCause().empty() ||
      RequestCrashes->second.Servers < crashLimit(Entry.Request) ||
      Now - RequestCrashes->second.LimitReachedAt < m_Bounds.StableWindow ||
      !isUndisturbed(Entry.Request.Gateway, Now))
    return;
  if (++RequestCrashes->second.LaterSends > m_Bounds.SendsAfterCrashes)
    addViolation(fmt::format(
        "BUDGET: {} was sent to a server {} more times after "
        "the last tolerated crash, {} crashes in all",
        Entry.Request.crashCause(), RequestCrashes->second.LaterSends,
        RequestCrashes->second.Servers));
}

void InvariantChecker::recordLimit(const std::string &Server, double PerSecond,
                                   const std::string &AttemptId, BootTime Now) {
  const auto Known = m_Records.find(AttemptId);
  if (Known == m_Records.end())
    return;
  const auto [ServerLimit, IsFirst] = m_Limits.try_emplace(Server);
  if (IsFirst)
    ServerLimit->second.Since = Now;
  ServerLimit->second.PerSecond = PerSecond;
  ServerLimit->second.AnnouncedAt.try_emplace(Known->second.Request.Gateway,
                                              Now);
}

void InvariantChecker::checkLimit(const Record &Entry, const Arrival &Event,
                                  BootTime Now) {
  const auto Known = m_Limits.find(Event.Server);
  if (Known == m_Limits.end())
    return;
  Limit &ServerLimit = Known->second;
  const auto AnnouncedAt = ServerLimit.AnnouncedAt.find(Entry.Request.Gateway);
  if (AnnouncedAt == ServerLimit.AnnouncedAt.end() ||
      Now - AnnouncedAt->second < m_Bounds.LimitDelay ||
      !isUndisturbed(Entry.Request.Gateway, Now))
    return;
  ServerLimit.Arrivals.push_back(Now);
  removeBefore(ServerLimit.Arrivals, Now - m_Bounds.LimitWindow);
  const double Allowed =
      m_Bounds.LimitFactor * ServerLimit.PerSecond *
          std::chrono::duration<double>(m_Bounds.LimitWindow).count() +
      m_Bounds.LimitSlack;
  if (Now - ServerLimit.Since >= m_Bounds.StableWindow &&
      static_cast<double>(ServerLimit.Arrivals.size()) > Allowed)
    addViolation(fmt::format(
        "LIMIT: {} announced {} per second and got {} requests, {:.0f} "
        "allowed",
        Event.Server, ServerLimit.PerSecond, ServerLimit.Arrivals.size(),
        Allowed));
}

void InvariantChecker::recordBackoff(const std::string &Server,
                                     const std::string &AttemptId,
                                     std::chrono::milliseconds Time,
                                     BootTime Now) {
  const auto Known = m_Records.find(AttemptId);
  if (Known == m_Records.end())
    return;
  ++m_Counts["backoffs"];
  std::deque<Backoff> &Asked =
      m_Backoffs[{Server, Known->second.Request.Gateway}];
  while (!Asked.empty() && Asked.front().Until <= Now)
    Asked.pop_front();
  Asked.push_back({Now, Now + Time});
}

/// A request may have left before what its gateway knew last.
bool InvariantChecker::mayHaveBeenHeldUp(const std::string &Gateway,
                                         BootTime Now) const {
  const auto IsRecent = [&](const std::string &Source) {
    const auto Entry = m_LastFaults.find(Source);
    return Entry != m_LastFaults.end() &&
           Now - Entry->second < m_Bounds.StableWindow;
  };
  return IsRecent(Gateway) || IsRecent(ServerLinks);
}

/// Faults of the store excuse nothing here.
void InvariantChecker::checkBackoff(const Record &Entry, const Arrival &Event,
                                    BootTime Now) {
  const std::string &Gateway = Entry.Request.Gateway;
  const auto Known = m_Backoffs.find({Event.Server, Gateway});
  if (Known == m_Backoffs.end() || mayHaveBeenHeldUp(Gateway, Now))
    return;
  for (Backoff &Asked : Known->second) {
    if (Now < Asked.AskedAt + m_Bounds.BackoffDelay || Now >= Asked.Until)
      continue;
    if (++Asked.Arrivals <= m_Bounds.RequestsDuringBackoff)
      continue;
    addViolation(fmt::format(
        "BACKOFF: {} had asked {} for a pause of {} ms and got {} requests",
        Event.Server, Gateway,
        std::chrono::duration_cast<std::chrono::milliseconds>(Asked.Until -
                                                              Asked.AskedAt)
            .count(),
        Asked.Arrivals));
  }
}

void InvariantChecker::checkLeaving(const Record &Entry, const Arrival &Event,
                                    BootTime Now) {
  const std::string &Gateway = Entry.Request.Gateway;
  const auto KnownAt = m_LeavingKnownAt.find({Event.Server, Gateway});
  if (KnownAt == m_LeavingKnownAt.end() ||
      Entry.Request.Sent < KnownAt->second + m_Bounds.DrainBound ||
      mayHaveBeenHeldUp(Gateway, Now))
    return;
  addViolation(fmt::format(
      "DRAIN: {} got {} from {}, which was sent {} ms after the gateway had "
      "forwarded that the server shuts down",
      Event.Server, Event.AttemptId, Gateway,
      std::chrono::duration_cast<std::chrono::milliseconds>(Entry.Request.Sent -
                                                            KnownAt->second)
          .count()));
}

void InvariantChecker::checkDrain(const Record &Entry, const Arrival &Event,
                                  BootTime Now) {
  const auto DrainStart = m_DrainStarts.find(Event.Server);
  if (DrainStart == m_DrainStarts.end() || Event.Rejected ||
      Now - DrainStart->second < m_Bounds.DrainBound ||
      !isUndisturbed(Entry.Request.Gateway, Now))
    return;
  if (m_RemovedServers.contains(Event.Server) &&
      m_StartedAt[Entry.Request.Gateway] > DrainStart->second)
    return;
  addViolation(
      fmt::format("DRAIN: {} got {} from {} {} ms after it began to drain",
                  Event.Server, Event.AttemptId, Entry.Request.Gateway,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now - DrainStart->second)
                      .count()));
}

void InvariantChecker::countUnserved(const Attempt &Request) {
  const auto Found = m_Relisted.find(Request.Service);
  if (Found == m_Relisted.end() ||
      Request.Sent < Found->second.At + m_Bounds.UseBound)
    return;
  // A gateway that was disturbed, or that knows of a fault of the servers, may
  // reject requests.
  if (!isUndisturbed(Request.Gateway, Request.Sent) ||
      !isStable(m_LastFaults, Servers, Request.Sent)) {
    Found->second.Unserved[Request.Gateway] = 0;
    return;
  }
  if (++Found->second.Unserved[Request.Gateway] == m_Bounds.RequestsUntilUse)
    addViolation(fmt::format("USED: none of {} requests of {} for {} reached a "
                             "server after the servers were listed again",
                             m_Bounds.RequestsUntilUse, Request.Gateway,
                             Request.Service));
}

void InvariantChecker::checkVersion(const Record &Entry, const Arrival &Event,
                                    BootTime Now) {
  // The service did not handle a request that its server rejected.
  if (Entry.Request.Service != MovingService || m_Versions.empty() ||
      Event.Rejected)
    return;
  // The newest version that sends the route to this service.
  const auto ServedBy = std::find_if(
      m_Versions.rbegin(), m_Versions.rend(), [&](const auto &Candidate) {
        return Candidate.Service == Event.Service;
      });
  if (ServedBy == m_Versions.rend())
    return addViolation(
        fmt::format("ROUTE: {} from {} ran at {} ({}), version {}",
                    Event.AttemptId, Entry.Request.Gateway, Event.Service,
                    Event.Server, m_Versions.back().Number));
  const Version &Newest = m_Versions.back();
  const std::string &Gateway = Entry.Request.Gateway;
  if (ServedBy->Number < Newest.Number &&
      Entry.Request.Sent - Newest.At > m_Bounds.ConfigurationBound &&
      isUndisturbed(Gateway, Entry.Request.Sent) && isUndisturbed(Gateway, Now))
    addViolation(
        fmt::format("CONFIG: {} handled {} by version {}, but {} is active",
                    Gateway, Event.AttemptId, ServedBy->Number, Newest.Number));
  ServedVersion &LastServed = m_ServedVersions[Gateway];
  if (ServedBy->Number < LastServed.Number &&
      Entry.Request.Sent - LastServed.At > m_Bounds.RegressionSlack)
    addViolation(fmt::format("CONFIG: {} went back from version {} to {}",
                             Gateway, LastServed.Number, ServedBy->Number));
  if (ServedBy->Number > LastServed.Number)
    LastServed = {ServedBy->Number, Now};
}

void InvariantChecker::recordOrder(const Order &NewOrder, BootTime Now) {
  ++m_Counts["orders"];
  const auto [Last, IsFirst] = m_Orders.try_emplace(NewOrder.Server);
  const LastOrder Previous = Last->second;
  Last->second = {NewOrder, Now};
  if (IsFirst || Previous.Content.Holder == NewOrder.Holder)
    return;
  if (NewOrder.Fence <= Previous.Content.Fence)
    addViolation(fmt::format("ONE: {} ordered {} with {} after {} with {}",
                             NewOrder.Holder, NewOrder.Server, NewOrder.Fence,
                             Previous.Content.Holder, Previous.Content.Fence));
  if (Now - Previous.At < m_Bounds.HolderChangeTime)
    addViolation(
        fmt::format("ONE: {} and {} both gave orders to {} within the lease",
                    Previous.Content.Holder, NewOrder.Holder, NewOrder.Server));
}

} // namespace figlift::soak
