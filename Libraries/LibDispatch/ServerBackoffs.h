//===- ServerBackoffs.h - Servers that asked for a pause --------*- C++ -*-===//
//
// A server that turns a request away may state for how long it wants no further
// requests from this process. Until then nothing is sent to it, neither a
// request nor a call of the gateway itself: an answer to one attempt applies to
// all.
//
// A backoff belongs to one start of a server. It outlasts the server's entry in
// the list, which may be missing for a moment, and ends only by itself: neither
// a later success nor a shorter time in a later answer ends it, since answers
// may overtake each other. The class reads no clock.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace figlift::dispatch {

class ServerBackoffs {
public:
  /// Records that an answer received at \p Now asked for a pause of \p Time.
  /// Returns whether the backoff has become longer.
  bool record(const ServerStart &Server, std::chrono::milliseconds Time,
              BootTime Now);
  bool isBackingOff(const ServerStart &Server, BootTime Now) const {
    const auto Entry = m_Ends.find(Server);
    return Entry != m_Ends.end() && Now < Entry->second;
  }
  /// Ids of the servers that may not be sent anything now.
  std::vector<std::string> activeIds(BootTime Now) const;
  size_t activeCount(BootTime Now) const { return activeIds(Now).size(); }
  /// Time until the first backoff among \p Servers ends; empty if none of them
  /// has one.
  std::optional<BootClock::duration>
  firstEnd(std::span<const Target *const> Servers, BootTime Now) const;

private:
  /// Ends by server. Those that have passed are removed with the next backoff,
  /// so there are no more than answers within the longest backoff.
  std::map<ServerStart, BootTime> m_Ends;
};

} // namespace figlift::dispatch
