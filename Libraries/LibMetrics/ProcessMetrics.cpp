//===- ProcessMetrics.cpp - What a process itself costs -------------------===//
//
// See ProcessMetrics.h.
//
//===----------------------------------------------------------------------===//

#include "LibMetrics/ProcessMetrics.h"

#include <ctime>
#include <fstream>
#include <string>
#include <unistd.h>

namespace figlift::metrics {

namespace {

std::chrono::nanoseconds readClock(clockid_t Which) {
  timespec Now{};
  clock_gettime(Which, &Now);
  return std::chrono::seconds(Now.tv_sec) +
         std::chrono::nanoseconds(Now.tv_nsec);
}

/// The second number of statm is the resident set in pages.
double residentBytes() {
  std::ifstream File("/proc/self/statm");
  uint64_t TotalPages = 0;
  uint64_t ResidentPages = 0;
  File >> TotalPages >> ResidentPages;
  return static_cast<double>(ResidentPages) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

double threadCount() {
  constexpr std::string_view Prefix = "Threads:";
  std::ifstream File("/proc/self/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Prefix))
      return std::strtod(Line.c_str() + Prefix.size(), nullptr);
  return 0;
}

} // namespace

std::chrono::nanoseconds threadCpuTime() {
  return readClock(CLOCK_THREAD_CPUTIME_ID);
}

void registerProcessMetrics(Registry &Into) {
  Into.readCounter("process_cpu_seconds_total", "CPU time of the process.", [] {
    return std::chrono::duration<double>(readClock(CLOCK_PROCESS_CPUTIME_ID))
        .count();
  });
  Into.readGauge("process_resident_memory_bytes", "Resident memory.",
                 residentBytes);
  Into.readGauge("process_threads", "Threads of the process.", threadCount);
}

void registerControlBytes(Registry &Into, std::function<uint64_t()> Read) {
  Into.readCounter(
      "control_bytes_total", "Bytes sent and received by control work.",
      [Read = std::move(Read)] { return static_cast<double>(Read()); });
}

Counter &controlCpuSeconds(Registry &Of) {
  return Of.counter("control_cpu_seconds", "CPU time of control work.");
}

} // namespace figlift::metrics
