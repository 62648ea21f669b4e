//===- TargetGauge.cpp - Live load of one target ----------------*- C++ -*-===//
//
// Atomic counters of TargetGauge.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/TargetGauge.h"

#include <algorithm>

namespace figlift::route {

namespace {

constexpr double HitRatioWeight = 0.1;
/// Above 0, so that a target whose cache has recovered is still tried.
constexpr double MinimumHitRatio = 0.1;

} // namespace

void TargetGauge::report(const TargetLoad &Load, BootTime Now) {
  for (size_t I = 0; I < ServiceClassCount; ++I)
    m_PrefillWaiting[I].store(Load.PrefillTokensWaiting[I], Relaxed);
  m_DecodeWaiting.store(Load.DecodeTokensWaiting, Relaxed);
  m_Running.store(Load.RunningSequences, Relaxed);
  m_WaitingRequests.store(Load.WaitingRequests, Relaxed);
  m_MaximumSequences.store(Load.MaximumSequences, Relaxed);
  m_KvFree.store(Load.KvTokensFree, Relaxed);
  m_PrefillRate.store(Load.PrefillTokensPerSecond, Relaxed);
  m_DecodeRate.store(Load.DecodeTokensPerSecond, Relaxed);
  m_ReportedAt.store(Now.time_since_epoch().count(), Relaxed);
}

TargetLoad TargetGauge::reported() const {
  TargetLoad Load;
  for (size_t I = 0; I < ServiceClassCount; ++I)
    Load.PrefillTokensWaiting[I] = m_PrefillWaiting[I].load(Relaxed);
  Load.DecodeTokensWaiting = m_DecodeWaiting.load(Relaxed);
  Load.RunningSequences = m_Running.load(Relaxed);
  Load.WaitingRequests = m_WaitingRequests.load(Relaxed);
  Load.MaximumSequences = m_MaximumSequences.load(Relaxed);
  Load.KvTokensFree = m_KvFree.load(Relaxed);
  Load.PrefillTokensPerSecond = m_PrefillRate.load(Relaxed);
  Load.DecodeTokensPerSecond = m_DecodeRate.load(Relaxed);
  return Load;
}

BootTime TargetGauge::reportedAt() const {
  return BootTime(BootTime::duration(m_ReportedAt.load(Relaxed)));
}

void TargetGauge::recordSent(const SentWork &Work) {
  m_SentPrefill[static_cast<size_t>(Work.Class)].fetch_add(Work.PrefillTokens,
                                                           Relaxed);
  m_SentDecode.fetch_add(Work.DecodeTokens, Relaxed);
  m_SentRequests.fetch_add(1, Relaxed);
}

void TargetGauge::recordSettled(const SentWork &Work) {
  m_SentPrefill[static_cast<size_t>(Work.Class)].fetch_sub(Work.PrefillTokens,
                                                           Relaxed);
  m_SentDecode.fetch_sub(Work.DecodeTokens, Relaxed);
  m_SentRequests.fetch_sub(1, Relaxed);
}

TargetLoad TargetGauge::corrected() const {
  TargetLoad Load = reported();
  for (size_t I = 0; I < ServiceClassCount; ++I)
    Load.PrefillTokensWaiting[I] += m_SentPrefill[I].load(Relaxed);
  Load.DecodeTokensWaiting += m_SentDecode.load(Relaxed);
  Load.WaitingRequests += m_SentRequests.load(Relaxed);
  return Load;
}

void TargetGauge::recordCacheHits(uint32_t ExpectedTokens, uint32_t Cached) {
  if (ExpectedTokens == 0)
    return;
  // Concurrent updates may lose a sample, which a moving average tolerates.
  const double HitRatio =
      std::min(1.0, static_cast<double>(Cached) / ExpectedTokens);
  const double Average = m_PrefixHitRatio.load(Relaxed);
  m_PrefixHitRatio.store(
      std::max(MinimumHitRatio,
               Average + HitRatioWeight * (HitRatio - Average)),
      Relaxed);
}

uint64_t TargetGauge::unaccountedRequests() const {
  return m_SentRequests.load(Relaxed);
}

} // namespace figlift::route
