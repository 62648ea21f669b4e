//===- Administration.h - Health, metrics and time line routes --*- C++ -*-===//
//
// /healthz, /readyz, /metrics and /timeline, the same in every process.
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
  /// Why the process takes no new work, or success.
  std::function<Result<void>()> Ready;
  /// Prometheus text format.
  std::function<std::string()> Metrics;
  /// Body of GET /timeline with the events after a stamp; 0 means from the
  /// start. The query parameter `after` has 16 hexadecimal digits.
  std::function<std::string(uint64_t After)> TimelineAfter;
};

std::vector<Route> administrationRoutes(AdministrationHooks Hooks);

} // namespace figlift::http
