//===- PeerReport.h - Periodic report of a gateway to its peers -*- C++ -*-===//
//
// A datagram with a gateway's outstanding work on each target and the prompt
// parts that it had computed recently. A lost datagram is compensated by the
// next one; the reports are not used to reach agreement.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Result.h"
#include "LibDispatch/EngineDemand.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/Prompt.h"
#include "LibDispatch/ServerLimits.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// A part of a prompt that is in a target's KV cache, or will be.
struct CachedPart {
  std::string TargetId;
  PromptPart Part;
  /// 0 if the part is in the cache; otherwise it is expected within this time.
  std::chrono::milliseconds Within{0};
};

/// Demand of callers on one service through one gateway.
struct ServiceDemand {
  std::string Service;
  EngineDemand Demand;
};

/// An engine that is switching its stage and accepts no work meanwhile.
struct UnavailableTarget {
  std::string TargetId;
  std::chrono::milliseconds Remaining{0};
};

/// Measurements of the engines of one service by one process.
struct ServiceMeasurements {
  std::string Service;
  engine::EngineParameters Figures;
};

struct PeerReport {
  std::string Sender;
  std::vector<PeerLoad> Loads;
  std::vector<CachedPart> Cached;
  std::vector<ServiceDemand> Demands;
  std::vector<UnavailableTarget> Unavailable;
  /// Empty in most reports, as measurements change slowly.
  std::vector<ServiceMeasurements> Engines;
  /// Empty in most reports.
  std::vector<LimitUpdate> Limits;
  /// Time of day at the sender; empty if no duty needs it.
  std::optional<WallTime> Clock;
  /// Set by the gateway that reports usage: number of the window up to which
  /// everything has been reported.
  std::optional<uint64_t> UsageSettledThrough;
};

/// A datagram carries 65,507 bytes, with the seal.
inline constexpr size_t MaximumReportBytes = 65'000;

/// Leaves items out until the encoded report has at most MaximumReportBytes,
/// and returns their number. The ones that peers miss least go first:
/// measurements of engines, server limits, cached prompt parts, then the loads
/// with the least cost. One report replaces what an earlier one stated about
/// loads, so they cannot be spread over several.
size_t fitIntoDatagram(PeerReport &Report);
/// Encodes as CBOR.
std::string encodePeerReport(const PeerReport &Report);
/// Fails with InvalidInput.
Result<PeerReport> decodePeerReport(std::string_view Bytes);

} // namespace figlift::dispatch
