//===- ServerProbe.h - One attempt to connect to a server -------*- C++ -*-===//
//
// Finds out whether a process listens at an address, by a connection that
// carries nothing and is closed at once, or after it has stayed open for a
// while: the kernel of a process that is ending may still establish one, and so
// does a proxy whose server is gone.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string_view>

namespace figlift::upstream {

enum class ProbeResult {
  /// Established, and still open at the end of the hold.
  Accepted,
  /// Nothing listens at the address.
  Refused,
  /// Reset or closed by the peer. A process that has too many connections does
  /// that as well as one that is ending.
  Closed,
  /// Not established within the timeout, or not at all for another reason.
  NoAnswer,
};

/// Short text for the log.
std::string_view describe(ProbeResult Result);

struct ProbeTimes {
  /// To the established connection.
  std::chrono::milliseconds Timeout{600};
  /// For which the connection has to stay open.
  std::chrono::milliseconds Hold{0};
};

/// Calls \p Done once, on the loop, never within this call.
void probeServer(boost::asio::io_context &Loop, const Endpoint &Server,
                 ProbeTimes Times, std::function<void(ProbeResult)> Done);

} // namespace figlift::upstream
