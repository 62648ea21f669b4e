//===- RetryBudget.cpp - Retry budget of one entry --------------*- C++ -*-===//
//
// Token bucket with compare-and-exchange.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/RetryBudget.h"

#include <algorithm>

namespace figlift::retry {

RetryBudget::RetryBudget(RetryBudgetSettings Settings)
    : m_EarnedPerSuccess(static_cast<int64_t>(Settings.Ratio * Unit)),
      m_Maximum(static_cast<int64_t>(Settings.Maximum * Unit)),
      m_Available(m_Maximum) {}

void RetryBudget::earn() {
  int64_t Available = m_Available.load(std::memory_order_relaxed);
  while (Available < m_Maximum &&
         !m_Available.compare_exchange_weak(
             Available, std::min(Available + m_EarnedPerSuccess, m_Maximum),
             std::memory_order_relaxed)) {
  }
}

bool RetryBudget::spend() {
  int64_t Available = m_Available.load(std::memory_order_relaxed);
  while (Available >= Unit)
    if (m_Available.compare_exchange_weak(Available, Available - Unit,
                                          std::memory_order_relaxed))
      return true;
  return false;
}

double RetryBudget::remaining() const {
  return static_cast<double>(m_Available.load(std::memory_order_relaxed)) /
         Unit;
}

} // namespace figlift::retry
