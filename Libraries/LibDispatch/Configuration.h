//===- Configuration.h - What operators want served -------------*- C++ -*-===//
//
// Typed configuration of the gateway: routes to services, and the bounds on
// what callers may send. One value is one version; versions are replaced as a
// whole.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// What may happen to a request more than once.
enum class RouteKind {
  /// Idempotent: may run more than once.
  Safe,
  /// Runs once at most.
  Unsafe,
  /// The response is a stream of events.
  Streaming,
};

/// A share of a route's requests goes to this service.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::Safe;
  /// Longest time that a request may be kept waiting for its final answer.
  std::chrono::milliseconds Timeout{0};
  /// A response (of a stream: its first event) within this time is on time.
  std::chrono::milliseconds LatencyTarget{0};
  /// Most servers that one request may be sent to.
  unsigned MaximumAttempts = 1;
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Requests carry a prompt whose parts are worth keeping together.
  bool CarriesPrompts = false;
  /// A stream may go on at another server after its last event.
  bool Resumable = false;
  /// Longest pause between events for which a stream is on time.
  std::optional<std::chrono::milliseconds> EventGapTarget;
  /// At least one; weights are positive.
  std::vector<WeightedService> Services;

  /// Whether a request on this route may run more than once.
  bool repeatable() const {
    return Kind == RouteKind::Safe ||
           (Kind == RouteKind::Streaming && Resumable);
  }
};

/// What all engines of a service have in common.
struct EngineTraits {
  /// Requests that an engine decodes at once.
  unsigned Slots = 1;
  uint64_t KvCapacityTokens = 0;
  uint64_t KvBytesPerToken = 0;
  /// Bandwidth between engines, for KV cache.
  double LinkMbps = 0;
  /// How long an engine keeps a KV cache that nobody has fetched.
  std::chrono::milliseconds KvHold{0};
  /// An engine is away this long when its stage changes.
  std::chrono::milliseconds StageSwitch{0};
};

/// People notice a pause of a fifth of a second in a text that appears.
inline constexpr std::chrono::milliseconds DefaultEventGap{200};

struct Service {
  std::string Name;
  std::string HealthPath;
  /// Connections that each server accepts from all callers together.
  unsigned MaximumConnections = 0;
  /// Absent for a plain service.
  std::optional<EngineTraits> Engine;
  /// The shortest pause between events that a route to it allows; routes that
  /// name none allow DefaultEventGap.
  std::chrono::milliseconds ShortestEventGap = DefaultEventGap;
};

struct CallerBounds {
  uint32_t HeadBytes = 16384;
  uint64_t BodyBytes = 4194304;
  std::chrono::milliseconds HeadTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

struct Configuration {
  /// Grows with each change, in uneven steps; 0 is no configuration.
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  CallerBounds Bounds;

  /// The route of \p Host (a port is passed over) with the longest prefix that
  /// begins \p Path, or null. Valid after settle().
  const Route *match(std::string_view Host, std::string_view Path) const;
  const Service *service(std::string_view Name) const;
  /// Derives what follows from the routes; after the last change of them.
  void settle();

private:
  void noteEventGaps();

  /// Indices of Routes, by host and prefix; of equal ones the first comes
  /// first.
  std::vector<uint32_t> m_ByPrefix;
  size_t m_LongestPrefix = 0;
};

/// Picks by weight; \p Draw is uniform in [0, 1).
const std::string &pickService(const Route &Which, double Draw);

} // namespace figlift::dispatch
