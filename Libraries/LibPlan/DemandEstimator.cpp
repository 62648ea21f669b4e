//===- DemandEstimator.cpp - Demand from offered work -----------*- C++ -*-===//
//
// Exponentially decayed rates for each source.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/DemandEstimator.h"

#include <cmath>

namespace figlift::plan {

namespace {

using Seconds = std::chrono::duration<double>;

double decay(Seconds Elapsed, Seconds Window) {
  return std::exp(-Elapsed.count() / Window.count());
}

} // namespace

void DemandEstimator::observe(const std::string &SourceName,
                              uint64_t OfferedPrefillTokens,
                              uint64_t OfferedDecodeTokens, BootTime Now) {
  const auto [Found, New] = m_Sources.try_emplace(SourceName);
  Source &State = Found->second;
  const Seconds Elapsed = Now - State.UpdatedAt;
  const bool Restarted = OfferedPrefillTokens < State.Prefill ||
                         OfferedDecodeTokens < State.Decode;
  if (!New && !Restarted && Elapsed.count() <= 0)
    return;
  if (!New && !Restarted) {
    const double Prefill =
        (OfferedPrefillTokens - State.Prefill) / Elapsed.count();
    const double Decode =
        (OfferedDecodeTokens - State.Decode) / Elapsed.count();
    const double Weight = State.HasRate ? decay(Elapsed, m_Window) : 0;
    State.Rate.PrefillTokensPerSecond =
        Weight * State.Rate.PrefillTokensPerSecond + (1 - Weight) * Prefill;
    State.Rate.DecodeTokensPerSecond =
        Weight * State.Rate.DecodeTokensPerSecond + (1 - Weight) * Decode;
    State.HasRate = true;
  }
  State.Prefill = OfferedPrefillTokens;
  State.Decode = OfferedDecodeTokens;
  State.UpdatedAt = Now;
}

Demand DemandEstimator::demand(BootTime Now) const {
  Demand Sum;
  for (const auto &[SourceName, State] : m_Sources) {
    // The rate of a source that stops reporting decays, because its work is
    // sent to other sources, which count it.
    const Seconds Silent = Now - State.UpdatedAt;
    const double Weight =
        Silent > m_Window ? decay(Silent - m_Window, m_Window) : 1.0;
    Sum.PrefillTokensPerSecond += Weight * State.Rate.PrefillTokensPerSecond;
    Sum.DecodeTokensPerSecond += Weight * State.Rate.DecodeTokensPerSecond;
  }
  return Sum;
}

} // namespace figlift::plan
