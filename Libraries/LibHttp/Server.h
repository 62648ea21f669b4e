//===- Server.h - HTTP listener with routes ---------------------*- C++ -*-===//
//
// A cpprestsdk listener behind a table of routes, with a size limit for each
// body and a limit for requests in flight.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"
#include "LibHttp/Exchange.h"

#include <atomic>
#include <chrono>
#include <cstddef>
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
  size_t MaximumBodyBytes = 8u << 20;
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
  /// Closes the listener and every connection.
  virtual void stop() = 0;
  /// Listens at once. The endpoint needs a real port: cpprestsdk does not
  /// tell which one it would have been given for 0.
  static Result<std::unique_ptr<Server>> create(const ServerOptions &Options,
                                                std::vector<Route> Routes);
};

} // namespace figlift::http
