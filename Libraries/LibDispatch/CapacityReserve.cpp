//===- CapacityReserve.cpp - Capacity for more urgent requests ------------===//
//
// Moving averages over intervals of equal length. A process sees a part of the
// fleet's requests: the means of all processes add up, and the deviations add
// up as those of independent processes do.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CapacityReserve.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

void CapacityReserve::advance(Demand &Row, BootTime Now) {
  // Nothing is left of the averages then.
  constexpr int MaximumTimeConstants = 10;
  if (Row.IntervalStart == BootTime{} ||
      Now - Row.IntervalStart > DemandTimeConstant * MaximumTimeConstants) {
    Row = {};
    Row.IntervalStart = Now;
    return;
  }
  const double NewWeight =
      1 - std::exp(-Milliseconds(SampleInterval) / DemandTimeConstant);
  const auto Step = [&](double &Mean, double &Deviation, double Sample) {
    Deviation += NewWeight * (std::abs(Sample - Mean) - Deviation);
    Mean += NewWeight * (Sample - Mean);
  };
  const double Length = Milliseconds(SampleInterval).count();
  while (Now - Row.IntervalStart >= SampleInterval) {
    Step(Row.Mean.Prefill, Row.Deviation.Prefill, Row.Current.Prefill / Length);
    Step(Row.Mean.Decode, Row.Deviation.Decode, Row.Current.Decode / Length);
    Row.Current = {};
    Row.IntervalStart += SampleInterval;
  }
}

void CapacityReserve::recordRequest(unsigned Priority, Milliseconds Prefill,
                                    Milliseconds Decode, BootTime Now) {
  Demand &Row = m_Demands[Priority];
  advance(Row, Now);
  Row.Current += {Prefill.count(), Decode.count()};
}

CapacityReserve::Outcomes CapacityReserve::decayed(const Outcomes &Counts,
                                                   BootTime Now) {
  const double Retained =
      std::exp(-std::max(0.0, Milliseconds(Now - Counts.UpdatedAt) /
                                  Milliseconds(OutcomeTimeConstant)));
  return {Counts.Requests * Retained, Counts.Served * Retained, Now};
}

void CapacityReserve::recordOutcome(unsigned Priority, bool Served,
                                    BootTime Now) {
  Outcomes &Counts = m_Outcomes[Priority];
  Counts = decayed(Counts, Now);
  Counts.Requests += 1;
  Counts.Served += Served ? 1 : 0;
}

bool CapacityReserve::isStarved(unsigned Priority, BootTime Now) const {
  const auto Own = m_Outcomes.find(Priority);
  if (Own == m_Outcomes.end())
    return false;
  Outcomes All;
  for (const auto &[Other, Counts] : m_Outcomes) {
    const Outcomes Current = decayed(Counts, Now);
    All.Requests += Current.Requests;
    All.Served += Current.Served;
  }
  const Outcomes Current = decayed(Own->second, Now);
  return Current.Requests >= MinimumOutcomes &&
         Current.Served / Current.Requests <
             All.Served / All.Requests * StarvedShare;
}

Milliseconds CapacityReserve::reserve(unsigned Priority,
                                      Milliseconds LatencyTarget,
                                      const EngineCapacity &Engines,
                                      BootTime Now) {
  if (m_Demands.empty() || m_Demands.begin()->first >= Priority ||
      isStarved(Priority, Now))
    return Milliseconds(0);
  EngineDemand Mean;
  EngineDemand Deviation;
  for (auto Entry = m_Demands.begin();
       Entry != m_Demands.end() && Entry->first < Priority; ++Entry) {
    Demand &Row = Entry->second;
    advance(Row, Now);
    Mean += Row.Mean;
    Deviation += Row.Deviation;
  }
  const auto Needed = [&](double OfMean, double OfDeviation) {
    return OfMean / m_OwnShare + OfDeviation / std::sqrt(m_OwnShare);
  };
  const double Prefill = Needed(Mean.Prefill, Deviation.Prefill);
  const double Decode = Needed(Mean.Decode, Deviation.Decode);
  const double DecodeEngines = std::max(1.0, Engines.DecodeEngines);
  // Without prefill engines, decode engines do both.
  const double BusyShare =
      Engines.PrefillEngines > 0
          ? std::max(Prefill / Engines.PrefillEngines, Decode / DecodeEngines)
          : (Prefill + Decode) / DecodeEngines;
  return LatencyTarget * std::min(1.0, BusyShare);
}

} // namespace figlift::dispatch
