//===- ProcessMetrics.h - What a process itself costs -----------*- C++ -*-===//
//
// CPU time, memory and threads of the process, and the share of CPU time and
// bytes that control work takes beside the requests. The budget of control
// work is measured by these.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Registry.h"

#include <cstdint>
#include <functional>

namespace figlift::metrics {

/// CPU time of the calling thread since it began.
std::chrono::nanoseconds threadCpuTime();

/// Registers process_cpu_seconds_total, process_resident_memory_bytes and
/// process_threads. Linux only: /proc/self is read at each print.
void registerProcessMetrics(Registry &Into);

/// Registers control_bytes_total. \p Read gives the bytes sent and received
/// by control work since the start.
void registerControlBytes(Registry &Into, std::function<uint64_t()> Read);

/// The counter control_cpu_seconds; see ControlCpuScope.
Counter &controlCpuSeconds(Registry &Of);

/// Adds the thread's CPU time between construction and destruction to a
/// counter. Put around control work (polls, planning, synchronisation), never
/// around the work of a request. Scopes are not nested.
class ControlCpuScope {
public:
  explicit ControlCpuScope(Counter &Into)
      : m_Into(Into), m_Begin(threadCpuTime()) {}
  ~ControlCpuScope() {
    m_Into.add(
        std::chrono::duration<double>(threadCpuTime() - m_Begin).count());
  }
  ControlCpuScope(const ControlCpuScope &) = delete;
  ControlCpuScope &operator=(const ControlCpuScope &) = delete;

private:
  Counter &m_Into;
  const std::chrono::nanoseconds m_Begin;
};

} // namespace figlift::metrics
