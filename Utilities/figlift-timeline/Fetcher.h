//===- Fetcher.h - Fetches the events of processes --------------*- C++ -*-===//
//
// Sends GET /timeline to all processes in parallel and waits at most for the
// timeout.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTimeline/MergedTimeline.h"

#include <chrono>
#include <string>
#include <vector>

namespace figlift::timeline {

/// Returns one response for each endpoint, in the same order. An unreachable
/// process has a Source with a Failure.
std::vector<SourceResponse> fetchAll(const std::vector<Endpoint> &Processes,
                                     const std::string &After,
                                     std::chrono::milliseconds Timeout);

} // namespace figlift::timeline
