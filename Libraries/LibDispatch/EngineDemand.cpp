//===- EngineDemand.cpp - Work that callers ask of engines ----------------===//
//
// An exponentially weighted sum over time.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineDemand.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

double DemandMeter::decay(BootTime Now) const {
  return std::exp(-std::max(0.0, Milliseconds(Now - m_At) / m_Memory));
}

double DemandMeter::fillingShare(BootTime Now) const {
  if (m_First == BootTime{})
    return 1;
  return std::exp(-(Milliseconds(Now - m_First) / FillTime));
}

void DemandMeter::requested(Milliseconds Read, Milliseconds Run, BootTime Now) {
  if (m_First == BootTime{})
    m_First = Now;
  const double Kept = decay(Now);
  m_Sum.Read = m_Sum.Read * Kept + Read.count();
  m_Sum.Run = m_Sum.Run * Kept + Run.count();
  m_At = Now;
}

EngineDemand DemandMeter::demand(BootTime Now) const {
  if (m_First == BootTime{})
    return {};
  // Before one memory has passed the sum covers only the time since the start.
  // Over a few requests that is no rate: the first one, milliseconds old,
  // looked like hundreds of engines, and busy times remembered it for a minute.
  const Milliseconds Since =
      std::max(Milliseconds(Now - m_First), Milliseconds(m_Memory) / 2);
  const double Covered = 1 - std::exp(-(Since / m_Memory));
  const double Scale = decay(Now) / (Milliseconds(m_Memory).count() * Covered);
  return {m_Sum.Read * Scale, m_Sum.Run * Scale};
}

void BusyDemand::observe(const EngineDemand &Current, BootTime Now) {
  const double Total = Current.Read + Current.Run;
  if (m_First == BootTime{}) {
    // An idle fleet says nothing about the mix.
    if (Total <= 0)
      return;
    m_First = m_At = Now;
  }
  const Milliseconds Step(Now - m_At);
  const double Kept = std::exp(-std::max(0.0, Step / m_Memory));
  const double Weight = Total * Total * Step.count();
  m_Weighted.Read = m_Weighted.Read * Kept + Current.Read * Weight;
  m_Weighted.Run = m_Weighted.Run * Kept + Current.Run * Weight;
  m_Weight = m_Weight * Kept + Weight;
  m_At = Now;
}

EngineDemand BusyDemand::demand() const {
  if (m_Weight <= 0)
    return {};
  return {m_Weighted.Read / m_Weight, m_Weighted.Run / m_Weight};
}

double BusyDemand::doubt(BootTime Now) const {
  return 1 + FirstDoubt * std::exp(-Milliseconds(Now - m_First) / DoubtMemory);
}

bool BusyDemand::settled(BootTime Now) const {
  return m_First != BootTime{} && Now - m_First >= SettleTime;
}

} // namespace figlift::dispatch
