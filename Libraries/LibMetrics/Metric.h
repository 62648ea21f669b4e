//===- Metric.h - Counters and gauges ---------------------------*- C++ -*-===//
//
// Lock-free numbers for the request path. Each occupies its own cache line, so
// that frequently updated metrics do not share one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <atomic>
#include <cstddef>

namespace figlift::metrics {

inline constexpr size_t CacheLineBytes = 64;

/// Increases only. Accepts fractions, for seconds of CPU time.
class alignas(CacheLineBytes) Counter {
public:
  void add(double Amount = 1) {
    m_Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  double value() const { return m_Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> m_Value{0};
};

/// Increases and decreases.
class alignas(CacheLineBytes) Gauge {
public:
  void set(double Value) { m_Value.store(Value, std::memory_order_relaxed); }
  void add(double Amount) {
    m_Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  double value() const { return m_Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> m_Value{0};
};

} // namespace figlift::metrics
