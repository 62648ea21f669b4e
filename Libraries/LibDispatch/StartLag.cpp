//===- StartLag.cpp - Delay of answers against their plans ----------------===//
//
// Stochastic quantile estimate: each answer above the estimate raises it in
// proportion to the quantile q, each answer below lowers it in proportion to
// 1 - q, which balances where the share q of the answers is below.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StartLag.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

StartLag::Milliseconds StartLag::current(BootTime Now) const {
  const double HalfLives = Milliseconds(Now - m_UpdatedAt) / HalfLife;
  return m_Lag * std::exp2(-std::max(0.0, HalfLives));
}

void StartLag::observe(Milliseconds Planned, Milliseconds Measured,
                       Milliseconds Target, BootTime Now) {
  step(Measured - Planned > current(Now), Target, Now);
}

void StartLag::step(bool IsAboveLag, Milliseconds Target, BootTime Now) {
  const Milliseconds Step =
      Target * StepShare * (IsAboveLag ? Quantile : Quantile - 1);
  m_Lag =
      std::clamp(current(Now) + Step, Milliseconds(0), Target * MaximumShare);
  m_UpdatedAt = Now;
}

} // namespace figlift::dispatch
