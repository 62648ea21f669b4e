//===- LoadTracker.cpp - Work at the targets, as this process knows it
//-------===//
//
// Sums over own and peers' work; running means that decay towards "as planned"
// while a target gets no work.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

namespace {

/// \p First, doubled \p Times, \p Most at most.
std::chrono::milliseconds backoffTime(std::chrono::milliseconds First,
                                      unsigned Times,
                                      std::chrono::milliseconds Most) {
  constexpr unsigned MaximumDoublings = 10;
  return std::min(First * (1U << std::min(Times, MaximumDoublings)), Most);
}

} // namespace

LoadTracker::LoadTracker(LoadTrackerOptions Options)
    : m_Options(Options), m_PeerLifetime(Options.PeerLifetime) {}

void LoadTracker::targetAdded(const Target &Which, uint64_t KvCapacityTokens) {
  m_Entries[Which.Id].Cache.setCapacity(KvCapacityTokens);
}

void LoadTracker::targetRemoved(const std::string &Id) { m_Entries.erase(Id); }

const LoadTracker::Entry *LoadTracker::find(const std::string &TargetId) const {
  const auto Found = m_Entries.find(TargetId);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

uint64_t LoadTracker::recordSent(const std::string &TargetId,
                                 const Work &What) {
  const uint64_t Ticket = ++m_LastTicket;
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.Own[Ticket] = What;
  return Ticket;
}

void LoadTracker::recordOutcome(Entry &Which, double Slowness, double Failure,
                                BootTime Now) {
  const double Weight = m_Options.Smoothing;
  const double Before = decayed(Which.Slowness, 1, Which, Now);
  const double Failures = decayed(Which.Failures, 0, Which, Now);
  Which.Slowness =
      std::clamp(Before + Weight * (Slowness - Before),
                 m_Options.MinimumSlowness, m_Options.MaximumSlowness);
  Which.Failures = Failures + Weight * (Failure - Failures);
  Which.LastOutcome = Now;
  if (Failure != 0)
    return;
  Which.ConsecutiveRejections = 0;
  Which.ConsecutiveFailures /= 2;
  Which.Errors -= Which.Errors * Weight;
}

void LoadTracker::recordRejection(const std::string &TargetId, BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &Which = Found->second;
  const auto For =
      backoffTime(m_Options.RejectionBackoff, Which.ConsecutiveRejections++,
                  m_Options.MaximumRejectionBackoff);
  Which.ExcludedUntil = std::max(Which.ExcludedUntil, Now + For);
}

bool LoadTracker::isEjected(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which && Now < Which->EjectedUntil;
}

void LoadTracker::recordError(const std::string &TargetId, BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &Which = Found->second;
  const double Before = errorShare(TargetId, Now);
  Which.Errors = Before + (1 - Before) * m_Options.Smoothing;
  Which.LastError = Now;
}

double LoadTracker::errorShare(const std::string &TargetId,
                               BootTime Now) const {
  const Entry *Which = find(TargetId);
  if (!Which)
    return 0;
  const double HalfLives =
      Milliseconds(Now - Which->LastError) / m_Options.DecayHalfLife;
  return Which->Errors * std::exp2(-std::max(0.0, HalfLives));
}

void LoadTracker::excludeUntil(const std::string &TargetId, BootTime Until) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.ExcludedUntil = std::max(Found->second.ExcludedUntil, Until);
}

bool LoadTracker::isExcluded(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which && Now < Which->ExcludedUntil;
}

void LoadTracker::recordAnswer(const std::string &TargetId, uint64_t Ticket,
                               BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  const auto Item = Found->second.Own.find(Ticket);
  if (Item == Found->second.Own.end())
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
  const Entry *Which = find(TargetId);
  return Which && Which->Own.contains(Ticket);
}

void LoadTracker::recordEnd(const std::string &TargetId, uint64_t Ticket) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.Own.erase(Ticket);
}

void LoadTracker::recordFailure(const std::string &TargetId, uint64_t Ticket,
                                BootTime Now) {
  recordEnd(TargetId, Ticket);
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &Which = Found->second;
  recordOutcome(Which, decayed(Which.Slowness, 1, Which, Now), 1, Now);
  // All requests at a target fail at once when its connection breaks: they
  // count as one failure.
  if (Now >= Which.EjectedUntil)
    Which.EjectedUntil =
        Now + backoffTime(m_Options.EjectionTime, Which.ConsecutiveFailures++,
                          m_Options.MaximumEjectionTime);
}

LoadTracker::Sum LoadTracker::Sum::of(const PeerLoad &Load) {
  const auto Micros = [](Milliseconds Time) {
    return std::llround(Time.count() * 1e3);
  };
  return {Micros(Load.Cost), Micros(Load.PrefillCost), Load.Items,
          std::llround(Load.CompletionRate * 1e6)};
}

void LoadTracker::Sum::add(const Sum &Other, int64_t Sign) {
  CostMicros += Sign * Other.CostMicros;
  PrefillMicros += Sign * Other.PrefillMicros;
  Items += Sign * Other.Items;
  CompletionsPerMillionMs += Sign * Other.CompletionsPerMillionMs;
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
  std::erase_if(m_Peers, [&](const auto &Load) {
    const PeerView &View = Load.second;
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
  for (const auto &[Id, Which] : m_Entries)
    if (!Which.Own.empty())
      Loads.push_back(localLoad(Id, Which));
  return Loads;
}

PeerLoad LoadTracker::localLoad(const std::string &Id, const Entry &Which) {
  // Nothing takes less than this; it also keeps the turnover finite.
  constexpr Milliseconds ShortestWork{1};
  PeerLoad Load;
  Load.TargetId = Id;
  Load.Items = static_cast<uint32_t>(Which.Own.size());
  for (const auto &[Ticket, Item] : Which.Own) {
    Load.Cost += Item.Cost;
    Load.PrefillCost += Item.PrefillCost;
    Load.CompletionRate += 1 / std::max(ShortestWork, Item.Cost).count();
  }
  return Load;
}

PeerLoad LoadTracker::total(const std::string &TargetId, BootTime Now) const {
  expireSilentPeers(Now);
  PeerLoad Total;
  if (const Entry *Which = find(TargetId))
    Total = localLoad(TargetId, *Which);
  const auto Peers = m_PeerSums.find(TargetId);
  if (Peers == m_PeerSums.end())
    return Total;
  const Sum &Told = Peers->second;
  Total.Cost += std::chrono::microseconds(Told.CostMicros);
  Total.PrefillCost += std::chrono::microseconds(Told.PrefillMicros);
  Total.Items += static_cast<uint32_t>(Told.Items);
  Total.CompletionRate +=
      static_cast<double>(Told.CompletionsPerMillionMs) / 1e6;
  return Total;
}

Milliseconds LoadTracker::backlog(const std::string &TargetId,
                                  BootTime Now) const {
  return total(TargetId, Now).Cost;
}

Milliseconds LoadTracker::prefillBacklog(const std::string &TargetId,
                                         BootTime Now) const {
  return total(TargetId, Now).PrefillCost;
}

double LoadTracker::items(const std::string &TargetId, BootTime Now) const {
  return total(TargetId, Now).Items;
}

double LoadTracker::completionRate(const std::string &TargetId,
                                   BootTime Now) const {
  return total(TargetId, Now).CompletionRate;
}

size_t LoadTracker::localItems(const std::string &TargetId) const {
  const Entry *Which = find(TargetId);
  return Which ? Which->Own.size() : 0;
}

double LoadTracker::decayed(double Value, double Baseline, const Entry &Which,
                            BootTime Now) const {
  const double HalfLives =
      Milliseconds(Now - Which.LastOutcome) / m_Options.DecayHalfLife;
  return Baseline + (Value - Baseline) * std::exp2(-std::max(0.0, HalfLives));
}

double LoadTracker::slowness(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which ? decayed(Which->Slowness, 1, *Which, Now) : 1;
}

double LoadTracker::failureShare(const std::string &TargetId,
                                 BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which ? decayed(Which->Failures, 0, *Which, Now) : 0;
}

KvCacheView &LoadTracker::cache(const std::string &TargetId) {
  return m_Entries[TargetId].Cache;
}

void LoadTracker::setCacheReported(const std::string &TargetId) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.CacheReported = true;
}

bool LoadTracker::cacheReported(const std::string &TargetId) const {
  const Entry *Which = find(TargetId);
  return Which && Which->CacheReported;
}

uint32_t LoadTracker::cachedTokens(const std::string &TargetId,
                                   const Prompt &What) const {
  const Entry *Which = find(TargetId);
  return Which ? Which->Cache.cachedTokens(What) : 0;
}

uint32_t LoadTracker::cachedTokensWithPending(const std::string &TargetId,
                                              const Prompt &What,
                                              BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which ? Which->Cache.cachedTokensWithPending(What, Now) : 0;
}

} // namespace figlift::dispatch
