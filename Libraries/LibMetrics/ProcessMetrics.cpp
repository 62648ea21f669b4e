//===- ProcessMetrics.cpp - Resource usage of the process -----------------===//
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

std::chrono::nanoseconds readClock(clockid_t Id) {
  timespec Now{};
  clock_gettime(Id, &Now);
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

void registerProcessMetrics(Registry &Target) {
  Target.registerCounter("process_cpu_seconds_total",
                         "CPU time of the process.", [] {
                           return std::chrono::duration<double>(
                                      readClock(CLOCK_PROCESS_CPUTIME_ID))
                               .count();
                         });
  Target.registerGauge("process_resident_memory_bytes", "Resident memory.",
                       residentBytes);
  Target.registerGauge("process_threads", "Threads of the process.",
                       threadCount);
}

void registerControlBytes(Registry &Target, std::function<uint64_t()> Read) {
  Target.registerCounter(
      "control_bytes_total", "Bytes sent and received by control work.",
      [Read = std::move(Read)] { return static_cast<double>(Read()); });
}

Counter &controlCpuSeconds(Registry &Metrics) {
  return Metrics.counter("control_cpu_seconds", "CPU time of control work.");
}

} // namespace figlift::metrics
