//===- MixHistory.cpp - Usual duration of a mix of work ---------*- C++ -*-===//
//
// A period (Phase in names) is a time in which the share of prefill in the mix
// of prefill and decode stays above or below its average.
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
/// The ratio of output to prompt tokens counts as being on one side of the
/// average if it differs from it by at least this factor.
constexpr double DeadBand = 1.1;

/// Weight of a sample in the typical demand of a period; about one sample
/// arrives per second.
constexpr double TypicalWeight = 0.1;

void move(Demand &Average, const Demand &Value, double Share) {
  const auto Move = [Share](double &Average, double New) {
    Average += (New - Average) * Share;
  };
  Move(Average.PrefillTokensPerSecond, Value.PrefillTokensPerSecond);
  Move(Average.DecodeTokensPerSecond, Value.DecodeTokensPerSecond);
}

} // namespace

MixHistory::Side MixHistory::sideOf(const Demand &Offered) const {
  // Compare cross-multiplied ratios, because either kind of work may be zero.
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

Demand &MixHistory::typicalOf(Side CurrentSide) {
  return CurrentSide == Side::MorePrefill ? m_TypicalPrefill : m_TypicalDecode;
}

void MixHistory::observe(const Demand &Offered, BootTime Now) {
  if (!m_HasSamples) {
    m_HasSamples = true;
    m_Started = m_LastSample = m_SideSince = Now;
    m_Average = Offered;
    return;
  }
  const Seconds Elapsed = Now - m_LastSample;
  m_LastSample = Now;
  // Use the arithmetic mean until the window is full, then a decayed average.
  const Seconds Window = std::min<Seconds>(Now - m_Started, AverageWindow);
  const double Share = Window > Elapsed ? Elapsed / Window : 1.0;
  move(m_Average, Offered, Share);

  const Side Current = sideOf(Offered);
  if (Current == Side::Unknown)
    return;
  Demand &Typical = typicalOf(Current);
  if (Typical.PrefillTokensPerSecond + Typical.DecodeTokensPerSecond == 0)
    Typical = Offered;
  move(Typical, Offered, TypicalWeight);
  if (Current == m_Side)
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
    return {Offered, Offered, Horizon, Horizon};
  const Seconds Elapsed = Now - m_SideSince;
  // If a period exceeds the usual length, its expected remainder grows with its
  // age, so that it is gradually treated as permanent.
  const Seconds Remaining = std::max(m_PhaseLength - Elapsed, Elapsed / 2);
  const auto Rounded = [](Seconds Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time);
  };
  return {Offered,
          m_Side == Side::MorePrefill ? m_TypicalDecode : m_TypicalPrefill,
          std::min(Rounded(Remaining), Horizon), Rounded(m_PhaseLength)};
}

} // namespace figlift::plan
