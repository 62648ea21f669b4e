//===- MixHistory.h - Usual duration of a mix of work -----------*- C++ -*-===//
//
// A planner that treats each mix of prefill and decode as permanent follows
// every fluctuation, and is always late by the duration of a role change. The
// planner therefore learns how long the mix stays on one side of its average,
// and the typical demand on the other side, which it expects next.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/FluidModel.h"
#include "LibPlan/PlanTypes.h"

#include <chrono>

namespace figlift::plan {

class MixHistory {
public:
  void observe(const Demand &Offered, BootTime Now);
  /// Returns the expected demand. As long as no period (the time that the mix
  /// stays on one side of its average) has been complete, \p Offered is
  /// expected for \p Horizon.
  Forecast forecast(const Demand &Offered, std::chrono::milliseconds Horizon,
                    BootTime Now) const;

private:
  enum class Side { Unknown, MorePrefill, MoreDecode };

  Side sideOf(const Demand &Offered) const;
  Demand &typicalOf(Side CurrentSide);

  /// Decayed average over several minutes.
  Demand m_Average;
  BootTime m_Started;
  BootTime m_LastSample;
  bool m_HasSamples = false;
  Side m_Side = Side::Unknown;
  BootTime m_SideSince;
  /// Moving averages of the demand within the periods of each side.
  Demand m_TypicalPrefill;
  Demand m_TypicalDecode;
  /// Moving average of the lengths of complete periods; 0 before the first.
  std::chrono::duration<double> m_PhaseLength{0};
};

} // namespace figlift::plan
