//===- PromiseBook.cpp - The promises, checked as they are kept -----------===//
//
// See PromiseBook.h.
//
//===----------------------------------------------------------------------===//

#include "PromiseBook.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

namespace {

bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

bool isSuccess(unsigned Status) { return Status / 100 == 2; }

void forgetBefore(std::deque<BootTime> &Times, BootTime Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

} // namespace

std::string eventText(const std::string &AttemptId, unsigned Number) {
  return fmt::format("id: {}\ndata: {} {}\n\n", Number, AttemptId, Number);
}

uint64_t PromiseBook::count(const std::string &What) const {
  const auto Found = m_Counts.find(What);
  return Found == m_Counts.end() ? 0 : Found->second;
}

void PromiseBook::sent(const Attempt &What) {
  m_Records[What.Id] = Record{What};
  // The route that moves counts where its requests arrive.
  if (What.Service != MovingService)
    m_Requests[What.Service].push_back(What.Sent);
  ++m_Counts["requests"];
}

bool PromiseBook::calm(const Times &Of, const std::string &Who,
                       BootTime Now) const {
  for (const std::string &Each : {Who, std::string(Everything)})
    if (const auto Found = Of.find(Each);
        Found != Of.end() && Now - Found->second < m_Terms.StableWindow)
      return false;
  return true;
}

bool PromiseBook::inTouch(const std::string &Gateway, BootTime Now) const {
  return calm(m_Disturbed, Gateway, Now) && calm(m_Planned, Gateway, Now);
}

void PromiseBook::disturbed(const std::string &Gateway, BootTime Now) {
  m_Disturbed[Gateway] = Now;
}

void PromiseBook::planned(const std::string &Gateway, BootTime Now) {
  m_Planned[Gateway] = Now;
}

void PromiseBook::stops(const std::string &Gateway, BootTime Sigterm,
                        std::chrono::milliseconds Grace, BootTime Now) {
  planned(Gateway, Now);
  Stop &Of = m_Stops[Gateway];
  if (Of.At != Sigterm)
    Of = {Sigterm, Grace, Grace, Sigterm};
  else if (Grace < Of.Believed)
    Of = {Sigterm, std::min(Grace, Of.Grace), Grace, Now + m_Terms.ReloadSlack};
  // Of signals that come together it cannot know which was first.
  else if (Now < Sigterm + m_Terms.ReloadSlack)
    Of.Believed = Grace;
}

void PromiseBook::restarted(const std::string &Gateway) {
  m_SeenVersions.erase(Gateway);
}

void PromiseBook::leaves(const std::string &Server, BootTime Now) {
  m_Leaving.try_emplace(Server, Now);
}

void PromiseBook::configured(uint64_t Number, const std::string &Service,
                             BootTime Now) {
  m_Versions.push_back({Number, Service, Now});
}

void PromiseBook::arrived(const Arrival &What, BootTime Now) {
  const auto Found = m_Records.find(What.AttemptId);
  if (Found == m_Records.end())
    return broken("UNASKED: nobody sent " + What.AttemptId);
  Record &Of = Found->second;
  if (Of.What.Service == MovingService && !Of.RunArrived)
    m_Requests[What.Service].push_back(Now);
  bool &Before = What.ReadsPrompt ? Of.Read : Of.RunArrived;
  if (std::exchange(Before, true)) {
    m_Repeats[What.Service].push_back(Now);
    ++m_Counts["repeats"];
    checkRepeats(What.Service, Now);
  }
  checkCrashes(Of, Now);
  checkLimit(Of, What, Now);
  checkDrain(Of, What, Now);
  checkVersion(Of, What, Now);
  if (What.ReadsPrompt || What.TurnedAway)
    return;
  ++Of.Runs;
  if (Of.What.Kind == Repeatable::Yes)
    return;
  if (Of.Runs > 1)
    broken(fmt::format("TWICE: {} ran {} times", What.AttemptId, Of.Runs));
  if (Of.PromisedNotRun)
    broken("REFUSED: " + What.AttemptId + " runs after a refusal");
}

void PromiseBook::checkRepeats(const std::string &Service, BootTime Now) {
  std::deque<BootTime> &Repeats = m_Repeats[Service];
  forgetBefore(Repeats, Now - m_Terms.RepeatWindow);
  std::deque<BootTime> &Requests = m_Requests[Service];
  forgetBefore(Requests, Now - m_Terms.RepeatWindow * 2);
  const auto Middle = std::lower_bound(Requests.begin(), Requests.end(),
                                       Now - m_Terms.RepeatWindow);
  const auto Most = std::max(std::distance(Requests.begin(), Middle),
                             std::distance(Middle, Requests.end()));
  const double Allowed =
      m_Terms.RepeatRatio * static_cast<double>(Most) + m_Terms.RepeatBase;
  if (static_cast<double>(Repeats.size()) > Allowed)
    broken(fmt::format("BUDGET: {} repeats at {}, {:.0f} allowed",
                       Repeats.size(), Service, Allowed));
}

void PromiseBook::crashed(const std::string &AttemptId, BootTime Now) {
  const auto Found = m_Records.find(AttemptId);
  if (Found == m_Records.end())
    return;
  Crashes &Of = m_Crashes[Found->second.What.Crashing];
  ++m_Counts["crashes"];
  if (++Of.Servers == m_Terms.CrashLimit)
    Of.Last = Now;
}

void PromiseBook::checkCrashes(const Record &Of, BootTime Now) {
  const auto Found = m_Crashes.find(Of.What.Crashing);
  if (Found == m_Crashes.end() || Of.What.Crashing.empty() ||
      Found->second.Servers < m_Terms.CrashLimit ||
      Now - Found->second.Last < m_Terms.StableWindow ||
      !inTouch(Of.What.Gateway, Now))
    return;
  if (++Found->second.SentAfter > m_Terms.SendsAfterCrashes)
    broken(fmt::format("BUDGET: {} was sent to a server {} times more after "
                       "the third crash, {} crashes in all",
                       Of.What.Crashing, Found->second.SentAfter,
                       Found->second.Servers));
}

void PromiseBook::limitNamed(const std::string &Server, double PerSecond,
                             const std::string &AttemptId, BootTime Now) {
  const auto Found = m_Records.find(AttemptId);
  if (Found == m_Records.end())
    return;
  const auto [Of, IsFirst] = m_Limits.try_emplace(Server);
  if (IsFirst)
    Of->second.Since = Now;
  Of->second.PerSecond = PerSecond;
  Of->second.Told.try_emplace(Found->second.What.Gateway, Now);
}

void PromiseBook::checkLimit(const Record &Of, const Arrival &What,
                             BootTime Now) {
  const auto Found = m_Limits.find(What.Server);
  if (Found == m_Limits.end())
    return;
  Limit &Named = Found->second;
  const auto Told = Named.Told.find(Of.What.Gateway);
  if (Told == Named.Told.end() || Now - Told->second < m_Terms.LimitKnown ||
      !inTouch(Of.What.Gateway, Now))
    return;
  Named.Arrivals.push_back(Now);
  forgetBefore(Named.Arrivals, Now - m_Terms.LimitWindow);
  const double Allowed =
      m_Terms.LimitFactor * Named.PerSecond *
          std::chrono::duration<double>(m_Terms.LimitWindow).count() +
      m_Terms.LimitSlack;
  if (Now - Named.Since >= m_Terms.StableWindow &&
      static_cast<double>(Named.Arrivals.size()) > Allowed)
    broken(fmt::format(
        "LIMIT: {} named {} a second and got {} requests, {:.0f} "
        "allowed",
        What.Server, Named.PerSecond, Named.Arrivals.size(), Allowed));
}

void PromiseBook::checkDrain(const Record &Of, const Arrival &What,
                             BootTime Now) {
  const auto Left = m_Leaving.find(What.Server);
  if (Left == m_Leaving.end() || What.TurnedAway ||
      Now - Left->second < m_Terms.DrainBound || !inTouch(Of.What.Gateway, Now))
    return;
  broken(fmt::format(
      "DRAIN: {} got {} from {} {} ms after it began to leave", What.Server,
      What.AttemptId, Of.What.Gateway,
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Left->second)
          .count()));
}

void PromiseBook::checkVersion(const Record &Of, const Arrival &What,
                               BootTime Now) {
  // What a server turned away was not handled by its service.
  if (Of.What.Service != MovingService || m_Versions.empty() || What.TurnedAway)
    return;
  // The newest version that sends the route there.
  const auto Handled = std::find_if(
      m_Versions.rbegin(), m_Versions.rend(),
      [&](const auto &Each) { return Each.Service == What.Service; });
  if (Handled == m_Versions.rend())
    return broken(fmt::format("ROUTE: {} from {} ran at {} ({}), version {}",
                              What.AttemptId, Of.What.Gateway, What.Service,
                              What.Server, m_Versions.back().Number));
  const Version &Newest = m_Versions.back();
  const std::string &Gateway = Of.What.Gateway;
  if (Handled->Number < Newest.Number &&
      Of.What.Sent - Newest.At > m_Terms.ConfigurationBound &&
      inTouch(Gateway, Of.What.Sent) && inTouch(Gateway, Now))
    broken(fmt::format("CONFIG: {} handled {} by version {}, {} is in force",
                       Gateway, What.AttemptId, Handled->Number,
                       Newest.Number));
  Seen &Last = m_SeenVersions[Gateway];
  if (Handled->Number < Last.Number &&
      Of.What.Sent - Last.At > m_Terms.RegressionSlack)
    broken(fmt::format("CONFIG: {} went back from version {} to {}", Gateway,
                       Last.Number, Handled->Number));
  if (Handled->Number > Last.Number)
    Last = {Handled->Number, Now};
}

void PromiseBook::ended(const Outcome &What, BootTime Now) {
  const auto Found = m_Records.find(What.AttemptId);
  if (Found == m_Records.end())
    return;
  Record &Of = Found->second;
  ++m_Counts[What.Status == 0 ? "without an answer"
                              : fmt::format("status {}", What.Status)];
  if (promisesNotRun(What.Status)) {
    Of.PromisedNotRun = true;
    if (Of.What.Kind == Repeatable::No && Of.Runs > 0)
      broken(fmt::format("REFUSED: {} got {} and has run", What.AttemptId,
                         What.Status));
  } else if (What.Status / 100 == 4) {
    broken(fmt::format("DENIED: {} got {}", What.AttemptId, What.Status));
  }
  if (What.Status == 0)
    checkLost(Of, Now);
  if (!isSuccess(What.Status))
    return;
  if (!What.Signed)
    broken("MIXED: " + What.AttemptId + " got an unsigned success");
  checkBody(What);
}

/// Sent before a stop, or so soon after SIGTERM that its caller could not know,
/// and still running at the end: nothing better can be done for it.
bool PromiseBook::outlastsStop(const Attempt &What, BootTime Now) {
  const Stop &Of = m_Stops[What.Gateway];
  return (What.Sent <= Of.At + Of.Grace * m_Terms.EarlyShare ||
          What.Sent <= Of.GraceKnown) &&
         Now >= Of.At + Of.Grace * m_Terms.LastShare;
}

/// While all else is calm, nothing that was planned cuts what servers work on:
/// no stop, no reload, no configuration, no server that leaves.
void PromiseBook::checkLost(const Record &Of, BootTime Now) {
  const Attempt &What = Of.What;
  if ((!Of.Read && !Of.RunArrived) ||
      Now >= What.Sent + What.Allowed - m_Terms.DeadlineMargin ||
      !calm(m_Disturbed, What.Gateway, What.Sent) ||
      !calm(m_Disturbed, Servers, What.Sent) || outlastsStop(What, Now))
    return;
  using Seconds = std::chrono::duration<double>;
  broken(fmt::format(
      "LOST: {} was cut by {} {:.1f} s after it was sent, {:.1f} s after the "
      "last SIGTERM",
      What.Id, What.Gateway, Seconds(Now - What.Sent).count(),
      Seconds(Now - m_Stops[What.Gateway].At).count()));
}

void PromiseBook::checkBody(const Outcome &What) {
  if (What.EventsDue > 0)
    return checkEvents(What);
  if (What.Body != "answer to " + What.AttemptId)
    broken("MIXED: " + What.AttemptId + " got \"" + What.Body + "\"");
}

void PromiseBook::checkEvents(const Outcome &What) {
  std::string Due;
  for (unsigned Number = 1; Number <= What.EventsDue; ++Number)
    Due += eventText(What.AttemptId, Number);
  if (What.Body != Due)
    broken(fmt::format("ORDER: {} got {} of {} bytes, as if whole",
                       What.AttemptId, What.Body.size(), Due.size()));
}

void PromiseBook::ordered(const Order &What, BootTime Now) {
  ++m_Counts["orders"];
  const auto [Last, IsFirst] = m_Orders.try_emplace(What.Server);
  const LastOrder Before = Last->second;
  Last->second = {What, Now};
  if (IsFirst || Before.What.Holder == What.Holder)
    return;
  if (What.Fence <= Before.What.Fence)
    broken(fmt::format("ONE: {} ordered {} with {} after {} with {}",
                       What.Holder, What.Server, What.Fence, Before.What.Holder,
                       Before.What.Fence));
  if (Now - Before.At < m_Terms.HolderTurn)
    broken(fmt::format("ONE: {} and {} took turns at {}", Before.What.Holder,
                       What.Holder, What.Server));
}

} // namespace figlift::soak
