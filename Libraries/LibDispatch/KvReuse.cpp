//===- KvReuse.cpp - Whether to retry with the same KV cache --------------===//
//
// Moving average of the failure share, decaying to 0.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvReuse.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

double KvReuse::failureShare(BootTime Now) const {
  const std::chrono::duration<double, std::milli> Since = Now - m_UpdatedAt;
  return m_FailureShare * std::exp2(-std::max(0.0, Since / HalfLife));
}

bool KvReuse::shouldRetry(BootTime Now) const {
  return 1 - failureShare(Now) >= MinimumSuccessShare;
}

void KvReuse::recordRetry(bool Started, BootTime Now) {
  const double Previous = failureShare(Now);
  m_FailureShare = Previous + ((Started ? 0 : 1) - Previous) * Smoothing;
  m_UpdatedAt = Now;
}

} // namespace figlift::dispatch
