//===- RetryBudget.h - Bound on retries of one entry ------------*- C++ -*-===//
//
// Retries are paid for by successes. Without the bound, a back end that fails
// under load gets a multiple of that load from retries and cannot recover;
// one would see attempts per request rise while goodput falls. With it, the
// attempts stay below 1 + ratio per request over any long run.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <atomic>
#include <cstdint>

namespace figlift::retry {

struct RetryBudgetSettings {
  /// Retries earned by each success.
  double Ratio = 0.2;
  /// Retries that can be saved up; also the stock at the start, so that the
  /// first failures after a start can be retried.
  double Maximum = 10;
};

/// Lock-free; used by all threads of an entry.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings = {});
  /// A request ended well.
  void earn();
  /// Takes one retry, if there is one.
  bool spend();
  double left() const;

private:
  static constexpr int64_t Unit = 1000;

  int64_t m_Earned;
  int64_t m_Maximum;
  /// Thousandths of retries, between 0 and m_Maximum.
  std::atomic<int64_t> m_Stock;
};

} // namespace figlift::retry
