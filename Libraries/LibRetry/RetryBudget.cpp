//===- RetryBudget.cpp - Bound on retries of one entry ----------*- C++ -*-===//
//
// Token bucket with compare-and-exchange.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/RetryBudget.h"

#include <algorithm>

namespace figlift::retry {

RetryBudget::RetryBudget(RetryBudgetSettings Settings)
    : m_Earned(static_cast<int64_t>(Settings.Ratio * Unit)),
      m_Maximum(static_cast<int64_t>(Settings.Maximum * Unit)),
      m_Stock(m_Maximum) {}

void RetryBudget::earn() {
  int64_t Stock = m_Stock.load(std::memory_order_relaxed);
  while (Stock < m_Maximum && !m_Stock.compare_exchange_weak(
                                  Stock, std::min(Stock + m_Earned, m_Maximum),
                                  std::memory_order_relaxed)) {
  }
}

bool RetryBudget::spend() {
  int64_t Stock = m_Stock.load(std::memory_order_relaxed);
  while (Stock >= Unit)
    if (m_Stock.compare_exchange_weak(Stock, Stock - Unit,
                                      std::memory_order_relaxed))
      return true;
  return false;
}

double RetryBudget::left() const {
  return static_cast<double>(m_Stock.load(std::memory_order_relaxed)) / Unit;
}

} // namespace figlift::retry
