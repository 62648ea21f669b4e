//===- Administration.h - Health, metrics and timeline routes ---*- C++ -*-===//
//
// The routes /healthz, /readyz, /metrics and /timeline, which every process
// serves.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibHttp/Server.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace figlift::http {

struct AdministrationHooks {
  /// Success, or the reason why the process accepts no new work.
  std::function<Result<void>()> Ready;
  /// Metrics in the Prometheus text format.
  std::function<std::string()> Metrics;
  /// Response body of GET /timeline: the events after a stamp, or all events
  /// for 0. The query parameter `after` has up to 16 hexadecimal digits.
  std::function<std::string(uint64_t After)> TimelineAfter;
};

std::vector<Route> administrationRoutes(AdministrationHooks Hooks);

} // namespace figlift::http
