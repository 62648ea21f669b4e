//===- MixHistory.h - How long a mix of work usually lasts ------*- C++ -*-===//
//
// A planner that takes each mix for permanent chases every swing, and is
// always late by the time of a change. So the planner learns how long the mix
// stays on one side of its average and what the other side looks like, and
// expects that after it.
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
  /// Without a complete phase so far, \p Offered is expected for \p Horizon.
  Forecast forecast(const Demand &Offered, std::chrono::milliseconds Horizon,
                    BootTime Now) const;

private:
  enum class Side { Unknown, MorePrefill, MoreDecode };

  Side sideOf(const Demand &Offered) const;
  Demand &typicalOf(Side Which);

  /// Decayed over minutes.
  Demand m_Average;
  BootTime m_Started;
  BootTime m_LastSeen;
  bool m_HasSeen = false;
  Side m_Side = Side::Unknown;
  BootTime m_SideSince;
  /// Moving averages within the phases of each side.
  Demand m_TypicalPrefill;
  Demand m_TypicalDecode;
  /// Moving average of complete phases; zero before the first.
  std::chrono::duration<double> m_PhaseLength{0};
};

} // namespace figlift::plan
