//===- Metric.h - Counters and gauges ---------------------------*- C++ -*-===//
//
// Single numbers that any thread of the request path may change without a
// lock. Each has a cache line of its own, so that two busy counters do not slow
// each other down.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <atomic>
#include <cstddef>

namespace figlift::metrics {

inline constexpr size_t CacheLineBytes = 64;

/// Only grows. Fractions are allowed, for seconds of CPU time.
class alignas(CacheLineBytes) Counter {
public:
  void add(double Amount = 1) {
    m_Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  double value() const { return m_Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> m_Value{0};
};

/// Goes up and down.
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
