//===- RateLimit.h - Operations in each second ------------------*- C++ -*-===//
//
// Token bucket of the platform's limits on reads, writes and weight fetches.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInCommon/Duration.h"

#include <algorithm>
#include <mutex>

namespace figlift::standin {

class RateLimit {
public:
  /// \p PerSecond 0 means no limit; the burst is a tenth of a second's worth,
  /// and at least one.
  explicit RateLimit(double PerSecond) : m_PerSecond(PerSecond) {}

  bool take() {
    if (m_PerSecond <= 0)
      return true;
    const std::lock_guard Lock(m_Mutex);
    const auto Now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> Passed = Now - m_Last;
    m_Last = Now;
    m_Tokens = std::min(std::max(1.0, m_PerSecond / 10),
                        m_Tokens + Passed.count() * m_PerSecond);
    if (m_Tokens < 1)
      return false;
    m_Tokens -= 1;
    return true;
  }

private:
  double m_PerSecond;
  std::mutex m_Mutex;
  SteadyTime m_Last{};
  double m_Tokens = 0;
};

} // namespace figlift::standin
