//===- PeerReport.h - What gateways tell each other -------------*- C++ -*-===//
//
// A datagram with a gateway's outstanding work at each target and the prompt
// parts that it had computed lately. A lost one is made up for by the next;
// nothing is decided together by them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/LoadBook.h"
#include "LibDispatch/Prompt.h"

#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// A part of a prompt that is now in a target's KV cache.
struct CachedPart {
  std::string TargetId;
  PromptPart Part;
};

struct PeerReport {
  std::string From;
  std::vector<PeerLoad> Loads;
  std::vector<CachedPart> Cached;
};

/// CBOR.
std::string encodePeerReport(const PeerReport &What);
/// Fails with InvalidInput.
Result<PeerReport> decodePeerReport(std::string_view Bytes);

} // namespace figlift::dispatch
