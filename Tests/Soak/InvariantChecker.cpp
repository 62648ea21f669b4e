//===- InvariantChecker.cpp - Checks the guarantees of gateways -----------===//
//
// See InvariantChecker.h.
//
//===----------------------------------------------------------------------===//

#include "InvariantChecker.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

namespace {

bool promisesNotExecuted(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

bool isSuccess(unsigned Status) { return Status / 100 == 2; }

void removeBefore(std::deque<BootTime> &Times, BootTime Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

} // namespace

std::string eventText(const std::string &AttemptId, unsigned Number,
                      const std::string &Version) {
  return fmt::format("id: {}\ndata: {} {} {}\n\n", Number, AttemptId, Number,
                     Version);
}

std::optional<ReceivedEvent> lastEvent(const std::string &Body) {
  constexpr std::string_view EventEnd = "\n\n";
  const size_t End = Body.rfind(EventEnd);
  if (End == std::string::npos)
    return std::nullopt;
  const size_t Begin = Body.rfind("id: ", End);
  const size_t VersionBegin = Body.rfind(' ', End) + 1;
  if (Begin == std::string::npos)
    return std::nullopt;
  ReceivedEvent Last;
  Last.Number =
      static_cast<unsigned>(std::strtoul(&Body[Begin + 4], nullptr, 10));
  Last.Version = Body.substr(VersionBegin, End - VersionBegin);
  return Last;
}

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

void InvariantChecker::recordRestart(const std::string &Gateway) {
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
  addViolation(
      fmt::format("DRAIN: {} got {} from {} {} ms after it began to drain",
                  Event.Server, Event.AttemptId, Entry.Request.Gateway,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now - DrainStart->second)
                      .count()));
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

void InvariantChecker::recordOutcome(const Outcome &Result, BootTime Now) {
  const auto Known = m_Records.find(Result.AttemptId);
  if (Known == m_Records.end())
    return;
  Record &Entry = Known->second;
  ++m_Counts[Result.Status == 0 ? "no response"
                                : fmt::format("status {}", Result.Status)];
  if (promisesNotExecuted(Result.Status)) {
    Entry.PromisedNotExecuted = true;
    if (Entry.Request.Kind == Repeatable::No && Entry.Executions > 0)
      addViolation(fmt::format("REFUSED: {} got {} but was executed",
                               Result.AttemptId, Result.Status));
  } else if (Result.Status / 100 == 4) {
    addViolation(
        fmt::format("DENIED: {} got {}", Result.AttemptId, Result.Status));
  }
  if (Result.Status == 0)
    checkLost(Entry, Now);
  if (Result.Status == 504)
    checkGivenUp(Entry, Now);
  if (Result.LastEvent > 0)
    ++m_Counts[isSuccess(Result.Status) ? "resumed" : "not resumed"];
  if (Result.Status == 0 && Result.ExpectedEvents > 0)
    checkEvents(Result);
  if (!isSuccess(Result.Status))
    return;
  if (!Result.Signed)
    addViolation("MIXED: " + Result.AttemptId + " got an unsigned success");
  if (const auto Leaving = m_LeavingResponses.find(Result.AttemptId);
      Leaving != m_LeavingResponses.end()) {
    ++m_Counts["leaving"];
    m_LeavingKnownAt.try_emplace({Leaving->second, Entry.Request.Gateway}, Now);
  }
  checkBody(Result);
}

/// True for a request that was sent before a stop, or so soon after SIGTERM
/// that its caller could not know of it, and that still runs at the end of the
/// grace. The gateway cannot avoid interrupting it.
bool InvariantChecker::mayOutlastStop(const Attempt &Request, BootTime Now) {
  const Stop &LastStop = m_Stops[Request.Gateway];
  return (Request.Sent <=
              LastStop.At + LastStop.Grace * m_Bounds.EarlyFraction ||
          Request.Sent <= LastStop.GraceReportedAt) &&
         Now >= LastStop.At + LastStop.Grace * m_Bounds.FinalFraction;
}

/// Without faults, no planned change interrupts a request that reached a
/// server: neither a stop, a reload, a new configuration nor a draining server.
void InvariantChecker::checkLost(const Record &Entry, BootTime Now) {
  const Attempt &Request = Entry.Request;
  if ((!Entry.PrefillArrived && !Entry.ExecutionArrived) ||
      Now >= Request.Sent + Request.Timeout - m_Bounds.DeadlineMargin ||
      !isStable(m_LastFaults, Request.Gateway, Request.Sent) ||
      !isStable(m_LastFaults, Servers, Request.Sent) ||
      mayOutlastStop(Request, Now))
    return;
  using Seconds = std::chrono::duration<double>;
  addViolation(fmt::format("LOST: {} was interrupted by {} {:.1f} s after it "
                           "was sent, {:.1f} s after the "
                           "last SIGTERM",
                           Request.Id, Request.Gateway,
                           Seconds(Now - Request.Sent).count(),
                           Seconds(Now - m_Stops[Request.Gateway].At).count()));
}

/// Without faults, a gateway that stops takes nothing that may run only once
/// and gives it up at its end.
void InvariantChecker::checkGivenUp(const Record &Entry, BootTime Now) {
  const Attempt &Request = Entry.Request;
  const Stop &LastStop = m_Stops[Request.Gateway];
  const bool CameAfterSigterm =
      LastStop.At != BootTime{} &&
      Request.Sent > std::max(LastStop.At + m_Bounds.ReloadSlack,
                              LastStop.GraceReportedAt);
  if (!CameAfterSigterm || Request.Kind == Repeatable::Yes ||
      !Entry.ExecutionArrived ||
      Now >= Request.Sent + Request.Timeout - m_Bounds.DeadlineMargin ||
      !isStable(m_LastFaults, Request.Gateway, Request.Sent) ||
      !isStable(m_LastFaults, Servers, Request.Sent))
    return;
  using Seconds = std::chrono::duration<double>;
  addViolation(fmt::format(
      "LOST: {} was taken by {} {:.1f} s after SIGTERM, and given up {:.1f} s "
      "later",
      Request.Id, Request.Gateway, Seconds(Request.Sent - LastStop.At).count(),
      Seconds(Now - Request.Sent).count()));
}

void InvariantChecker::checkBody(const Outcome &Result) {
  if (Result.ExpectedEvents > 0)
    return checkEvents(Result);
  if (Result.Body != "answer to " + Result.AttemptId)
    addViolation("MIXED: " + Result.AttemptId + " got \"" + Result.Body + "\"");
}

/// The events that a caller has are whole, in order, and of one version. If the
/// response is complete, none is missing.
void InvariantChecker::checkEvents(const Outcome &Result) {
  const auto Last = lastEvent(Result.Body);
  const bool IsComplete = isSuccess(Result.Status);
  const unsigned End = IsComplete ? Result.ExpectedEvents
                       : Last     ? Last->Number
                                  : 0;
  const std::string Version = Last ? Last->Version : "";
  std::string Expected;
  for (unsigned I = Result.LastEvent + 1; I <= End; ++I)
    Expected += eventText(Result.AttemptId, I, Version);
  const bool IsExpected =
      IsComplete ? Result.Body == Expected : Result.Body.starts_with(Expected);
  if (!IsExpected)
    addViolation(
        fmt::format("ORDER: {} got {} of {} bytes in a response that is {}",
                    Result.AttemptId, Result.Body.size(), Expected.size(),
                    IsComplete ? "marked complete" : "broken off"));
  if (Last && !Result.Version.empty() && Version != Result.Version)
    addViolation(fmt::format("ORDER: {} went on at version {} after {}",
                             Result.AttemptId, Version, Result.Version));
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
