//===- CrashCauseUpdate.h - Possible causes of crashes, for peers -*- C++
//-*-===//
//
// Message between gateways: crashes with their candidates, survived requests
// and trials. Times are sent as ages, as the clocks of two machines differ.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/RequestFingerprint.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// A request that was on a server when it crashed, or a prompt part of one.
struct CrashCandidate {
  Fingerprint Cause;
  /// Number of prompt parts before this one. A request comes after its parts.
  unsigned Depth = 0;
  /// Time from the send of the request to the crash.
  std::chrono::milliseconds SentBefore{0};
};

struct CrashCauseUpdate {
  struct Crash {
    ServerStart Server;
    std::chrono::milliseconds Age{0};
    std::vector<CrashCandidate> Candidates;
  };
  /// A server began to write an answer and did not crash.
  struct Survival {
    Fingerprint Cause;
    /// Since the server began to write.
    std::chrono::milliseconds Age{0};
  };
  /// A request with a rejected cause was sent to a server all the same.
  struct Trial {
    Fingerprint Cause;
    uint64_t Id = 0;
    std::chrono::milliseconds Age{0};
  };

  std::vector<Crash> Crashes;
  std::vector<Survival> Survivals;
  std::vector<Trial> Trials;

  bool empty() const {
    return Crashes.empty() && Survivals.empty() && Trials.empty();
  }
};

/// Encodes as CBOR.
std::string encodeCrashCauses(const CrashCauseUpdate &Update);
/// Fails with InvalidInput, also for negative ages.
Result<CrashCauseUpdate> decodeCrashCauses(std::string_view Bytes);

} // namespace figlift::dispatch
