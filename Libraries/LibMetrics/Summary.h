//===- Summary.h - Quantiles of values from many threads --------*- C++ -*-===//
//
// Threads add values to small buffers, one for a few threads each; a full
// buffer, or a reader, carries them into the common estimate. So the request
// path takes a lock that is hardly ever held by another, and the costly
// estimate runs once in many values.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Metric.h"
#include "LibMetrics/QuantileWindow.h"

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace figlift::metrics {

class Summary {
public:
  using Clock = std::function<BootTime()>;
  static constexpr std::chrono::milliseconds DefaultWindow{60000};

  explicit Summary(std::chrono::milliseconds Window = DefaultWindow,
                   Clock Now = BootClock::now);

  /// Any thread.
  void observe(double Value);
  /// Observes in seconds, the unit of Prometheus.
  void observe(std::chrono::nanoseconds Time) {
    observe(std::chrono::duration<double>(Time).count());
  }

  struct Reading {
    /// Since the start.
    uint64_t Count = 0;
    double Sum = 0;
    /// Of the window, in the order of ReportedQuantiles; NaN when empty.
    std::array<double, ReportedQuantiles.size()> Quantiles{};
  };
  Reading read();

private:
  static constexpr size_t ShardCount = 16;
  static constexpr size_t BufferedValues = 64;

  struct alignas(CacheLineBytes) Shard {
    std::mutex Mutex;
    std::vector<double> Values;
  };

  /// Called without any shard's lock: the order is always one or the other.
  void absorb(const std::vector<double> &Values);

  const Clock m_Now;
  std::array<Shard, ShardCount> m_Shards;
  std::mutex m_Mutex;
  /// Guarded by m_Mutex, as the two below.
  QuantileWindow m_Window;
  uint64_t m_Count = 0;
  double m_Sum = 0;
};

} // namespace figlift::metrics
