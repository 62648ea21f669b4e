//===- RateMeter.cpp - Measured speeds of a target --------------*- C++ -*-===//
//
// Exponentially weighted moving averages.
//
//===----------------------------------------------------------------------===//

#include "LibAdmission/RateMeter.h"

#include <cmath>

namespace figlift::admission {

void PrefillMeter::accumulate(BootTime Now) {
  if (m_Busy && Now > m_Since)
    m_BusyTime += Now - m_Since;
  m_Since = Now;
}

void PrefillMeter::busy(bool Waiting, BootTime Now) {
  accumulate(Now);
  m_Busy = Waiting;
}

void PrefillMeter::completed(uint64_t Tokens, BootTime Now) {
  accumulate(Now);
  m_Tokens += Tokens;
  if (m_BusyTime < MinimumWindow || m_Tokens == 0)
    return;
  const std::chrono::duration<double> Busy = m_BusyTime;
  const double Sample = static_cast<double>(m_Tokens) / Busy.count();
  m_Rate = m_Rate == 0 ? Sample : m_Rate + Weight * (Sample - m_Rate);
  m_Tokens = 0;
  m_BusyTime = {};
}

void PrefillMeter::forget() {
  const bool Busy = m_Busy;
  const BootTime Since = m_Since;
  *this = {};
  m_Busy = Busy;
  m_Since = Since;
}

void TokenTimeMeter::observed(uint32_t Tokens, std::chrono::nanoseconds Time) {
  if (Tokens == 0 || Time.count() <= 0)
    return;
  const std::chrono::duration<double> Each =
      std::chrono::duration<double>(Time) / Tokens;
  const double Share = 1 - std::pow(1 - Weight, Tokens);
  m_Time = m_Time.count() == 0 ? Each : m_Time + (Each - m_Time) * Share;
}

} // namespace figlift::admission
