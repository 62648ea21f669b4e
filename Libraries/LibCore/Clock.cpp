//===- Clock.cpp - Time sources of processes ------------------------------===//
//
// Reads the kernel clocks.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Clock.h"

#include <ctime>

namespace figlift {

BootClock::time_point BootClock::now() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

WallTime wallNow() noexcept {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace figlift
