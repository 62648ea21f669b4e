//===- ServicePlanner.h - Where a plain request runs ------------*- C++ -*-===//
//
// Chooses a server of a plain service by the expected time to its answer:
// work that is there, measured speed, and recent failures. A request that no
// server would answer in time is refused at once.
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
};

struct ServiceAssignment {
  std::string TargetId;
  Milliseconds Cost{0};
  Milliseconds Expected{0};
};
struct ServiceRejection {
  std::string_view Reason;
  std::chrono::milliseconds RetryAfter{0};
};
using ServicePlan = std::variant<ServiceAssignment, ServiceRejection>;

struct ServicePlannerOptions {
  /// Work time to plan with before any answer was seen. Deviations are in
  /// LoadTracker::slowness().
  Milliseconds AssumedWork{20};
  /// Share of the time to the deadline that a plan may use up.
  double DeadlineShare = 0.8;
  /// A recent failure makes a server look this many times as slow: an answer
  /// from it may be worth nothing.
  double FailurePenalty = 20;
  /// Errors of its own that a server gives beyond those of the best one weigh
  /// likewise, from this excess on: some requests fail at every server by
  /// right, and a share of a few answers is uncertain by about as much.
  double ErrorMargin = 0.15;
  /// What a refused caller is told to wait.
  std::chrono::milliseconds RetryAfter{200};
};

class ServicePlanner {
public:
  ServicePlanner(ServicePlannerOptions Options, LoadTracker &Loads);

  ServicePlan plan(const ServiceRequest &Request,
                   std::span<const Target *const> Servers, BootTime Now) const;

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
