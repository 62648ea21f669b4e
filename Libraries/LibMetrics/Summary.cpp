//===- Summary.cpp - Quantiles of values from many threads ----------------===//
//
// See Summary.h.
//
//===----------------------------------------------------------------------===//

#include "LibMetrics/Summary.h"

#include <atomic>
#include <utility>

namespace figlift::metrics {

namespace {

/// Numbers threads in the order of their first value.
size_t threadNumber() {
  static std::atomic<size_t> Next{0};
  thread_local const size_t Number = Next.fetch_add(1);
  return Number;
}

} // namespace

Summary::Summary(std::chrono::milliseconds Window, Clock Now)
    : m_Now(std::move(Now)), m_Window(Window) {
  for (Shard &Buffer : m_Shards)
    Buffer.Values.reserve(BufferedValues);
}

void Summary::observe(double Value) {
  Shard &Buffer = m_Shards[threadNumber() % ShardCount];
  std::vector<double> Full;
  {
    std::lock_guard Lock(Buffer.Mutex);
    Buffer.Values.push_back(Value);
    if (Buffer.Values.size() < BufferedValues)
      return;
    Full.reserve(BufferedValues);
    Full.swap(Buffer.Values);
  }
  merge(Full);
}

void Summary::merge(const std::vector<double> &Values) {
  BootTime Now = m_Now();
  std::lock_guard Lock(m_Mutex);
  for (double Value : Values) {
    m_Window.add(Value, Now);
    m_Sum += Value;
  }
  m_Count += Values.size();
}

Summary::Snapshot Summary::read() {
  for (Shard &Buffer : m_Shards) {
    std::vector<double> Pending;
    {
      std::lock_guard Lock(Buffer.Mutex);
      Pending.swap(Buffer.Values);
    }
    merge(Pending);
  }
  BootTime Now = m_Now();
  std::lock_guard Lock(m_Mutex);
  return {m_Count, m_Sum, m_Window.quantiles(Now)};
}

} // namespace figlift::metrics
