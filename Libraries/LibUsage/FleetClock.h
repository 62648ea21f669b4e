//===- FleetClock.h - True time from the clocks of the fleet ----*- C++ -*-===//
//
// The time of day of one VM may jump by seconds. The median of the clocks of
// all gateways does not, as long as fewer than half of them are wrong.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <map>
#include <string>

namespace figlift::usage {

class FleetClock {
public:
  /// The clock of this VM shows \p Wall at \p Now.
  void recordOwn(WallTime Wall, BootTime Now) { m_Own = Wall - toWall(Now); }
  /// The clock of \p Peer showed \p Wall when it sent a message that was read
  /// at \p Now.
  void recordPeer(const std::string &Peer, WallTime Wall, BootTime Now);

  /// The median of the clocks that were heard lately, at \p Now.
  WallTime at(BootTime Now) const;

private:
  using Offset = std::chrono::milliseconds;
  struct PeerClock {
    /// The largest offset heard lately, which is that of the message with the
    /// shortest delay.
    Offset Largest{0};
    BootTime LargestAt{};
    BootTime HeardAt{};
  };

  static WallTime toWall(BootTime Now) {
    return WallTime(std::chrono::duration_cast<Offset>(Now.time_since_epoch()));
  }

  /// Time of day minus the time since boot of this VM.
  Offset m_Own{0};
  std::map<std::string, PeerClock> m_Peers;
};

} // namespace figlift::usage
