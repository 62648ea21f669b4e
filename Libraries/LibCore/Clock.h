//===- Clock.h - Time sources of the process shells -------------*- C++ -*-===//
//
// State machines never read a clock: the shells pass the time in. Ages and
// leases are judged by BootClock, which goes on counting while the machine is
// suspended; std::chrono::steady_clock does not, so a holder that slept would
// believe its lease to be younger than it is.
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

/// Instant on this machine's suspend-counting clock.
using BootTime = BootClock::time_point;
/// Wall-clock instant, milliseconds since the Unix epoch. Compared between
/// machines only where a bound on their skew is part of the argument.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

WallTime wallNow() noexcept;

} // namespace figlift
