//===- Story.h - What became of one request, and why ------------*- C++ -*-===//
//
// Picks from the log lines of all processes those that belong to one request:
// its own, and what its process believed then of the targets that it went to,
// of the store and of the configuration. Says in words what the fields of the
// last line mean, by the same rules that docs/OPERATIONS.md walks through.
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

struct StoryOptions {
  /// How long before the request lines about its targets, and about its
  /// process, still belong to it: longer than any outage of the store that a
  /// gateway notices late, and short enough to read.
  std::chrono::milliseconds Before{10000};
};

struct Story {
  timeline::MergedTimeline Lines;
  /// What happened, and what it follows from; a sentence each.
  std::vector<std::string> Findings;
};

/// Processes that ended without saying so, a sentence each: a process that was
/// killed, or whose machine lost its power, writes no last line for what it had
/// at hand. It shows as a start without a stop before it, or as silence of two
/// seconds and more while others went on.
std::vector<std::string>
unannouncedEnds(const std::vector<timeline::Event> &Sorted);

/// \p Sorted are the lines of all processes, by time. Fails with InvalidInput
/// when none of them names the request.
Result<Story> tellStory(const std::vector<timeline::Event> &Sorted,
                        std::string_view RequestId, StoryOptions Options = {});

} // namespace figlift::explain
