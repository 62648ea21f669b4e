//===- PeerReport.h - What gateways tell each other -------------*- C++ -*-===//
//
// A datagram with a gateway's outstanding work at each target and the prompt
// parts that it had computed lately. A lost one is made up for by the next;
// nothing is decided together by them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/EngineDemand.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/Prompt.h"
#include "LibDispatch/ServerLimits.h"

#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// A part of a prompt that is in a target's KV cache, or will be.
struct CachedPart {
  std::string TargetId;
  PromptPart Part;
  /// 0: it is there now; otherwise it is expected within this time.
  std::chrono::milliseconds Within{0};
};

/// Demand that callers made on one service through one gateway.
struct ServiceDemand {
  std::string Service;
  EngineDemand Demand;
};

/// An engine that changes its stage and takes no work meanwhile.
struct AwayTarget {
  std::string TargetId;
  std::chrono::milliseconds Left{0};
};

/// What a process measured of the engines of one service.
struct ServiceFigures {
  std::string Service;
  engine::EngineParameters Figures;
};

struct PeerReport {
  std::string From;
  std::vector<PeerLoad> Loads;
  std::vector<CachedPart> Cached;
  std::vector<ServiceDemand> Demands;
  std::vector<AwayTarget> Away;
  /// Empty in most reports: they change slowly.
  std::vector<ServiceFigures> Engines;
  /// Empty in most reports.
  std::vector<LimitNews> Limits;
};

/// CBOR.
std::string encodePeerReport(const PeerReport &What);
/// Fails with InvalidInput.
Result<PeerReport> decodePeerReport(std::string_view Bytes);

} // namespace figlift::dispatch
