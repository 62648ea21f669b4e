//===- CrashSuspects.cpp - Requests suspected of crashing servers ---------===//
//
// A bounded table with the set of crashed server starts of each request.
// Merging the tables of two gateways is a set union.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashSuspects.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figlift::dispatch {

using std::chrono::milliseconds;

namespace {

/// Requests with at least this many crashes are retransmitted to peers
/// regardless of their age.
constexpr size_t ManyCrashes = 2;

milliseconds rounded(BootClock::duration Time) {
  return std::chrono::ceil<milliseconds>(
      std::max(Time, BootClock::duration::zero()));
}

} // namespace

BootTime CrashSuspects::Entry::lastCrash() const {
  BootTime Last{};
  for (const auto &[Server, Crash] : Crashes)
    Last = std::max(Last, Crash.At);
  return Last;
}

unsigned CrashSuspects::Entry::rankKnownAt(BootTime Time) const {
  return static_cast<unsigned>(
      std::count_if(RankKnownSince.begin(), RankKnownSince.end(),
                    [&](BootTime Since) { return Since < Time; }));
}

CrashSuspects::Entries::value_type &
CrashSuspects::findOrCreate(const RequestFingerprint &Request, BootTime Now) {
  if (const auto Position = m_Entries.find(Request);
      Position != m_Entries.end())
    return *Position;
  if (m_Entries.size() >= m_Options.MaximumSuspects)
    evict();
  Entry Created;
  Created.ChangedAt = Now;
  if (const auto Completion = m_Completed.find(Request);
      Completion != m_Completed.end())
    Created.ClearedAt = Completion->second;
  return *m_Entries.emplace(Request, std::move(Created)).first;
}

/// Evicts the entries with the fewest crashes, the oldest of them first. Evicts
/// a sixteenth at once, as each call sorts the whole table.
void CrashSuspects::evict() {
  std::vector<Entries::iterator> Candidates;
  for (auto Position = m_Entries.begin(); Position != m_Entries.end();
       ++Position)
    Candidates.push_back(Position);
  const auto Priority = [](const Entries::iterator &Candidate) {
    return std::pair(Candidate->second.Crashes.size(),
                     Candidate->second.ChangedAt);
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const auto &Left, const auto &Right) {
              return Priority(Left) < Priority(Right);
            });
  for (size_t I = 0; I <= Candidates.size() / 16; ++I)
    m_Entries.erase(Candidates[I]);
}

void CrashSuspects::markChanged(Entries::value_type &Suspect, BootTime Now) {
  Suspect.second.ChangedAt = Now;
  m_Changed.insert(Suspect.first);
}

/// Returns whether the crash adds any information.
bool CrashSuspects::addCrash(Entry &Suspect, const ServerStart &Server,
                             Crash Reported, BootTime Now) const {
  if (Suspect.ClearedAt && Reported.At <= *Suspect.ClearedAt)
    return false;
  Reported.Rank = std::min(Reported.Rank, m_Options.CrashLimit);
  const auto [Position, IsNew] = Suspect.Crashes.try_emplace(Server, Reported);
  Crash &Stored = Position->second;
  // Of two sends to the same server, the one with the higher rank counts. The
  // earliest time counts, as forwarding only adds to the age of a crash.
  const bool RanksHigher = Reported.Rank > Stored.Rank;
  Stored = {std::min(Stored.At, Reported.At),
            std::max(Stored.Rank, Reported.Rank)};
  // A rank that was not known before means that the isolated send has ended; a
  // crash of an earlier send has no such rank.
  if (Reported.Rank > 1 && Reported.Rank > Suspect.RankKnownSince.size())
    Suspect.IsolatedUntil = {};
  while (Suspect.RankKnownSince.size() < Reported.Rank)
    Suspect.RankKnownSince.push_back(Now);
  if (Suspect.Crashes.size() > m_Options.MaximumCrashes)
    dropOneCrash(Suspect);
  return (IsNew && Suspect.Crashes.contains(Server)) || RanksHigher;
}

/// Drops the newest crash between the limit and the trial delay, as only the
/// first crashes and the trials are counted. The choice is the same on all
/// gateways.
void CrashSuspects::dropOneCrash(Entry &Suspect) const {
  const BootTime Limit = *limitReachedAt(Suspect);
  auto Dropped = Suspect.Crashes.end();
  for (auto Position = Suspect.Crashes.begin();
       Position != Suspect.Crashes.end(); ++Position)
    if (const BootTime At = Position->second.At;
        At > Limit && At <= Limit + m_Options.TrialDelay &&
        (Dropped == Suspect.Crashes.end() || At > Dropped->second.At))
      Dropped = Position;
  // If there is none, the crashes kept are as many as are ever counted.
  Suspect.Crashes.erase(Dropped != Suspect.Crashes.end()
                            ? Dropped
                            : std::prev(Suspect.Crashes.end()));
}

void CrashSuspects::clear(Entry &Suspect, BootTime Time) {
  if (Suspect.ClearedAt && Time <= *Suspect.ClearedAt)
    return;
  Suspect.ClearedAt = Time;
  // The isolated send has completed.
  Suspect.IsolatedUntil = {};
  std::erase_if(Suspect.Crashes, [&](const auto &Item) {
    return Item.second.At <= *Suspect.ClearedAt;
  });
  Suspect.RankKnownSince.clear();
}

void CrashSuspects::recordCrash(const RequestFingerprint &Request,
                                const InterruptedSend &Send, BootTime Now) {
  Entries::value_type &Suspect = findOrCreate(Request, Now);
  const unsigned Rank = Suspect.second.rankKnownAt(Send.StartedAt) + 1;
  if (addCrash(Suspect.second, Send.Server, {Send.InterruptedAt, Rank}, Now))
    markChanged(Suspect, Now);
}

void CrashSuspects::recordCompletion(const RequestFingerprint &Request,
                                     BootTime Now) {
  const auto Position = m_Entries.find(Request);
  if (Position != m_Entries.end() && !Position->second.Crashes.empty()) {
    clear(Position->second, Now);
    return markChanged(*Position, Now);
  }
  if (m_Completed.size() < m_Options.MaximumCompleted ||
      m_Completed.contains(Request))
    m_Completed[Request] = Now;
  if (Position != m_Entries.end())
    clear(Position->second, Now);
}

void CrashSuspects::recordSend(const RequestFingerprint &Request,
                               BootTime Now) {
  const auto Position = m_Entries.find(Request);
  if (Position == m_Entries.end() || Position->second.Crashes.empty())
    return;
  Position->second.IsolatedUntil =
      Now + (Position->second.Crashes.size() < m_Options.CrashLimit
                 ? m_Options.IsolationTime
                 : m_Options.IsolationTimeAtLimit);
  markChanged(*Position, Now);
}

/// Whether the evidence suffices to reject the request.
bool CrashSuspects::isRejectable(const Entry &Suspect) const {
  return Suspect.Crashes.size() >= m_Options.CrashLimit &&
         (Suspect.RankKnownSince.size() >= m_Options.CrashLimit ||
          failedTrials(Suspect) >= m_Options.MaximumTrials);
}

std::optional<BootTime>
CrashSuspects::limitReachedAt(const Entry &Suspect) const {
  if (Suspect.Crashes.size() < m_Options.CrashLimit)
    return std::nullopt;
  std::vector<BootTime> Ends;
  for (const auto &[Server, Crash] : Suspect.Crashes)
    Ends.push_back(Crash.At);
  const auto Limit =
      Ends.begin() + static_cast<std::ptrdiff_t>(m_Options.CrashLimit - 1);
  std::nth_element(Ends.begin(), Limit, Ends.end());
  return *Limit;
}

size_t CrashSuspects::failedTrials(const Entry &Suspect) const {
  const auto Reached = limitReachedAt(Suspect);
  if (!Reached)
    return 0;
  return static_cast<size_t>(std::count_if(
      Suspect.Crashes.begin(), Suspect.Crashes.end(), [&](const auto &Crash) {
        return Crash.second.At > *Reached + m_Options.TrialDelay;
      }));
}

BootTime CrashSuspects::rejectedUntil(const Entry &Suspect) const {
  const size_t Trials = failedTrials(Suspect);
  if (Trials >= m_Options.MaximumTrials)
    return Suspect.lastCrash() + m_Options.RejectionRetention;
  std::chrono::seconds Pause = m_Options.InitialBackoff;
  for (size_t I = 0; I < Trials; ++I)
    Pause *= m_Options.BackoffFactor;
  return Suspect.lastCrash() + Pause;
}

std::optional<SuspectRejection>
CrashSuspects::rejectsAttempt(const RequestFingerprint &Request,
                              BootTime Now) const {
  const auto Position = m_Entries.find(Request);
  if (Position == m_Entries.end() || !isRejectable(Position->second))
    return std::nullopt;
  const BootTime Until = rejectedUntil(Position->second);
  if (Now >= Until)
    return std::nullopt;
  return SuspectRejection{"servers crash while running this request",
                          rounded(Until - Now)};
}

std::optional<SuspectRejection>
CrashSuspects::rejectsNewAttempt(const RequestFingerprint &Request,
                                 BootTime Now) const {
  if (auto Rejected = rejectsAttempt(Request, Now))
    return Rejected;
  return isolates(Request, Now);
}

std::optional<SuspectRejection>
CrashSuspects::isolates(const RequestFingerprint &Request, BootTime Now) const {
  const auto Position = m_Entries.find(Request);
  if (Position == m_Entries.end() || Now >= Position->second.IsolatedUntil)
    return std::nullopt;
  return SuspectRejection{"a server crashed while running this request, and "
                          "another attempt is in progress",
                          rounded(Position->second.IsolatedUntil - Now)};
}

size_t CrashSuspects::crashes(const RequestFingerprint &Request) const {
  const auto Position = m_Entries.find(Request);
  return Position == m_Entries.end() ? 0 : Position->second.Crashes.size();
}

std::vector<ServerStart>
CrashSuspects::crashedServers(const RequestFingerprint &Request) const {
  std::vector<ServerStart> Servers;
  if (const auto Position = m_Entries.find(Request);
      Position != m_Entries.end())
    for (const auto &[Server, Crash] : Position->second.Crashes)
      Servers.push_back(Server);
  return Servers;
}

size_t CrashSuspects::evidence(const RequestFingerprint &Request) const {
  const auto Position = m_Entries.find(Request);
  return Position == m_Entries.end() ? 0
                                     : Position->second.RankKnownSince.size();
}

void CrashSuspects::applyUpdate(const SuspectUpdate &Update, BootTime Now) {
  Entry &Suspect = findOrCreate(Update.Request, Now).second;
  if (Update.ClearedAge)
    clear(Suspect, Now - *Update.ClearedAge);
  bool IsNew = false;
  for (const SuspectUpdate::Crash &Crash : Update.Crashes) {
    const BootTime Time = Now - Crash.Age;
    // The peer does not know of a run that has completed since.
    const bool IsExcused = Suspect.ClearedAt && Time <= *Suspect.ClearedAt;
    IsNew = addCrash(Suspect, Crash.Server, {Time, Crash.Rank}, Now) ||
            IsExcused || IsNew;
  }
  if (!Suspect.Crashes.empty() && Update.Isolation > milliseconds(0))
    Suspect.IsolatedUntil = std::max(
        Suspect.IsolatedUntil,
        Now + std::min(Update.Isolation, m_Options.IsolationTimeAtLimit));
  // The gateway that detected the crash sends it to all peers; this one only
  // retransmits it.
  if (IsNew)
    Suspect.ChangedAt = Now;
  if (isExpired(Suspect, Now))
    m_Entries.erase(Update.Request);
}

SuspectUpdate CrashSuspects::makeUpdate(const Entries::value_type &Suspect,
                                        BootTime Now) {
  SuspectUpdate Update;
  Update.Request = Suspect.first;
  for (const auto &[Server, Crash] : Suspect.second.Crashes)
    Update.Crashes.push_back({Server, rounded(Now - Crash.At), Crash.Rank});
  if (Suspect.second.ClearedAt)
    Update.ClearedAge = rounded(Now - *Suspect.second.ClearedAt);
  Update.Isolation = rounded(Suspect.second.IsolatedUntil - Now);
  return Update;
}

std::vector<SuspectUpdate> CrashSuspects::takeChanges(BootTime Now) {
  std::vector<SuspectUpdate> Updates;
  for (const RequestFingerprint &Request : std::exchange(m_Changed, {}))
    if (const auto Position = m_Entries.find(Request);
        Position != m_Entries.end())
      Updates.push_back(makeUpdate(*Position, Now));
  return Updates;
}

std::vector<SuspectUpdate> CrashSuspects::takeRetransmissions(size_t Count,
                                                              BootTime Now) {
  std::vector<SuspectUpdate> Updates;
  const auto TakeMatching = [&](RequestFingerprint &Last, size_t Limit,
                                auto &&Matches) {
    const auto Append = [&](const Entries::value_type &Item) {
      if (Updates.size() >= Limit || !Matches(Item.second))
        return;
      Updates.push_back(makeUpdate(Item, Now));
      Last = Item.first;
    };
    const auto Next = m_Entries.upper_bound(Last);
    std::for_each(Next, m_Entries.end(), Append);
    std::for_each(m_Entries.begin(), Next, Append);
  };
  const auto HasManyCrashes = [](const Entry &Item) {
    return Item.Crashes.size() >= ManyCrashes;
  };
  TakeMatching(m_CrashCursor, Count / 2, HasManyCrashes);
  TakeMatching(m_ChangeCursor, Count, [&](const Entry &Item) {
    return !HasManyCrashes(Item) &&
           Now - Item.ChangedAt <= m_Options.RetransmitTime;
  });
  return Updates;
}

bool CrashSuspects::isExpired(const Entry &Suspect, BootTime Now) const {
  if (Suspect.Crashes.empty() && !Suspect.ClearedAt)
    return true;
  if (Suspect.Crashes.size() >= m_Options.CrashLimit)
    return Now - Suspect.lastCrash() > m_Options.RejectionRetention;
  return Now - std::max(Suspect.lastCrash(),
                        Suspect.ClearedAt.value_or(BootTime{})) >
         m_Options.SuspectRetention;
}

void CrashSuspects::expire(BootTime Now) {
  std::erase_if(m_Entries,
                [&](const auto &Item) { return isExpired(Item.second, Now); });
  std::erase_if(m_Completed, [&](const auto &Item) {
    return Now - Item.second > m_Options.CompletionRetention;
  });
}

} // namespace figlift::dispatch
