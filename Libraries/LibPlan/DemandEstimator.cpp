//===- DemandEstimator.cpp - Offered work from growing counters -*- C++ -*-===//
//
// Decayed rates for each source.
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

void DemandEstimator::observe(const std::string &Name,
                              uint64_t OfferedPrefillTokens,
                              uint64_t OfferedDecodeTokens, BootTime Now) {
  const auto [Found, New] = m_Sources.try_emplace(Name);
  Source &Known = Found->second;
  const Seconds Elapsed = Now - Known.Seen;
  const bool Restarted = OfferedPrefillTokens < Known.Prefill ||
                         OfferedDecodeTokens < Known.Decode;
  if (!New && !Restarted && Elapsed.count() <= 0)
    return;
  if (!New && !Restarted) {
    const double Prefill =
        (OfferedPrefillTokens - Known.Prefill) / Elapsed.count();
    const double Decode =
        (OfferedDecodeTokens - Known.Decode) / Elapsed.count();
    const double Keep = Known.HasRate ? decay(Elapsed, m_Window) : 0;
    Known.Rate.PrefillTokensPerSecond =
        Keep * Known.Rate.PrefillTokensPerSecond + (1 - Keep) * Prefill;
    Known.Rate.DecodeTokensPerSecond =
        Keep * Known.Rate.DecodeTokensPerSecond + (1 - Keep) * Decode;
    Known.HasRate = true;
  }
  Known.Prefill = OfferedPrefillTokens;
  Known.Decode = OfferedDecodeTokens;
  Known.Seen = Now;
}

Demand DemandEstimator::demand(BootTime Now) const {
  Demand Sum;
  for (const auto &[Name, Known] : m_Sources) {
    // A silent source fades: its work goes to others, who count it.
    const Seconds Silent = Now - Known.Seen;
    const double Keep =
        Silent > m_Window ? decay(Silent - m_Window, m_Window) : 1.0;
    Sum.PrefillTokensPerSecond += Keep * Known.Rate.PrefillTokensPerSecond;
    Sum.DecodeTokensPerSecond += Keep * Known.Rate.DecodeTokensPerSecond;
  }
  return Sum;
}

} // namespace figlift::plan
