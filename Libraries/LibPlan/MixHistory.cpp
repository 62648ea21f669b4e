//===- MixHistory.cpp - How long a mix of work usually lasts ----*- C++ -*-===//
//
// Phases are told apart by the share of prefill against its average.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/MixHistory.h"

#include <algorithm>
#include <cmath>

namespace figlift::plan {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds AverageWindow{300};
constexpr double PhaseWeight = 0.4;
/// The ratio of output to prompt must differ so much from the average to
/// count as another side.
constexpr double DeadBand = 1.1;

double moved(double Average, double Value, double Share) {
  return Average + (Value - Average) * Share;
}

} // namespace

MixHistory::Side MixHistory::sideOf(const Demand &Offered) const {
  // Cross-multiplied ratios: either kind of work may be zero.
  const double Prefill =
      Offered.PrefillTokensPerSecond * m_Average.DecodeTokensPerSecond;
  const double Decode =
      Offered.DecodeTokensPerSecond * m_Average.PrefillTokensPerSecond;
  if (Prefill > Decode * DeadBand)
    return Side::MorePrefill;
  if (Decode > Prefill * DeadBand)
    return Side::MoreDecode;
  return Side::Unknown;
}

void MixHistory::observe(const Demand &Offered, BootTime Now) {
  if (!m_HasSeen) {
    m_HasSeen = true;
    m_Started = m_LastSeen = m_SideSince = Now;
    m_Average = Offered;
    return;
  }
  const Seconds Elapsed = Now - m_LastSeen;
  m_LastSeen = Now;
  // A plain mean at first, decayed once the window is full.
  const Seconds Memory = std::min<Seconds>(Now - m_Started, AverageWindow);
  const double Share = Memory > Elapsed ? Elapsed / Memory : 1.0;
  m_Average.PrefillTokensPerSecond = moved(
      m_Average.PrefillTokensPerSecond, Offered.PrefillTokensPerSecond, Share);
  m_Average.DecodeTokensPerSecond = moved(m_Average.DecodeTokensPerSecond,
                                          Offered.DecodeTokensPerSecond, Share);

  const Side Current = sideOf(Offered);
  if (Current == Side::Unknown || Current == m_Side)
    return;
  if (m_Side != Side::Unknown) {
    const Seconds Length = Now - m_SideSince;
    m_PhaseLength =
        m_PhaseLength.count() == 0
            ? Length
            : m_PhaseLength + (Length - m_PhaseLength) * PhaseWeight;
  }
  m_Side = Current;
  m_SideSince = Now;
}

Forecast MixHistory::forecast(const Demand &Offered,
                              std::chrono::milliseconds Horizon,
                              BootTime Now) const {
  if (m_PhaseLength.count() == 0)
    return {Offered, Offered, Horizon};
  const Seconds Elapsed = Now - m_SideSince;
  // A phase that has outlived the usual is taken for a lasting one by and by.
  const Seconds Left = std::max(m_PhaseLength - Elapsed, Elapsed / 2);
  const auto Persists =
      std::chrono::duration_cast<std::chrono::milliseconds>(Left);
  return {Offered, m_Average, std::min(Persists, Horizon)};
}

} // namespace figlift::plan
