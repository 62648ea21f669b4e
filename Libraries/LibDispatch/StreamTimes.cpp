//===- StreamTimes.cpp - Mean stream duration of a route ------------------===//
//
// Two sums with the same exponential decay.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamTimes.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

using engine::Milliseconds;

StreamTimes::Sums StreamTimes::sumsAt(BootTime Now) const {
  const double Retained = std::exp(-std::max(
      0.0, Milliseconds(Now - m_UpdatedAt) / Milliseconds(TimeConstant)));
  // Contribution of the streams that run from m_UpdatedAt until now, with the
  // same decay.
  const Milliseconds TimePerStream =
      Milliseconds(TimeConstant) * (1 - Retained);
  return {m_Sums.Running * Retained + TimePerStream * m_Running,
          m_Sums.Ended * Retained};
}

void StreamTimes::advance(BootTime Now) {
  m_Sums = sumsAt(Now);
  m_UpdatedAt = Now;
}

void StreamTimes::recordStart(BootTime Now) {
  advance(Now);
  ++m_Running;
}

void StreamTimes::recordEnd(BootTime Now) {
  advance(Now);
  m_Running -= std::min(m_Running, 1U);
  m_Sums.Ended += 1;
}

Milliseconds StreamTimes::mean(BootTime Now) const {
  const Sums Current = sumsAt(Now);
  // Counting one more end keeps the longest of the first streams from
  // dominating the mean.
  return Current.Running / (Current.Ended + 1);
}

bool StreamTimes::measured(BootTime Now) const {
  return sumsAt(Now).Ended >= MinimumEnded;
}

} // namespace figlift::dispatch
