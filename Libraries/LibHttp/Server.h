//===- Server.h - HTTP listener with routes ---------------------*- C++ -*-===//
//
// A listener behind a table of routes, with limits for heads, bodies,
// connections and requests in flight. The bytes are LibProxy's, as in the
// gateway: cpprestsdk's listener gathers a head without a bound, so a header
// line without an end took the memory of the process.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"
#include "LibHttp/Exchange.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace figlift::http {

/// Method of a route that takes every method.
inline constexpr const char *AnyMethod = "*";

/// A request belongs to the route of its method with the longest path that
/// matches.
struct Route {
  std::string Method;
  std::string Path;
  /// Matches everything below Path too.
  bool Prefix = false;
  Handler Handle;
  /// Health and metrics: answered while draining, and not counted against
  /// the limit of requests in flight.
  bool Administrative = false;
};

struct ServerOptions {
  Endpoint Listen;
  /// Request line and headers; several times what any caller here sends.
  uint32_t MaximumHeadBytes = 64u << 10;
  size_t MaximumBodyBytes = 8u << 20;
  /// Further connections are closed at once. Twice the default for requests:
  /// callers keep some idle.
  size_t MaximumConnections = 8192;
  /// From the first byte of a head to its last.
  std::chrono::milliseconds HeadTimeout{10000};
  /// Without a byte in a body, and between requests.
  std::chrono::milliseconds IdleTimeout{60000};
  /// Handlers run on these; one that blocks holds up others beyond them.
  unsigned Threads = 2;
  /// Requests whose answer has not ended; more are refused with LimitReached.
  size_t MaximumRequests = 4096;
  /// What callers are told when a limit or draining refuses them.
  std::chrono::milliseconds RetryAfter{1000};
  /// A stream whose caller leaves more than this unread is ended.
  size_t MaximumQueuedBytesPerStream = 4u << 20;
};

class Server {
public:
  virtual ~Server() = default;
  /// Refuses new requests (Draining) from now on; running ones go on.
  virtual void drain() = 0;
  /// Requests, administrative ones left out, whose answer has not ended.
  virtual size_t requestsInFlight() const = 0;
  /// Closes the listener and every connection; what has been answered has half
  /// a second to leave.
  virtual void stop() = 0;
  /// Listens at once. The endpoint needs a real port: nothing tells which one
  /// it would have been given for 0. Fails with SettingsInvalid.
  static Result<std::unique_ptr<Server>> create(const ServerOptions &Options,
                                                std::vector<Route> Routes);
};

} // namespace figlift::http
