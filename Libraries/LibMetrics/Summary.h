//===- Summary.h - Quantiles of values from many threads --------*- C++ -*-===//
//
// Threads add values to small sharded buffers, which are merged into the common
// estimate when full or when the summary is read. The request path therefore
// takes a lock with little contention, and the expensive estimate is updated in
// batches.
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

  /// May be called from any thread.
  void observe(double Value);
  /// Records a duration in seconds, the base unit of Prometheus.
  void observe(std::chrono::nanoseconds Time) {
    observe(std::chrono::duration<double>(Time).count());
  }

  struct Snapshot {
    /// Since the start, as is Sum.
    uint64_t Count = 0;
    double Sum = 0;
    /// Over the window, in the order of ReportedQuantiles; NaN when empty.
    std::array<double, ReportedQuantiles.size()> Quantiles{};
  };
  Snapshot read();

private:
  static constexpr size_t ShardCount = 16;
  static constexpr size_t BufferedValues = 64;

  struct alignas(CacheLineBytes) Shard {
    std::mutex Mutex;
    std::vector<double> Values;
  };

  /// Must be called without a shard's lock: shard locks and m_Mutex are never
  /// held together.
  void merge(const std::vector<double> &Values);

  const Clock m_Now;
  std::array<Shard, ShardCount> m_Shards;
  std::mutex m_Mutex;
  /// This and the two members below are guarded by m_Mutex.
  QuantileWindow m_Window;
  uint64_t m_Count = 0;
  double m_Sum = 0;
};

} // namespace figlift::metrics
