//===- StartLag.cpp - How much later than planned answers begin -----------===//
//
// A quantile by steps: up by its share for an answer above it, down by the
// rest for one below, which balances where that share is below.
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
