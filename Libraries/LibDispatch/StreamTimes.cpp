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
  const double Kept =
      std::exp(-std::max(0.0, Milliseconds(Now - m_At) / Milliseconds(Memory)));
  // What runs all the time from m_At to now, faded likewise.
  const Milliseconds Meanwhile = Milliseconds(Memory) * (1 - Kept);
  return {m_Sums.Running * Kept + Meanwhile * m_Running, m_Sums.Ended * Kept};
}

void StreamTimes::advance(BootTime Now) {
  m_Sums = sumsAt(Now);
  m_At = Now;
}

void StreamTimes::began(BootTime Now) {
  advance(Now);
  ++m_Running;
}

void StreamTimes::ended(BootTime Now) {
  advance(Now);
  m_Running -= std::min(m_Running, 1U);
  m_Sums.Ended += 1;
}

Milliseconds StreamTimes::mean(BootTime Now) const {
  const Sums Here = sumsAt(Now);
  // One more end is taken as due: without it the mean of the first streams
  // would be that of the longest ones.
  return Here.Running / (Here.Ended + 1);
}

} // namespace figlift::dispatch
