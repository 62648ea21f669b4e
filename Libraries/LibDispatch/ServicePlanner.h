//===- ServicePlanner.h - Places requests of plain services -----*- C++ -*-===//
//
// Chooses a server of a plain service by its expected response time, which
// depends on its outstanding work, measured speed and recent failures. A
// request that no server would answer in time is rejected immediately.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/LoadTracker.h"

#include <chrono>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace figlift::dispatch {

struct ServiceRequest {
  Milliseconds TimeLeft{0};
  std::vector<std::string> Excluded;
  /// Uniform in [0, 1).
  double Draw = 0;
  /// An ejected server may be chosen if there is no other.
  bool MayUseEjected = true;
};

struct ServiceAssignment {
  std::string TargetId;
  Milliseconds Cost{0};
  Milliseconds Expected{0};
};
struct ServiceRejection {
  std::string_view Reason;
  std::chrono::milliseconds RetryAfter{0};
  /// No server may take the request, however long its caller waits.
  bool NoneAvailable = false;
};
using ServicePlan = std::variant<ServiceAssignment, ServiceRejection>;

struct ServicePlannerOptions {
  /// Assumed processing time. LoadTracker::slowness() corrects it by the
  /// measured deviation of each server.
  Milliseconds AssumedWork{20};
  /// Share of the time to the deadline that a plan may use.
  double DeadlineShare = 0.8;
  /// Weight of the failure share in the score: a failure share of 1 makes a
  /// server count as this many times slower, because its answer may be useless.
  double FailurePenalty = 20;
  /// Errors count like failures as far as the error share exceeds that of the
  /// best server by more than this: some requests correctly fail on every
  /// server, and a share taken from a few answers is about this uncertain.
  double ErrorMargin = 0.15;
  /// Retry delay sent to rejected callers.
  std::chrono::milliseconds RetryAfter{200};
};

class ServicePlanner {
public:
  ServicePlanner(ServicePlannerOptions Options, LoadTracker &Loads);

  ServicePlan plan(const ServiceRequest &Request,
                   std::span<const Target *const> Servers, BootTime Now) const;
  const ServicePlannerOptions &options() const { return m_Options; }

private:
  const Target *choose(const ServiceRequest &Request,
                       std::span<const Target *const> Servers,
                       bool IncludeEjected, BootTime Now) const;
  double score(const Target &Server, double LeastErrors, BootTime Now) const;
  Milliseconds expected(const Target &Server, BootTime Now) const;

  ServicePlannerOptions m_Options;
  LoadTracker &m_Loads;
};

} // namespace figlift::dispatch
