//===- ProcessMetrics.h - Resource usage of the process ---------*- C++ -*-===//
//
// CPU time, memory and threads of the process, and the CPU time and bytes of
// control work, that is all work other than requests. The budget of control
// work is checked against these.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Registry.h"

#include <cstdint>
#include <functional>

namespace figlift::metrics {

/// CPU time of the calling thread since its start.
std::chrono::nanoseconds threadCpuTime();

/// Registers process_cpu_seconds_total, process_resident_memory_bytes and
/// process_threads. Linux only: /proc/self is read at every scrape.
void registerProcessMetrics(Registry &Target);

/// Registers control_bytes_total. \p Read returns the bytes sent and received
/// by control work since the start.
void registerControlBytes(Registry &Target, std::function<uint64_t()> Read);

/// The counter control_cpu_seconds; see ControlCpuScope.
Counter &controlCpuSeconds(Registry &Metrics);

/// Adds the thread's CPU time between construction and destruction to a
/// counter. Used around control work (polling, planning, synchronization),
/// never around the handling of a request. Scopes must not be nested.
class ControlCpuScope {
public:
  explicit ControlCpuScope(Counter &Target)
      : m_Counter(Target), m_Start(threadCpuTime()) {}
  ~ControlCpuScope() {
    m_Counter.add(
        std::chrono::duration<double>(threadCpuTime() - m_Start).count());
  }
  ControlCpuScope(const ControlCpuScope &) = delete;
  ControlCpuScope &operator=(const ControlCpuScope &) = delete;

private:
  Counter &m_Counter;
  const std::chrono::nanoseconds m_Start;
};

} // namespace figlift::metrics
