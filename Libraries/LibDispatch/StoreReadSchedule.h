//===- StoreReadSchedule.h - When a process reads the store -----*- C++ -*-===//
//
// Data of the store that a peer reports is as good as data that was read, and
// ages alike. All processes agree on an order. The first process reads at
// regular intervals; the others read only when their data is older than the
// first process would let it become, later processes later, so that one of
// them, and not all at once, replaces a reader that is partitioned, slow or
// gone. No election is needed, and a reader that reports nothing delays no
// process beyond MaximumAge.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace figlift::dispatch {

struct StoreReadSchedule {
  /// Interval of the first process after a read that returned changes.
  /// Heartbeats count as changes, so a watch would return at once.
  std::chrono::milliseconds ReadInterval{800};
  /// The second process reads once its data is this old, and each further
  /// process a step later, up to MaximumAge.
  std::chrono::milliseconds TakeoverAge{1050};
  std::chrono::milliseconds TakeoverStep{40};
  std::chrono::milliseconds MaximumAge{1250};

  /// When a process with \p Rank live processes before it has to read, if its
  /// data is as of \p KnownAt. \p WatchTimedOut: the data comes from a watch
  /// that ended without changes; the next one may begin at once.
  BootTime due(size_t Rank, BootTime KnownAt, bool WatchTimedOut) const {
    if (Rank == 0)
      return WatchTimedOut ? KnownAt : KnownAt + ReadInterval;
    const auto Delay =
        TakeoverStep * static_cast<int>(std::min<size_t>(Rank - 1, 1000));
    return KnownAt + std::min(TakeoverAge + Delay, MaximumAge);
  }
};

/// For the list of servers. The platform requires a removed server to be
/// noticed within two seconds: MaximumAge and a call that times out (700 ms)
/// stay below that.
inline constexpr StoreReadSchedule ServerReadSchedule{};
/// For the configuration. The reader's watch returns a change at once, and ends
/// without one after half a second. The platform requires changes to be noticed
/// within two seconds here, too.
inline constexpr StoreReadSchedule ConfigurationReadSchedule{
    std::chrono::milliseconds(100), std::chrono::milliseconds(900),
    std::chrono::milliseconds(40), std::chrono::milliseconds(1150)};

} // namespace figlift::dispatch
