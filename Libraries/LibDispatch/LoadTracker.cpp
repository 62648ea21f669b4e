//===- LoadTracker.cpp - Outstanding work per target ----------------------===//
//
// Sums over the work of this process and its peers, and moving averages that
// decay towards the planned values while a target receives no work.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

namespace {

/// Exponential backoff: \p First, doubled \p Repetitions times.
std::chrono::milliseconds backoffTime(std::chrono::milliseconds First,
                                      unsigned Repetitions,
                                      std::chrono::milliseconds Maximum) {
  constexpr unsigned MaximumDoublings = 10;
  return std::min(First * (1U << std::min(Repetitions, MaximumDoublings)),
                  Maximum);
}

unsigned priorityOf(const Work &Item) {
  return std::min(Item.EnginePriority.value_or(DefaultEnginePriority),
                  LeastUrgentPriority);
}

} // namespace

LoadTracker::LoadTracker(LoadTrackerOptions Options)
    : m_Options(Options), m_PeerLifetime(Options.PeerLifetime) {}

void LoadTracker::targetAdded(const Target &NewTarget,
                              uint64_t KvCapacityTokens) {
  m_Entries[NewTarget.Id].Cache.setCapacity(KvCapacityTokens);
}

void LoadTracker::targetRemoved(const std::string &Id) { m_Entries.erase(Id); }

const LoadTracker::Entry *LoadTracker::find(const std::string &TargetId) const {
  const auto Found = m_Entries.find(TargetId);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

uint64_t LoadTracker::recordSent(const std::string &TargetId,
                                 const Work &Item) {
  const uint64_t Ticket = ++m_LastTicket;
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.LocalWork[Ticket] = Item;
  return Ticket;
}

void LoadTracker::recordOutcome(Entry &State, double Slowness, double Failure,
                                BootTime Now) {
  const double Weight = m_Options.Smoothing;
  const double Previous = decayed(State.Slowness, 1, State, Now);
  const double Failures = decayed(State.Failures, 0, State, Now);
  State.Slowness =
      std::clamp(Previous + Weight * (Slowness - Previous),
                 m_Options.MinimumSlowness, m_Options.MaximumSlowness);
  State.Failures = Failures + Weight * (Failure - Failures);
  State.LastOutcome = Now;
  if (Failure != 0)
    return;
  State.ConsecutiveRejections = 0;
  State.ConsecutiveFailures /= 2;
  State.Errors -= State.Errors * Weight;
}

void LoadTracker::recordRejection(const std::string &TargetId, BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &State = Found->second;
  const auto Backoff =
      backoffTime(m_Options.RejectionBackoff, State.ConsecutiveRejections++,
                  m_Options.MaximumRejectionBackoff);
  State.ExcludedUntil = std::max(State.ExcludedUntil, Now + Backoff);
}

bool LoadTracker::isEjected(const std::string &TargetId, BootTime Now) const {
  const Entry *State = find(TargetId);
  return State && Now < State->EjectedUntil;
}

void LoadTracker::recordError(const std::string &TargetId, BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &State = Found->second;
  const double Previous = errorShare(TargetId, Now);
  State.Errors = Previous + (1 - Previous) * m_Options.Smoothing;
  State.LastError = Now;
}

double LoadTracker::errorShare(const std::string &TargetId,
                               BootTime Now) const {
  const Entry *State = find(TargetId);
  if (!State)
    return 0;
  const double HalfLives =
      Milliseconds(Now - State->LastError) / m_Options.DecayHalfLife;
  return State->Errors * std::exp2(-std::max(0.0, HalfLives));
}

void LoadTracker::excludeUntil(const std::string &TargetId, BootTime Until) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.ExcludedUntil = std::max(Found->second.ExcludedUntil, Until);
}

bool LoadTracker::isExcluded(const std::string &TargetId, BootTime Now) const {
  const Entry *State = find(TargetId);
  return State && Now < State->ExcludedUntil;
}

void LoadTracker::recordAnswer(const std::string &TargetId, uint64_t Ticket,
                               BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  const auto Item = Found->second.LocalWork.find(Ticket);
  if (Item == Found->second.LocalWork.end())
    return;
  Item->second.PrefillCost = Milliseconds(0);
  if (Item->second.Expected <= Milliseconds(0))
    return;
  const double Ratio =
      Milliseconds(Now - Item->second.SentAt) / Item->second.Expected;
  recordOutcome(Found->second, std::min(Ratio, m_Options.MaximumSlowness), 0,
                Now);
}

bool LoadTracker::isCurrent(const std::string &TargetId,
                            uint64_t Ticket) const {
  const Entry *State = find(TargetId);
  return State && State->LocalWork.contains(Ticket);
}

void LoadTracker::recordEnd(const std::string &TargetId, uint64_t Ticket) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.LocalWork.erase(Ticket);
}

void LoadTracker::recordFailure(const std::string &TargetId, uint64_t Ticket,
                                BootTime Now) {
  recordEnd(TargetId, Ticket);
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &State = Found->second;
  recordOutcome(State, decayed(State.Slowness, 1, State, Now), 1, Now);
  // If a connection is lost, all requests on it fail together. They count as
  // one failure.
  if (Now >= State.EjectedUntil)
    State.EjectedUntil =
        Now + backoffTime(m_Options.EjectionTime, State.ConsecutiveFailures++,
                          m_Options.MaximumEjectionTime);
}

LoadTracker::Sum LoadTracker::Sum::of(const PeerLoad &Load) {
  const auto Micros = [](Milliseconds Time) {
    return std::llround(Time.count() * 1e3);
  };
  Sum Result;
  Result.CostMicros = Micros(Load.Cost);
  Result.CompletionsPerMillionMs = std::llround(Load.CompletionRate * 1e6);
  if (Load.ByPriority.empty()) {
    Result.UnknownPrefillMicros = Micros(Load.PrefillCost);
    Result.UnknownItems = Load.Items;
  }
  for (const PriorityLoad &Part : Load.ByPriority) {
    // A peer of a later version may know further priorities.
    const unsigned Priority = std::min(Part.Priority, LeastUrgentPriority);
    Result.PrefillMicros[Priority] += Micros(Part.PrefillCost);
    Result.Items[Priority] += Part.Items;
  }
  return Result;
}

void LoadTracker::Sum::add(const Sum &Other, int64_t Sign) {
  CostMicros += Sign * Other.CostMicros;
  CompletionsPerMillionMs += Sign * Other.CompletionsPerMillionMs;
  UnknownPrefillMicros += Sign * Other.UnknownPrefillMicros;
  UnknownItems += Sign * Other.UnknownItems;
  for (unsigned Priority = 0; Priority <= LeastUrgentPriority; ++Priority) {
    PrefillMicros[Priority] += Sign * Other.PrefillMicros[Priority];
    Items[Priority] += Sign * Other.Items[Priority];
  }
}

double LoadTracker::Sum::shareUpTo(unsigned LeastUrgent) const {
  int64_t All = 0;
  int64_t UpTo = 0;
  for (unsigned Priority = 0; Priority <= LeastUrgentPriority; ++Priority) {
    All += PrefillMicros[Priority];
    if (Priority <= LeastUrgent)
      UpTo += PrefillMicros[Priority];
  }
  if (All == 0)
    return LeastUrgent >= DefaultEnginePriority ? 1 : 0;
  return static_cast<double>(UpTo) / static_cast<double>(All);
}

void LoadTracker::addToSums(const PeerView &View, int64_t Sign) const {
  for (const auto &[Id, Load] : View.Loads) {
    const auto Found = m_PeerSums.try_emplace(Id).first;
    Found->second.add(Load, Sign);
    if (Found->second == Sum{})
      m_PeerSums.erase(Found);
  }
}

void LoadTracker::setReportInterval(std::chrono::microseconds Interval) {
  m_PeerLifetime = std::max<BootClock::duration>(
      m_Options.PeerLifetime, Interval * m_Options.MaximumMissedReports);
}

void LoadTracker::recordPeerReport(const std::string &Peer,
                                   const std::vector<PeerLoad> &Loads,
                                   BootTime Now) {
  PeerView &View = m_Peers[Peer];
  addToSums(View, -1);
  View.At = Now;
  View.Loads.clear();
  for (const PeerLoad &Load : Loads)
    View.Loads.emplace_back(Load.TargetId, Sum::of(Load));
  addToSums(View, 1);
  m_OldestReport = m_Peers.size() == 1 ? Now : std::min(m_OldestReport, Now);
}

void LoadTracker::expireSilentPeers(BootTime Now) const {
  if (m_Peers.empty() || Now - m_OldestReport <= m_PeerLifetime)
    return;
  m_OldestReport = Now;
  std::erase_if(m_Peers, [&](const auto &Peer) {
    const PeerView &View = Peer.second;
    if (Now - View.At > m_PeerLifetime) {
      addToSums(View, -1);
      return true;
    }
    m_OldestReport = std::min(m_OldestReport, View.At);
    return false;
  });
}

std::vector<PeerLoad> LoadTracker::localLoads() const {
  std::vector<PeerLoad> Loads;
  for (const auto &[Id, State] : m_Entries)
    if (!State.LocalWork.empty()) {
      Loads.push_back(localLoad(Id, State, LeastUrgentPriority));
      Loads.back().ByPriority = localByPriority(State);
    }
  return Loads;
}

std::vector<PriorityLoad> LoadTracker::localByPriority(const Entry &State) {
  std::array<PriorityLoad, LeastUrgentPriority + 1> Parts;
  bool IsAnySet = false;
  for (const auto &[Ticket, Item] : State.LocalWork) {
    IsAnySet = IsAnySet || Item.EnginePriority;
    PriorityLoad &Part = Parts[priorityOf(Item)];
    ++Part.Items;
    Part.PrefillCost += Item.PrefillCost;
  }
  std::vector<PriorityLoad> Result;
  for (unsigned Priority = 0; IsAnySet && Priority < Parts.size(); ++Priority) {
    Parts[Priority].Priority = Priority;
    if (Parts[Priority].Items > 0)
      Result.push_back(Parts[Priority]);
  }
  return Result;
}

PeerLoad LoadTracker::localLoad(const std::string &Id, const Entry &State,
                                unsigned LeastUrgent) {
  // No work takes less time. Also keeps the completion rate finite.
  constexpr Milliseconds MinimumCost{1};
  PeerLoad Load;
  Load.TargetId = Id;
  for (const auto &[Ticket, Item] : State.LocalWork) {
    Load.Cost += Item.Cost;
    Load.CompletionRate += 1 / std::max(MinimumCost, Item.Cost).count();
    if (priorityOf(Item) > LeastUrgent)
      continue;
    ++Load.Items;
    Load.PrefillCost += Item.PrefillCost;
  }
  return Load;
}

PeerLoad LoadTracker::total(const std::string &TargetId, BootTime Now,
                            unsigned LeastUrgent) const {
  expireSilentPeers(Now);
  PeerLoad Total;
  if (const Entry *State = find(TargetId))
    Total = localLoad(TargetId, *State, LeastUrgent);
  const auto Peers = m_PeerSums.find(TargetId);
  if (Peers == m_PeerSums.end())
    return Total;
  const Sum &PeerSum = Peers->second;
  Total.Cost += std::chrono::microseconds(PeerSum.CostMicros);
  for (unsigned Priority = 0;
       Priority <= std::min(LeastUrgent, LeastUrgentPriority); ++Priority) {
    Total.PrefillCost +=
        std::chrono::microseconds(PeerSum.PrefillMicros[Priority]);
    Total.Items += static_cast<uint32_t>(PeerSum.Items[Priority]);
  }
  const double Share = PeerSum.shareUpTo(LeastUrgent);
  Total.PrefillCost += std::chrono::microseconds(
      std::llround(Share * static_cast<double>(PeerSum.UnknownPrefillMicros)));
  Total.Items += static_cast<uint32_t>(
      std::llround(Share * static_cast<double>(PeerSum.UnknownItems)));
  Total.CompletionRate +=
      static_cast<double>(PeerSum.CompletionsPerMillionMs) / 1e6;
  return Total;
}

Milliseconds LoadTracker::backlog(const std::string &TargetId,
                                  BootTime Now) const {
  return total(TargetId, Now).Cost;
}

Milliseconds LoadTracker::prefillBacklog(const std::string &TargetId,
                                         BootTime Now,
                                         unsigned LeastUrgent) const {
  return total(TargetId, Now, LeastUrgent).PrefillCost;
}

double LoadTracker::items(const std::string &TargetId, BootTime Now,
                          unsigned LeastUrgent) const {
  return total(TargetId, Now, LeastUrgent).Items;
}

double LoadTracker::completionRate(const std::string &TargetId,
                                   BootTime Now) const {
  return total(TargetId, Now).CompletionRate;
}

size_t LoadTracker::localItems(const std::string &TargetId) const {
  const Entry *State = find(TargetId);
  return State ? State->LocalWork.size() : 0;
}

double LoadTracker::decayed(double Value, double Baseline, const Entry &State,
                            BootTime Now) const {
  const double HalfLives =
      Milliseconds(Now - State.LastOutcome) / m_Options.DecayHalfLife;
  return Baseline + (Value - Baseline) * std::exp2(-std::max(0.0, HalfLives));
}

double LoadTracker::slowness(const std::string &TargetId, BootTime Now) const {
  const Entry *State = find(TargetId);
  return State ? decayed(State->Slowness, 1, *State, Now) : 1;
}

double LoadTracker::failureShare(const std::string &TargetId,
                                 BootTime Now) const {
  const Entry *State = find(TargetId);
  return State ? decayed(State->Failures, 0, *State, Now) : 0;
}

KvCacheView &LoadTracker::cache(const std::string &TargetId) {
  return m_Entries[TargetId].Cache;
}

void LoadTracker::setCacheReported(const std::string &TargetId) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.CacheReported = true;
}

bool LoadTracker::cacheReported(const std::string &TargetId) const {
  const Entry *State = find(TargetId);
  return State && State->CacheReported;
}

uint32_t LoadTracker::cachedTokens(const std::string &TargetId,
                                   const Prompt &Input) const {
  const Entry *State = find(TargetId);
  return State ? State->Cache.cachedTokens(Input) : 0;
}

uint32_t LoadTracker::cachedTokensWithPending(const std::string &TargetId,
                                              const Prompt &Input,
                                              BootTime Now) const {
  const Entry *State = find(TargetId);
  return State ? State->Cache.cachedTokensWithPending(Input, Now) : 0;
}

} // namespace figlift::dispatch
