//===- SuspectNews.h - Crashes under a request, for peers -------*- C++ -*-===//
//
// What one gateway knows of a request under which servers ended. Ages stand in
// place of times, as clocks differ.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/RequestFingerprint.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

struct SuspectNews {
  struct Crash {
    ServerStart Server;
    /// How long ago the send broke off.
    std::chrono::milliseconds Age{0};
    /// See CrashSuspects: one more than what its sender knew of.
    unsigned Rank = 1;
  };

  RequestFingerprint Request;
  std::vector<Crash> Crashes;
  /// How long ago a server ran it to an end; crashes before that say nothing.
  std::optional<std::chrono::milliseconds> Cleared;
  /// It has been sent to a server, and is to be left alone for so long.
  std::chrono::milliseconds Alone{0};
};

/// CBOR.
std::string encodeSuspectNews(const std::vector<SuspectNews> &What);
/// Fails with InvalidInput, also for negative times.
Result<std::vector<SuspectNews>> decodeSuspectNews(std::string_view Bytes);

} // namespace figlift::dispatch
