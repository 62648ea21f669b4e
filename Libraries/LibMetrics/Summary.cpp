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

/// Threads are numbered in the order of their first value.
size_t threadNumber() {
  static std::atomic<size_t> Next{0};
  thread_local const size_t Number = Next.fetch_add(1);
  return Number;
}

} // namespace

Summary::Summary(std::chrono::milliseconds Window, Clock Now)
    : m_Now(std::move(Now)), m_Window(Window) {
  for (Shard &Each : m_Shards)
    Each.Values.reserve(BufferedValues);
}

void Summary::observe(double Value) {
  Shard &Own = m_Shards[threadNumber() % ShardCount];
  std::vector<double> Full;
  {
    std::lock_guard Lock(Own.Mutex);
    Own.Values.push_back(Value);
    if (Own.Values.size() < BufferedValues)
      return;
    Full.reserve(BufferedValues);
    Full.swap(Own.Values);
  }
  absorb(Full);
}

void Summary::absorb(const std::vector<double> &Values) {
  BootTime Now = m_Now();
  std::lock_guard Lock(m_Mutex);
  for (double Value : Values) {
    m_Window.add(Value, Now);
    m_Sum += Value;
  }
  m_Count += Values.size();
}

Summary::Reading Summary::read() {
  for (Shard &Each : m_Shards) {
    std::vector<double> Pending;
    {
      std::lock_guard Lock(Each.Mutex);
      Pending.swap(Each.Values);
    }
    absorb(Pending);
  }
  BootTime Now = m_Now();
  std::lock_guard Lock(m_Mutex);
  return {m_Count, m_Sum, m_Window.quantiles(Now)};
}

} // namespace figlift::metrics
