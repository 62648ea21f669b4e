//===- LimitShare.h - A gateway's part of a server's limit ------*- C++ -*-===//
//
// Callers are spread unevenly over gateways, so an even share of a limit would
// leave most of it unused: shares go by demand. Each gateway computes its own
// from what all have told, so the shares add up to one as far as their views
// agree. A gateway that misses others takes an even part of all that are
// listed.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace figlift::dispatch {

struct LimitFleet {
  /// This gateway, and the others that were heard lately, by name.
  std::string Own;
  std::vector<std::string> Others;
  /// Gateways that may be spending a part, heard or not.
  size_t Sharers = 1;
  /// \name Demand on the server's service, in any unit; 0 if nobody told.
  /// @{
  double OwnDemand = 0;
  double AllDemand = 0;
  /// @}
};

struct LimitShare {
  /// Part of the limit, 0 to 1.
  double Part = 0;
  /// Requests that may be sent at once.
  double Burst = 0;
};

/// Requests that the gateways of a fleet may send at once, together: a tenth of
/// what the limit allows in four seconds, and five.
double fleetBurst(double PerSecond);

/// A limit that is too small for every gateway to save up a request is left to
/// a few of them, others for each server.
LimitShare limitShare(const LimitFleet &Fleet, const std::string &TargetId,
                      double PerSecond);

} // namespace figlift::dispatch
