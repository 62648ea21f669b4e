//===- StoreTime.h - Times of the store's own clock -------------*- C++ -*-===//
//
// The store reports its steady clock with each read. Times that several
// processes compare are kept in it: the clocks of machines have nothing in
// common.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace figlift::dispatch {

/// The store's steady clock; readable only through its responses.
struct StoreClock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<StoreClock>;
  static constexpr bool is_steady = true;
};
using StoreTime = StoreClock::time_point;

/// The store's clock as read at one moment of this machine's clock. Off by the
/// time that the response took at most.
struct StoreClockReading {
  StoreTime Store{};
  BootTime Local{};
  /// Era of the store; 0 if it sends none. A store that was restored from a
  /// copy is in the next one.
  uint64_t Era = 0;

  /// Limit of the distance between the reading and a converted time. A corrupt
  /// row may hold any number, and the conversion must not overflow.
  static constexpr StoreClock::duration MaximumDifference =
      std::chrono::hours(24 * 365);

  BootTime toLocal(StoreTime Time) const {
    return Local +
           std::clamp(Time - Store, -MaximumDifference, MaximumDifference);
  }
  StoreTime toStore(BootTime Time) const {
    return Store + std::chrono::ceil<StoreClock::duration>(Time - Local);
  }
};

} // namespace figlift::dispatch
