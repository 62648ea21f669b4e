//===- Explanation.h - Outcome of one request and its cause -----*- C++ -*-===//
//
// Selects the log lines that concern one request from the logs of all
// processes: the lines that name the request, and the lines in which its
// gateway reports the state of the request's targets, of the store and of the
// configuration. Explains the fields of the request's last line in sentences,
// by the rules in docs/OPERATIONS.md.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibTimeline/MergedTimeline.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::explain {

struct ExplanationOptions {
  /// Lines about the request's targets and process are included from this long
  /// before the request arrived. Longer than any store outage that a gateway
  /// detects late, and short enough that the output stays readable.
  std::chrono::milliseconds ContextWindow{10000};
};

struct Explanation {
  timeline::MergedTimeline Lines;
  /// What happened and the evidence for it, one sentence each.
  std::vector<std::string> Findings;
};

/// Processes that ended without a "stopped" line, one sentence each. A process
/// that was killed, or whose VM lost power, logs no end for its requests in
/// flight. It is detected by a "started" line without a "stopped" line before
/// it, or by a log that ends more than two seconds before the newest line of
/// all processes.
std::vector<std::string>
findUncleanExits(const std::vector<timeline::Event> &Sorted);

/// \p Sorted holds the lines of all processes, sorted by time. Fails with
/// InvalidInput when no line names the request.
Result<Explanation> explainRequest(const std::vector<timeline::Event> &Sorted,
                                   std::string_view RequestId,
                                   ExplanationOptions Options = {});

} // namespace figlift::explain
