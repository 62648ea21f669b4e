//===- Configuration.h - Routes and services of the gateway -----*- C++ -*-===//
//
// Typed configuration of the gateway: routes to services, and bounds on the
// requests of callers. A Configuration is one version and is always replaced as
// a whole.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTenant/Authentication.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// Whether a request may run more than once, and how it is answered.
enum class RouteKind {
  /// Idempotent; may run more than once.
  Safe,
  /// Runs at most once.
  Unsafe,
  /// The response is a stream of events.
  Streaming,
};

/// A service that gets a share of a route's requests.
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
  /// Maximum time until the final answer of a request.
  std::chrono::milliseconds Timeout{0};
  /// A response counts as on time within this time; a stream counts by its
  /// first event.
  std::chrono::milliseconds LatencyTarget{0};
  /// Maximum number of servers that one request is sent to.
  unsigned MaximumAttempts = 1;
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Whether requests have to present a tenant's API key.
  tenant::Access Access = tenant::Access::Tenants;
  /// Requests carry a prompt, and are routed to engines that have its parts in
  /// the KV cache.
  bool CarriesPrompts = false;
  /// An interrupted stream may be resumed on another server after its last
  /// event.
  bool Resumable = false;
  /// Maximum pause between two events for which a stream counts as on time.
  std::optional<std::chrono::milliseconds> EventGapTarget;
  /// At least one; weights are positive.
  std::vector<WeightedService> Services;

  /// Whether a request on this route may run more than once.
  bool repeatable() const {
    return Kind == RouteKind::Safe ||
           (Kind == RouteKind::Streaming && Resumable);
  }
};

/// Properties common to all engines of a service.
struct EngineTraits {
  /// Number of requests that an engine decodes concurrently.
  unsigned Slots = 1;
  uint64_t KvCapacityTokens = 0;
  uint64_t KvBytesPerToken = 0;
  /// Bandwidth between engines, for KV cache.
  double LinkMbps = 0;
  /// How long an engine keeps a KV cache that is not fetched.
  std::chrono::milliseconds KvHold{0};
  /// Time for which an engine is unavailable while it switches its stage.
  std::chrono::milliseconds StageSwitch{0};
};

/// People notice a pause of a fifth of a second in text that is being written.
inline constexpr std::chrono::milliseconds DefaultEventGap{200};

struct Service {
  std::string Name;
  std::string HealthPath;
  /// Maximum number of connections that each server accepts from all callers.
  unsigned MaximumConnections = 0;
  /// Absent for a plain service.
  std::optional<EngineTraits> Engine;
  /// The shortest EventGapTarget of the routes to this service, or
  /// DefaultEventGap if none has one.
  std::chrono::milliseconds ShortestEventGap = DefaultEventGap;
  /// Distinct priorities that requests with prompts to this service may have,
  /// ascending: those of its routes and of the tenants that may use them.
  std::vector<unsigned> PromptPriorities;
  /// Indices into Configuration::Routes of the streaming routes with prompts to
  /// this service.
  std::vector<uint32_t> PromptStreams;
};

struct CallerBounds {
  uint32_t HeadBytes = 16384;
  uint64_t BodyBytes = 4194304;
  std::chrono::milliseconds HeadTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

struct Configuration {
  /// Increases with each change, in irregular steps; 0 means no configuration.
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  CallerBounds Bounds;
  /// Null if the operator configures no tenants: no request needs an API key.
  std::shared_ptr<const tenant::TenantTable> Tenants;

  /// The route of \p Host (its port is ignored) with the longest prefix of \p
  /// Path, or null. Valid after finalize().
  const Route *match(std::string_view Host, std::string_view Path) const;
  const Service *service(std::string_view Name) const;
  /// Computes the data derived from the routes. To be called after the last
  /// change of them.
  void finalize();

private:
  void updateEventGaps();
  void updatePromptRoutes();

  /// Indices into Routes, ordered by host and prefix; equal routes keep their
  /// order.
  std::vector<uint32_t> m_ByPrefix;
  size_t m_LongestPrefix = 0;
};

/// By service whose streams may be resumed: the longest timeout of its routes.
std::map<std::string, std::chrono::milliseconds>
takeUpTimes(const Configuration &InForce);

/// Picks a service by weight; \p Draw is uniform in [0, 1).
const std::string &pickService(const Route &Entry, double Draw);

} // namespace figlift::dispatch
