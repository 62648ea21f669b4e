//===- PaceUpdate.h - Measured paces for the peers --------------*- C++ -*-===//
//
// A datagram with what one gateway has measured of the targets' paces. It is
// sent less often than reports of load, as paces change slowly.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/FleetAverages.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

struct PaceUpdate {
  std::string Sender;
  /// Intervals between events in milliseconds, by target.
  std::vector<TargetSamples> Intervals;
  /// Measured over planned time of prefills, by target.
  std::vector<TargetSamples> ReadRatios;
  /// Ratios between the longest and the mean interval, by service.
  std::vector<TargetSamples> PauseRatios;
};

/// The rows of \p Update whose target and service this process lists. An older
/// list of the sender may name an earlier start of a target.
PaceUpdate
currentSamples(PaceUpdate Update,
               const std::function<bool(const TargetSamples &)> &IsCurrentStart,
               const std::function<bool(const std::string &)> &IsService);

/// Encodes as CBOR, at most 256 rows of each kind: those with the most samples.
std::string encodePaceUpdate(const PaceUpdate &Update);
/// Fails with InvalidInput, also if a number is negative, not finite or larger
/// than any fleet measures, or if there is no sender.
Result<PaceUpdate> decodePaceUpdate(std::string_view Bytes);

} // namespace figlift::dispatch
