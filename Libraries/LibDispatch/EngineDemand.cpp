//===- EngineDemand.cpp - Demand for prefill and decode -------------------===//
//
// Exponentially weighted sums over time.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineDemand.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

double DemandMeter::decay(BootTime Now) const {
  return std::exp(
      -std::max(0.0, Milliseconds(Now - m_UpdatedAt) / m_TimeConstant));
}

double DemandMeter::cacheFillShare(BootTime Now) const {
  if (m_FirstAt == BootTime{})
    return 1;
  return std::exp(-(Milliseconds(Now - m_FirstAt) / CacheFillTime));
}

void DemandMeter::recordRequest(Milliseconds Prefill, Milliseconds Decode,
                                BootTime Now) {
  if (m_FirstAt == BootTime{})
    m_FirstAt = Now;
  const double Retained = decay(Now);
  m_Sum.Prefill = m_Sum.Prefill * Retained + Prefill.count();
  m_Sum.Decode = m_Sum.Decode * Retained + Decode.count();
  m_UpdatedAt = Now;
}

EngineDemand DemandMeter::demand(BootTime Now) const {
  if (m_FirstAt == BootTime{})
    return {};
  // Before one time constant has passed, the sum covers only the time since the
  // first request. Dividing by a few milliseconds would turn the first request
  // into a demand for hundreds of engines, which PeakDemand would keep for a
  // minute, so at least half a time constant is assumed.
  const Milliseconds Elapsed =
      std::max(Milliseconds(Now - m_FirstAt), Milliseconds(m_TimeConstant) / 2);
  const double CoveredShare = 1 - std::exp(-(Elapsed / m_TimeConstant));
  const double Scale =
      decay(Now) / (Milliseconds(m_TimeConstant).count() * CoveredShare);
  return {m_Sum.Prefill * Scale, m_Sum.Decode * Scale};
}

void PeakDemand::observe(const EngineDemand &Current, BootTime Now) {
  const double Total = Current.Prefill + Current.Decode;
  if (m_FirstAt == BootTime{}) {
    // Without demand there is no mix to observe.
    if (Total <= 0)
      return;
    m_FirstAt = m_UpdatedAt = Now;
  }
  const Milliseconds Step(Now - m_UpdatedAt);
  const double Retained = std::exp(-std::max(0.0, Step / m_TimeConstant));
  const double Weight = Total * Total * Step.count();
  m_Weighted.Prefill = m_Weighted.Prefill * Retained + Current.Prefill * Weight;
  m_Weighted.Decode = m_Weighted.Decode * Retained + Current.Decode * Weight;
  m_Weight = m_Weight * Retained + Weight;
  m_UpdatedAt = Now;
}

EngineDemand PeakDemand::demand() const {
  if (m_Weight <= 0)
    return {};
  return {m_Weighted.Prefill / m_Weight, m_Weighted.Decode / m_Weight};
}

double PeakDemand::uncertainty(BootTime Now) const {
  return 1 + InitialUncertainty * std::exp(-Milliseconds(Now - m_FirstAt) /
                                           UncertaintyTimeConstant);
}

bool PeakDemand::established(BootTime Now) const {
  return m_FirstAt != BootTime{} && Now - m_FirstAt >= MinimumObservationTime;
}

} // namespace figlift::dispatch
