//===- SuspectUpdate.h - Crashes of a request, for peers --------*- C++ -*-===//
//
// The state of one suspect request as a gateway reports it to its peers. Times
// are sent as ages, as the clocks of two machines differ.
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

struct SuspectUpdate {
  struct Crash {
    ServerStart Server;
    /// Time since the send was interrupted.
    std::chrono::milliseconds Age{0};
    /// One more than the highest rank that the sender knew, see CrashSuspects.
    unsigned Rank = 1;
  };

  RequestFingerprint Request;
  std::vector<Crash> Crashes;
  /// Time since a server completed the request. Earlier crashes do not count.
  std::optional<std::chrono::milliseconds> ClearedAge;
  /// The request was sent to a server, and no other gateway may send it for
  /// this time.
  std::chrono::milliseconds Isolation{0};
};

/// Encodes as CBOR.
std::string encodeSuspectUpdates(const std::vector<SuspectUpdate> &Updates);
/// Fails with InvalidInput, also for negative ages.
Result<std::vector<SuspectUpdate>> decodeSuspectUpdates(std::string_view Bytes);

} // namespace figlift::dispatch
