//===- Clock.h - Time sources of processes ----------------------*- C++ -*-===//
//
// State machines do not read clocks; their processes pass the time in. Ages and
// leases use BootClock, which continues while the machine is suspended. With
// std::chrono::steady_clock, which does not, a lease holder would underestimate
// the age of its lease after a suspend.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>

namespace figlift {

/// CLOCK_BOOTTIME as a std::chrono clock.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept;
};

/// Time on this machine's BootClock.
using BootTime = BootClock::time_point;
/// Wall-clock time in milliseconds since the Unix epoch. Compared between
/// machines only where the clock skew is bounded and accounted for.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

WallTime wallNow() noexcept;

} // namespace figlift
