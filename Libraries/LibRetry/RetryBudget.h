//===- RetryBudget.h - Retry budget of one entry ----------------*- C++ -*-===//
//
// Token bucket that successful requests refill. Without it, a back end that
// fails under load receives a multiple of that load from retries and cannot
// recover: attempts per request rise while goodput falls. With it, attempts
// stay below 1 + ratio per request over any long run.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <atomic>
#include <cstdint>

namespace figlift::retry {

struct RetryBudgetSettings {
  /// Retries earned by each success.
  double Ratio = 0.2;
  /// Capacity of the bucket. It is full at the start, so that the first
  /// failures after a start can be retried.
  double Maximum = 10;
};

/// Lock-free; used by all threads of an entry.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings = {});
  /// Credits the budget for a request that succeeded.
  void earn();
  /// Takes one retry from the budget. Returns false if none is left.
  bool spend();
  double remaining() const;

private:
  static constexpr int64_t Unit = 1000;

  int64_t m_EarnedPerSuccess;
  int64_t m_Maximum;
  /// Thousandths of retries, between 0 and m_Maximum.
  std::atomic<int64_t> m_Available;
};

} // namespace figlift::retry
