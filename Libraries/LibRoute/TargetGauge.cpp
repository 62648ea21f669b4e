//===- TargetGauge.cpp - Live load of one target ----------------*- C++ -*-===//
//
// Atomics behind TargetGauge.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/TargetGauge.h"

#include <algorithm>

namespace figlift::route {

namespace {

constexpr double TrustWeight = 0.1;
/// Some trust is left, so that a target whose cache has recovered is found.
constexpr double MinimumTrust = 0.1;

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

void TargetGauge::sent(const SentWork &Work) {
  m_SentPrefill[static_cast<size_t>(Work.Class)].fetch_add(Work.PrefillTokens,
                                                           Relaxed);
  m_SentDecode.fetch_add(Work.DecodeTokens, Relaxed);
  m_SentRequests.fetch_add(1, Relaxed);
}

void TargetGauge::settled(const SentWork &Work) {
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

void TargetGauge::learnHit(uint32_t Believed, uint32_t Cached) {
  if (Believed == 0)
    return;
  // Two threads at once may lose one observation of a moving average.
  const double True = std::min(1.0, static_cast<double>(Cached) / Believed);
  const double Trust = m_PrefixTrust.load(Relaxed);
  m_PrefixTrust.store(
      std::max(MinimumTrust, Trust + TrustWeight * (True - Trust)), Relaxed);
}

uint64_t TargetGauge::unaccountedRequests() const {
  return m_SentRequests.load(Relaxed);
}

} // namespace figlift::route
