//===- FleetClock.cpp - True time from the clocks of the fleet ------------===//
//
// See FleetClock.h.
//
//===----------------------------------------------------------------------===//

#include "LibUsage/FleetClock.h"

#include <algorithm>
#include <vector>

namespace figlift::usage {

namespace {

/// A peer's clock is used for this long after its last message.
constexpr std::chrono::seconds PeerLifetime{3};
/// A clock that was set back is followed after this time.
constexpr std::chrono::seconds LargestLifetime{2};

} // namespace

void FleetClock::recordPeer(const std::string &Peer, WallTime Wall,
                            BootTime Now) {
  std::erase_if(m_Peers, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > PeerLifetime;
  });
  PeerClock &Clock = m_Peers[Peer];
  const Offset Heard = Wall - toWall(Now);
  Clock.HeardAt = Now;
  if (Heard >= Clock.Largest || Now - Clock.LargestAt > LargestLifetime) {
    Clock.Largest = Heard;
    Clock.LargestAt = Now;
  }
}

WallTime FleetClock::at(BootTime Now) const {
  std::vector<Offset> Offsets{m_Own};
  for (const auto &[Peer, Clock] : m_Peers)
    if (Now - Clock.HeardAt <= PeerLifetime)
      Offsets.push_back(Clock.Largest);
  const auto Middle =
      Offsets.begin() + static_cast<std::ptrdiff_t>(Offsets.size() / 2);
  std::nth_element(Offsets.begin(), Middle, Offsets.end());
  return toWall(Now) + *Middle;
}

} // namespace figlift::usage
