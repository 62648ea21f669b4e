//===- LimitShare.h - A gateway's share of a server's limit -----*- C++ -*-===//
//
// Callers are distributed unevenly over gateways, so even shares would leave
// most of a limit unused; shares are proportional to demand instead. Each
// gateway computes its own share from the reports of all, so the shares add up
// to one as far as their views agree. A gateway that misses reports of others
// takes an even share among all that are listed.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace figlift::dispatch {

struct LimitFleet {
  /// This gateway, and the others that sent a report recently, by name.
  std::string Self;
  std::vector<std::string> Others;
  /// Gateways that may be using a share, whether or not a report of them
  /// arrived.
  size_t Sharers = 1;
  /// \name Demand on the server's service, in any unit; 0 if not reported.
  /// @{
  double OwnDemand = 0;
  double TotalDemand = 0;
  /// @}
};

struct LimitShare {
  /// Fraction of the limit, 0 to 1.
  double Fraction = 0;
  /// Maximum number of requests sent at once.
  double Burst = 0;
};

/// Number of requests that all gateways of a fleet together may send at once: a
/// tenth of what the limit allows in four seconds, plus five.
double fleetBurst(double PerSecond);

/// Computes the share of \p Fleet's own gateway. A limit that is too small for
/// every gateway to save up a whole request is divided among a few gateways,
/// different ones for each server.
LimitShare limitShare(const LimitFleet &Fleet, const std::string &TargetId,
                      double PerSecond);

} // namespace figlift::dispatch
