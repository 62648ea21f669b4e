//===- Server.h - HTTP listener with routes ---------------------*- C++ -*-===//
//
// An HTTP listener that dispatches requests by a table of routes, with limits
// on heads, bodies, connections and requests in flight. It uses the connections
// of LibProxy, as the gateway does: the listener of cpprestsdk buffers request
// heads without a limit, so that an endless header line exhausts the memory.
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

/// Method of a route that matches every method.
inline constexpr const char *AnyMethod = "*";

/// A request is dispatched to the route with the longest matching path among
/// those of its method.
struct Route {
  std::string Method;
  std::string Path;
  /// Match all paths that start with Path.
  bool Prefix = false;
  Handler Handle;
  /// For health and metrics: served also while draining, and not counted as a
  /// request in flight.
  bool Administrative = false;
};

struct ServerOptions {
  Endpoint Listen;
  /// Limit of request line and headers; several times what callers send.
  uint32_t MaximumHeadBytes = 64u << 10;
  size_t MaximumBodyBytes = 8u << 20;
  /// Connections above this number are closed at once. Twice the default of
  /// MaximumRequests, because callers keep idle connections.
  size_t MaximumConnections = 8192;
  /// Time from the first to the last byte of a request head.
  std::chrono::milliseconds HeadTimeout{10000};
  /// Maximum time without input within a body and between requests.
  std::chrono::milliseconds IdleTimeout{60000};
  /// Number of threads that run the handlers; a handler that blocks occupies
  /// one of them.
  unsigned Threads = 2;
  /// Limit of requests in flight; further ones are rejected with LimitReached.
  size_t MaximumRequests = 4096;
  /// Retry-After of requests that are rejected by a limit or while draining.
  std::chrono::milliseconds RetryAfter{1000};
  /// A stream with more queued bytes than this is aborted.
  size_t MaximumQueuedBytesPerStream = 4u << 20;
};

class Server {
public:
  virtual ~Server() = default;
  /// Rejects new requests with Draining; requests in flight continue.
  virtual void drain() = 0;
  /// Requests whose response has not ended, without administrative ones.
  virtual size_t requestsInFlight() const = 0;
  /// Closes the listener and all connections; responses that are being written
  /// have half a second to complete.
  virtual void stop() = 0;
  /// Creates a server that is already listening. The endpoint needs a port
  /// other than 0, because the port chosen for 0 cannot be queried. Fails with
  /// SettingsInvalid.
  static Result<std::unique_ptr<Server>> create(const ServerOptions &Options,
                                                std::vector<Route> Routes);
};

} // namespace figlift::http
