//===- CrashCauses.cpp - What explains the crashes of servers -------------===//
//
// A bounded table of crashes with their candidates, and a greedy set cover.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashCauses.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figlift::dispatch {

using std::chrono::milliseconds;

namespace {

/// Maximum number of candidates, unless those of one crash are more, of
/// survivals and of trials in one retransmission.
constexpr size_t MaximumRetransmitted = 16;
/// Enough for a gateway that starts anew to learn a verdict at once.
constexpr size_t MaximumRetransmittedCrashes = 8;

milliseconds rounded(BootClock::duration Time) {
  return std::chrono::ceil<milliseconds>(
      std::max(Time, BootClock::duration::zero()));
}

} // namespace

bool CrashCauses::merge(const ServerStart &Server, BootTime CrashedAt,
                        const std::vector<CrashCandidate> &Candidates,
                        BootTime Now) {
  if (!m_Crashes.contains(Server) &&
      m_Crashes.size() >= m_Options.MaximumCrashes)
    evictCrash();
  const auto [Position, IsNew] =
      m_Crashes.try_emplace(Server, Crash{CrashedAt, {}, {}});
  Crash &Known = Position->second;
  // Forwarding only adds to the age of a crash.
  Known.At = std::min(Known.At, CrashedAt);
  bool HasChanged = false;
  for (const CrashCandidate &Candidate : Candidates) {
    if (const auto Survived = m_Survivals.find(Candidate.Cause);
        Survived != m_Survivals.end() && Survived->second.BeganAt > Known.At) {
      // Whoever reports the candidate does not know of the survival.
      Survived->second.RetransmitUntil = Now + m_Options.RetransmitTime;
      continue;
    }
    const auto [Entry, IsNewCandidate] = Known.Candidates.try_emplace(
        Candidate.Cause, Candidacy{Candidate.Depth, Candidate.SentBefore});
    const bool IsSentLater = Candidate.SentBefore < Entry->second.SentBefore;
    if (IsSentLater)
      Entry->second.SentBefore = Candidate.SentBefore;
    HasChanged = HasChanged || IsNewCandidate || IsSentLater;
  }
  limitCandidates(Known);
  if (Known.Candidates.empty())
    m_Crashes.erase(Position);
  return HasChanged;
}

/// Evicts the oldest crash, if possible one that no rejected cause explains.
void CrashCauses::evictCrash() {
  const auto Priority = [&](const Crashes::value_type &Item) {
    return std::pair(hasRejectedCandidate(Item.second), Item.second.At);
  };
  m_Crashes.erase(std::min_element(m_Crashes.begin(), m_Crashes.end(),
                                   [&](const auto &Left, const auto &Right) {
                                     return Priority(Left) < Priority(Right);
                                   }));
}

void CrashCauses::limitCandidates(Crash &Known) const {
  while (Known.Candidates.size() > m_Options.MaximumCandidates)
    Known.Candidates.erase(std::max_element(
        Known.Candidates.begin(), Known.Candidates.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.SentBefore < Right.second.SentBefore;
        }));
}

void CrashCauses::recordCrash(const ServerStart &Server, BootTime CrashedAt,
                              const std::vector<CrashCandidate> &Candidates,
                              BootTime Now) {
  if (!merge(Server, CrashedAt, Candidates, Now))
    return;
  m_Crashes[Server].RetransmitUntil = Now + m_Options.RetransmitTime;
  m_ChangedCrashes.insert(Server);
  update();
}

void CrashCauses::recordSurvival(const Fingerprint &Cause, BootTime BeganAt,
                                 BootTime Now) {
  if (!mergeSurvival(Cause, BeganAt))
    return;
  if (const auto Known = m_Survivals.find(Cause); Known != m_Survivals.end())
    Known->second.RetransmitUntil = Now + m_Options.RetransmitTime;
  m_ChangedSurvivals.insert(Cause);
  m_Stale = true;
}

/// Returns whether the survival has cleared the cause of a crash.
bool CrashCauses::mergeSurvival(const Fingerprint &Cause, BootTime BeganAt) {
  const auto Known = m_Survivals.find(Cause);
  if (Known != m_Survivals.end() && BeganAt <= Known->second.BeganAt)
    return false;
  if (Known == m_Survivals.end() &&
      m_Survivals.size() >= m_Options.MaximumSurvivals)
    return clear(Cause, BeganAt);
  Survival &Kept = m_Survivals[Cause];
  Kept.BeganAt = BeganAt;
  const bool HasCleared = clear(Cause, BeganAt);
  Kept.HasCleared = Kept.HasCleared || HasCleared;
  return HasCleared;
}

bool CrashCauses::clear(const Fingerprint &Cause, BootTime BeganAt) {
  if (!isCandidate(Cause))
    return false;
  bool HasCleared = false;
  for (auto &[Server, Known] : m_Crashes)
    if (Known.At < BeganAt && Known.Candidates.erase(Cause) > 0)
      HasCleared = true;
  std::erase_if(m_Crashes, [](const auto &Item) {
    return Item.second.Candidates.empty();
  });
  if (const auto Past = m_Trials.find(Cause); Past != m_Trials.end())
    std::erase_if(Past->second,
                  [&](const auto &Trial) { return Trial.second < BeganAt; });
  return HasCleared;
}

bool CrashCauses::Explanation::isBetterThan(const Explanation &Other) const {
  return std::tuple(Evidence, Crashes.size(), Depth, Cause) >
         std::tuple(Other.Evidence, Other.Crashes.size(), Other.Depth,
                    Other.Cause);
}

/// The largest number of crashes whose sends do not overlap.
size_t CrashCauses::evidenceOf(const Fingerprint &Cause,
                               std::vector<const Crash *> Crashes) {
  std::sort(Crashes.begin(), Crashes.end(),
            [](const Crash *Left, const Crash *Right) {
              return Left->At < Right->At;
            });
  size_t Count = 0;
  BootTime LastCrash{};
  for (const Crash *Next : Crashes)
    if (Count == 0 ||
        Next->At - Next->Candidates.at(Cause).SentBefore > LastCrash) {
      ++Count;
      LastCrash = Next->At;
    }
  return Count;
}

std::map<Fingerprint, CrashCauses::Explanation>
CrashCauses::explanations(const std::vector<const Crash *> &Unexplained) {
  std::map<Fingerprint, Explanation> All;
  for (const Crash *Known : Unexplained)
    for (const auto &[Cause, Candidate] : Known->Candidates) {
      Explanation &Entry = All[Cause];
      Entry.Cause = Cause;
      Entry.Depth = std::max(Entry.Depth, Candidate.Depth);
      Entry.Crashes.push_back(Known);
    }
  for (auto &[Cause, Entry] : All)
    Entry.Evidence = evidenceOf(Cause, Entry.Crashes);
  return All;
}

/// Whether a candidate further back in the prompt explains all crashes that
/// this one explains.
bool CrashCauses::isDominated(const Explanation &Candidate) {
  const auto &Others = Candidate.Crashes.front()->Candidates;
  return std::any_of(Others.begin(), Others.end(), [&](const auto &Other) {
    return Other.second.Depth > Candidate.Depth &&
           std::all_of(Candidate.Crashes.begin(), Candidate.Crashes.end(),
                       [&](const Crash *Known) {
                         return Known->Candidates.contains(Other.first);
                       });
  });
}

/// Null if no candidate has enough evidence.
const CrashCauses::Explanation *
CrashCauses::best(const std::map<Fingerprint, Explanation> &All) const {
  const Explanation *Best = nullptr;
  for (const auto &[Cause, Candidate] : All)
    if (Candidate.Evidence >= m_Options.EvidenceLimit &&
        (!Best || Candidate.isBetterThan(*Best)) && !isDominated(Candidate))
      Best = &Candidate;
  return Best;
}

/// Determines the rejected causes anew.
void CrashCauses::update() {
  std::vector<const Crash *> Unexplained;
  for (const auto &[Server, Known] : m_Crashes)
    Unexplained.push_back(&Known);
  m_Stale = false;
  m_Rejected.clear();
  m_OpenEvidence.clear();
  for (const Crash *Known : Unexplained)
    for (const auto &[Cause, Candidate] : Known->Candidates)
      m_OpenEvidence[Cause] = 0;
  for (;;) {
    const auto All = explanations(Unexplained);
    const Explanation *Best = best(All);
    if (!Best) {
      for (const auto &[Cause, Entry] : All)
        m_OpenEvidence[Cause] = Entry.Evidence;
      return;
    }
    const Explanation &Found = *Best;
    RejectedCause &Verdict = m_Rejected[Found.Cause];
    Verdict.Crashes = Found.Crashes.size();
    Verdict.Evidence = Found.Evidence;
    for (const Crash *Known : Found.Crashes)
      Verdict.LastCrash = std::max(Verdict.LastCrash, Known->At);
    std::erase_if(Unexplained, [&](const Crash *Known) {
      return Known->Candidates.contains(Found.Cause);
    });
  }
}

size_t CrashCauses::openEvidence(const Fingerprint &Cause) const {
  const auto Known = m_OpenEvidence.find(Cause);
  return Known == m_OpenEvidence.end() ? 0 : Known->second;
}

bool CrashCauses::isExplainedByOther(const ServerStart &Server,
                                     const Fingerprint &Cause) const {
  const auto Known = m_Crashes.find(Server);
  return Known != m_Crashes.end() &&
         std::any_of(m_Rejected.begin(), m_Rejected.end(),
                     [&](const auto &Item) {
                       return Item.first != Cause &&
                              Known->second.Candidates.contains(Item.first);
                     });
}

bool CrashCauses::hasRejectedCandidate(const Crash &Known) const {
  return std::any_of(
      m_Rejected.begin(), m_Rejected.end(),
      [&](const auto &Item) { return Known.Candidates.contains(Item.first); });
}

void CrashCauses::recordTrial(const Fingerprint &Cause, uint64_t Id,
                              BootTime Now) {
  if (!isRejected(Cause))
    return;
  m_Trials[Cause].emplace(Id, Now);
  m_NewTrials.push_back({Cause, Id, milliseconds(0)});
}

BootTime CrashCauses::rejectedUntil(const Fingerprint &Cause,
                                    const RejectedCause &Verdict) const {
  size_t Count = 0;
  BootTime Last = Verdict.LastCrash;
  if (const auto Past = m_Trials.find(Cause); Past != m_Trials.end()) {
    Count = Past->second.size();
    for (const auto &[Id, At] : Past->second)
      Last = std::max(Last, At);
  }
  if (Count >= m_Options.MaximumTrials)
    return Last + m_Options.RejectionRetention;
  std::chrono::seconds Pause = m_Options.InitialBackoff;
  for (size_t I = 0; I < Count; ++I)
    Pause *= m_Options.BackoffFactor;
  return Last + Pause + m_TrialDelay;
}

std::optional<CrashCauses::Rejection>
CrashCauses::rejects(std::span<const Fingerprint> Causes, BootTime Now) const {
  if (m_Rejected.empty())
    return std::nullopt;
  for (const Fingerprint &Cause : Causes)
    if (const auto Known = m_Rejected.find(Cause); Known != m_Rejected.end())
      if (const BootTime Until = rejectedUntil(Cause, Known->second);
          Now < Until)
        return Rejection{Cause, rounded(Until - Now)};
  return std::nullopt;
}

std::vector<CauseVerdict> CrashCauses::takeVerdictChanges() {
  std::vector<CauseVerdict> Changes;
  std::set<Fingerprint> Current;
  for (const auto &[Cause, Verdict] : m_Rejected) {
    Current.insert(Cause);
    if (!m_ReportedRejected.contains(Cause))
      Changes.push_back({Cause, true, Verdict.Crashes, Verdict.Evidence});
  }
  for (const Fingerprint &Cause : m_ReportedRejected)
    if (!Current.contains(Cause))
      Changes.push_back({Cause, false, 0, openEvidence(Cause)});
  m_ReportedRejected = std::move(Current);
  return Changes;
}

void CrashCauses::applyUpdate(const CrashCauseUpdate &Update, BootTime Now) {
  for (const CrashCauseUpdate::Survival &Known : Update.Survivals)
    m_Stale = mergeSurvival(Known.Cause, Now - Known.Age) || m_Stale;
  bool HasChanged = false;
  for (const CrashCauseUpdate::Crash &Known : Update.Crashes)
    HasChanged = merge(Known.Server, Now - Known.Age, Known.Candidates, Now) ||
                 HasChanged;
  if (HasChanged)
    update();
  for (const CrashCauseUpdate::Trial &Known : Update.Trials)
    if (isCandidate(Known.Cause))
      m_Trials[Known.Cause].emplace(Known.Id, Now - Known.Age);
}

CrashCauseUpdate::Crash
CrashCauses::makeUpdate(const Crashes::value_type &Known, BootTime Now) const {
  const Crash &Content = Known.second;
  // Later only the verdict has to be passed on.
  const bool IsRecent = Now <= Content.RetransmitUntil;
  CrashCauseUpdate::Crash Update{Known.first, rounded(Now - Content.At), {}};
  for (const auto &[Cause, Candidate] : Content.Candidates)
    if (IsRecent || isRejected(Cause))
      Update.Candidates.push_back(
          {Cause, Candidate.Depth, Candidate.SentBefore});
  return Update;
}

std::vector<CrashCauseUpdate> CrashCauses::takeChanges(BootTime Now) {
  std::vector<CrashCauseUpdate> Updates;
  for (const ServerStart &Server : std::exchange(m_ChangedCrashes, {}))
    if (const auto Known = m_Crashes.find(Server); Known != m_Crashes.end()) {
      CrashCauseUpdate Update;
      Update.Crashes.push_back(makeUpdate(*Known, Now));
      Updates.push_back(std::move(Update));
    }
  CrashCauseUpdate Others;
  for (const Fingerprint &Cause : std::exchange(m_ChangedSurvivals, {}))
    if (const auto Known = m_Survivals.find(Cause); Known != m_Survivals.end())
      Others.Survivals.push_back({Cause, rounded(Now - Known->second.BeganAt)});
  Others.Trials = std::exchange(m_NewTrials, {});
  if (!Others.empty())
    Updates.push_back(std::move(Others));
  return Updates;
}

/// Adds crashes for which \p IsNeeded, beginning after \p Cursor.
template <typename Predicate>
void CrashCauses::takeCrashes(CrashCauseUpdate &Update, ServerStart &Cursor,
                              BootTime Now, Predicate IsNeeded) const {
  size_t Candidates = 0;
  const auto Take = [&](const Crashes::value_type &Known) {
    if (Update.Crashes.size() >= MaximumRetransmittedCrashes ||
        Candidates >= MaximumRetransmitted || !IsNeeded(Known.second))
      return;
    Update.Crashes.push_back(makeUpdate(Known, Now));
    Candidates += Update.Crashes.back().Candidates.size();
    Cursor = Known.first;
  };
  const auto Next = m_Crashes.upper_bound(Cursor);
  std::for_each(Next, m_Crashes.end(), Take);
  std::for_each(m_Crashes.begin(), Next, Take);
}

CrashCauseUpdate CrashCauses::takeRetransmission(BootTime Now) {
  CrashCauseUpdate Update;
  takeCrashes(Update, m_CrashCursor, Now,
              [&](const Crash &Known) { return Now <= Known.RetransmitUntil; });
  const auto Take = [&](const auto &Known) {
    const auto &[Cause, Content] = Known;
    if (Update.Survivals.size() >= MaximumRetransmitted ||
        Now > Content.RetransmitUntil)
      return;
    Update.Survivals.push_back({Cause, rounded(Now - Content.BeganAt)});
    m_SurvivalCursor = Cause;
  };
  const auto Next = m_Survivals.upper_bound(m_SurvivalCursor);
  std::for_each(Next, m_Survivals.end(), Take);
  std::for_each(m_Survivals.begin(), Next, Take);
  return Update;
}

CrashCauseUpdate CrashCauses::takeRejections(BootTime Now) {
  CrashCauseUpdate Update;
  takeCrashes(Update, m_RejectionCursor, Now,
              [&](const Crash &Known) { return hasRejectedCandidate(Known); });
  for (const auto &[Cause, Past] : m_Trials)
    for (const auto &[Id, At] : Past)
      if (Update.Trials.size() < MaximumRetransmitted)
        Update.Trials.push_back({Cause, Id, rounded(Now - At)});
  return Update;
}

bool CrashCauses::isExpired(const Crash &Known, BootTime Now) const {
  BootTime LastCrash{};
  for (const auto &[Cause, Verdict] : m_Rejected)
    if (Known.Candidates.contains(Cause))
      LastCrash = std::max(LastCrash, Verdict.LastCrash);
  return LastCrash == BootTime{}
             ? Now - Known.At > m_Options.CrashRetention
             : Now - LastCrash > m_Options.RejectionRetention;
}

void CrashCauses::expire(BootTime Now) {
  const size_t Expired = std::erase_if(
      m_Crashes, [&](const auto &Item) { return isExpired(Item.second, Now); });
  if (Expired > 0 || m_Stale)
    update();
  std::erase_if(m_Survivals, [&](const auto &Item) {
    const Survival &Known = Item.second;
    return Now - Known.BeganAt > (Known.HasCleared
                                      ? m_Options.CrashRetention
                                      : m_Options.SurvivalRetention);
  });
  std::erase_if(m_Trials,
                [&](const auto &Item) { return !isCandidate(Item.first); });
}

} // namespace figlift::dispatch
