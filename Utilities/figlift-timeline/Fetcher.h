//===- Fetcher.h - Asks processes for their events --------------*- C++ -*-===//
//
// Sends GET /timeline to all processes at once and waits for no one longer
// than the timeout.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTimeline/MergedTimeline.h"

#include <chrono>
#include <string>
#include <vector>

namespace figlift::timeline {

/// One answer for each endpoint, in their order; a process that could not be
/// asked has a Source with a Failure.
std::vector<SourceAnswer> fetchAll(const std::vector<Endpoint> &Processes,
                                   const std::string &After,
                                   std::chrono::milliseconds Timeout);

} // namespace figlift::timeline
