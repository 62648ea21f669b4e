//===- StreamTimes.cpp - How long streams of one route last ---------------===//
//
// Two sums that fade alike.
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
  // What runs all the time from m_At to now, faded likewise.
  const Milliseconds RunningSince = Milliseconds(TimeConstant) * (1 - Retained);
  return {m_Sums.Running * Retained + RunningSince * m_Running,
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
  // One more end is taken as due: without it the mean of the first streams
  // would be that of the longest ones.
  return Current.Running / (Current.Ended + 1);
}

} // namespace figlift::dispatch
