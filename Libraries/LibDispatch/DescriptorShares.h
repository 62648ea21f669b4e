//===- DescriptorShares.h - What file descriptors are for -------*- C++ -*-===//
//
// Callers can open any number of connections. If they took all descriptors of a
// process, it could neither reach a server nor accept a connection to reject
// it: new callers would wait in the listen queue without an answer.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <algorithm>
#include <cstddef>

namespace figlift::dispatch {

struct DescriptorShares {
  /// Most connections of callers that are served.
  size_t Callers = 0;
  /// Most connections beyond those that wait for their request in order to
  /// reject it.
  size_t Rejected = 0;
};

/// \p Limit is the number of descriptors that the process may have open. What
/// is not given to callers is left for servers.
inline DescriptorShares shareDescriptors(size_t Limit) {
  /// Files, listeners, and connections to the store and to peers.
  constexpr size_t Reserved = 256;
  constexpr size_t RejectedAtMost = 64;
  /// Part of connections that wait to be rejected.
  constexpr size_t RejectedPart = 16;
  const size_t Free = Limit - std::min(Reserved, Limit / 2);
  const size_t Rejected =
      std::min(RejectedAtMost, std::max<size_t>(1, Free / RejectedPart));
  // Connections of callers are idle between requests, those to servers are
  // shared by all callers. A third of all serves as many requests at once.
  return {(Free - std::min(Free, Rejected)) / 3 * 2, Rejected};
}

} // namespace figlift::dispatch
