//===- KvReuse.cpp - Whether a rejected run is worth sending again --------===//
//
// A running share that decays towards "worth it".
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvReuse.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

double KvReuse::failures(BootTime Now) const {
  const std::chrono::duration<double, std::milli> Since = Now - m_At;
  return m_Failures * std::exp2(-std::max(0.0, Since / HalfLife));
}

bool KvReuse::worthTrying(BootTime Now) const {
  return 1 - failures(Now) >= LeastShare;
}

void KvReuse::tried(bool Began, BootTime Now) {
  const double Before = failures(Now);
  m_Failures = Before + ((Began ? 0 : 1) - Before) * Smoothing;
  m_At = Now;
}

} // namespace figlift::dispatch
