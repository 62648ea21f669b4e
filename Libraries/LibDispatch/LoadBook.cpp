//===- LoadBook.cpp - Work at the targets, as this process knows it -------===//
//
// Sums over own and peers' work; running means that decay towards "as planned"
// while a target gets no work.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LoadBook.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

namespace {

/// \p First, doubled \p Times, \p Most at most.
std::chrono::milliseconds doubled(std::chrono::milliseconds First,
                                  unsigned Times,
                                  std::chrono::milliseconds Most) {
  constexpr unsigned MaximumDoublings = 10;
  return std::min(First * (1U << std::min(Times, MaximumDoublings)), Most);
}

} // namespace

LoadBook::LoadBook(LoadBookOptions Options)
    : m_Options(Options), m_PeerLifetime(Options.PeerLifetime) {}

void LoadBook::targetCame(const Target &Which, uint64_t KvCapacityTokens) {
  m_Entries[Which.Id].Cache.setCapacity(KvCapacityTokens);
}

void LoadBook::targetGone(const std::string &Id) { m_Entries.erase(Id); }

const LoadBook::Entry *LoadBook::find(const std::string &TargetId) const {
  const auto Found = m_Entries.find(TargetId);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

uint64_t LoadBook::started(const std::string &TargetId, const Work &What) {
  const uint64_t Ticket = ++m_LastTicket;
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.Own[Ticket] = What;
  return Ticket;
}

void LoadBook::verdict(Entry &Which, double Slowness, double Failure,
                       BootTime Now) {
  const double Weight = m_Options.Smoothing;
  const double Before = forgiven(Which.Slowness, 1, Which, Now);
  const double Failures = forgiven(Which.Failures, 0, Which, Now);
  Which.Slowness =
      std::clamp(Before + Weight * (Slowness - Before),
                 m_Options.MinimumSlowness, m_Options.MaximumSlowness);
  Which.Failures = Failures + Weight * (Failure - Failures);
  Which.LastVerdict = Now;
  if (Failure != 0)
    return;
  Which.TurnedAway = 0;
  Which.FailuresInRow /= 2;
  Which.Errors -= Which.Errors * Weight;
}

void LoadBook::turnedAway(const std::string &TargetId, BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &Which = Found->second;
  const auto For =
      doubled(m_Options.LeftOut, Which.TurnedAway++, m_Options.MaximumLeftOut);
  Which.AvoidedUntil = std::max(Which.AvoidedUntil, Now + For);
}

bool LoadBook::resting(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which && Now < Which->RestsUntil;
}

void LoadBook::errored(const std::string &TargetId, BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &Which = Found->second;
  const double Before = errorShare(TargetId, Now);
  Which.Errors = Before + (1 - Before) * m_Options.Smoothing;
  Which.LastError = Now;
}

double LoadBook::errorShare(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  if (!Which)
    return 0;
  const double HalfLives =
      Milliseconds(Now - Which->LastError) / m_Options.ForgiveHalfLife;
  return Which->Errors * std::exp2(-std::max(0.0, HalfLives));
}

void LoadBook::avoid(const std::string &TargetId, BootTime Until) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.AvoidedUntil = std::max(Found->second.AvoidedUntil, Until);
}

bool LoadBook::avoided(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which && Now < Which->AvoidedUntil;
}

void LoadBook::answered(const std::string &TargetId, uint64_t Ticket,
                        BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  const auto Item = Found->second.Own.find(Ticket);
  if (Item == Found->second.Own.end())
    return;
  Item->second.Reading = Milliseconds(0);
  if (Item->second.Expected <= Milliseconds(0))
    return;
  const double Ratio =
      Milliseconds(Now - Item->second.Sent) / Item->second.Expected;
  verdict(Found->second, std::min(Ratio, m_Options.MaximumSlowness), 0, Now);
}

bool LoadBook::knows(const std::string &TargetId, uint64_t Ticket) const {
  const Entry *Which = find(TargetId);
  return Which && Which->Own.contains(Ticket);
}

void LoadBook::ended(const std::string &TargetId, uint64_t Ticket) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.Own.erase(Ticket);
}

void LoadBook::failed(const std::string &TargetId, uint64_t Ticket,
                      BootTime Now) {
  ended(TargetId, Ticket);
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  Entry &Which = Found->second;
  verdict(Which, forgiven(Which.Slowness, 1, Which, Now), 1, Now);
  // All requests at a target fail at once when its connection breaks: they
  // count as one failure.
  if (Now >= Which.RestsUntil)
    Which.RestsUntil = Now + doubled(m_Options.Rest, Which.FailuresInRow++,
                                     m_Options.MaximumRest);
}

LoadBook::Sum LoadBook::Sum::of(const PeerLoad &Load) {
  const auto Micros = [](Milliseconds Time) {
    return std::llround(Time.count() * 1e3);
  };
  return {Micros(Load.Cost), Micros(Load.Reading), Load.Items,
          std::llround(Load.Turnover * 1e6)};
}

void LoadBook::Sum::add(const Sum &Other, int64_t Sign) {
  CostMicros += Sign * Other.CostMicros;
  ReadingMicros += Sign * Other.ReadingMicros;
  Items += Sign * Other.Items;
  EndsInMillionMillis += Sign * Other.EndsInMillionMillis;
}

void LoadBook::addToSums(const PeerView &View, int64_t Sign) const {
  for (const auto &[Id, Each] : View.Loads) {
    const auto Found = m_PeerSums.try_emplace(Id).first;
    Found->second.add(Each, Sign);
    if (Found->second == Sum{})
      m_PeerSums.erase(Found);
  }
}

void LoadBook::reportsCome(std::chrono::microseconds Interval) {
  m_PeerLifetime = std::max<BootClock::duration>(
      m_Options.PeerLifetime, Interval * m_Options.ReportsMissed);
}

void LoadBook::peerReported(const std::string &Peer,
                            const std::vector<PeerLoad> &Loads, BootTime Now) {
  PeerView &View = m_Peers[Peer];
  addToSums(View, -1);
  View.At = Now;
  View.Loads.clear();
  for (const PeerLoad &Each : Loads)
    View.Loads.emplace_back(Each.TargetId, Sum::of(Each));
  addToSums(View, 1);
  m_OldestReport = m_Peers.size() == 1 ? Now : std::min(m_OldestReport, Now);
}

void LoadBook::forgetSilentPeers(BootTime Now) const {
  if (m_Peers.empty() || Now - m_OldestReport <= m_PeerLifetime)
    return;
  m_OldestReport = Now;
  std::erase_if(m_Peers, [&](const auto &Each) {
    const PeerView &View = Each.second;
    if (Now - View.At > m_PeerLifetime) {
      addToSums(View, -1);
      return true;
    }
    m_OldestReport = std::min(m_OldestReport, View.At);
    return false;
  });
}

std::vector<PeerLoad> LoadBook::ownLoads() const {
  std::vector<PeerLoad> Loads;
  for (const auto &[Id, Which] : m_Entries)
    if (!Which.Own.empty())
      Loads.push_back(ownLoad(Id, Which));
  return Loads;
}

PeerLoad LoadBook::ownLoad(const std::string &Id, const Entry &Which) {
  // Nothing takes less than this; it also keeps the turnover finite.
  constexpr Milliseconds ShortestWork{1};
  PeerLoad Load;
  Load.TargetId = Id;
  Load.Items = static_cast<uint32_t>(Which.Own.size());
  for (const auto &[Ticket, Each] : Which.Own) {
    Load.Cost += Each.Cost;
    Load.Reading += Each.Reading;
    Load.Turnover += 1 / std::max(ShortestWork, Each.Cost).count();
  }
  return Load;
}

PeerLoad LoadBook::total(const std::string &TargetId, BootTime Now) const {
  forgetSilentPeers(Now);
  PeerLoad Total;
  if (const Entry *Which = find(TargetId))
    Total = ownLoad(TargetId, *Which);
  const auto Peers = m_PeerSums.find(TargetId);
  if (Peers == m_PeerSums.end())
    return Total;
  const Sum &Told = Peers->second;
  Total.Cost += std::chrono::microseconds(Told.CostMicros);
  Total.Reading += std::chrono::microseconds(Told.ReadingMicros);
  Total.Items += static_cast<uint32_t>(Told.Items);
  Total.Turnover += static_cast<double>(Told.EndsInMillionMillis) / 1e6;
  return Total;
}

Milliseconds LoadBook::backlog(const std::string &TargetId,
                               BootTime Now) const {
  return total(TargetId, Now).Cost;
}

Milliseconds LoadBook::readingBacklog(const std::string &TargetId,
                                      BootTime Now) const {
  return total(TargetId, Now).Reading;
}

double LoadBook::items(const std::string &TargetId, BootTime Now) const {
  return total(TargetId, Now).Items;
}

double LoadBook::turnover(const std::string &TargetId, BootTime Now) const {
  return total(TargetId, Now).Turnover;
}

size_t LoadBook::ownItems(const std::string &TargetId) const {
  const Entry *Which = find(TargetId);
  return Which ? Which->Own.size() : 0;
}

double LoadBook::forgiven(double Value, double Rest, const Entry &Which,
                          BootTime Now) const {
  const double HalfLives =
      Milliseconds(Now - Which.LastVerdict) / m_Options.ForgiveHalfLife;
  return Rest + (Value - Rest) * std::exp2(-std::max(0.0, HalfLives));
}

double LoadBook::slowness(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which ? forgiven(Which->Slowness, 1, *Which, Now) : 1;
}

double LoadBook::failureShare(const std::string &TargetId, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which ? forgiven(Which->Failures, 0, *Which, Now) : 0;
}

KvCacheView &LoadBook::cache(const std::string &TargetId) {
  return m_Entries[TargetId].Cache;
}

void LoadBook::cacheTold(const std::string &TargetId) {
  if (const auto Found = m_Entries.find(TargetId); Found != m_Entries.end())
    Found->second.CacheKnown = true;
}

bool LoadBook::cacheIsKnown(const std::string &TargetId) const {
  const Entry *Which = find(TargetId);
  return Which && Which->CacheKnown;
}

uint32_t LoadBook::cachedTokens(const std::string &TargetId,
                                const Prompt &What) const {
  const Entry *Which = find(TargetId);
  return Which ? Which->Cache.cachedTokens(What) : 0;
}

uint32_t LoadBook::cachedTokensInTurn(const std::string &TargetId,
                                      const Prompt &What, BootTime Now) const {
  const Entry *Which = find(TargetId);
  return Which ? Which->Cache.cachedTokensInTurn(What, Now) : 0;
}

} // namespace figlift::dispatch
