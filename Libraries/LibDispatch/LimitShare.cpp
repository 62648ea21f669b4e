//===- LimitShare.cpp - A gateway's share of a server's limit -------------===//
//
// Shares by demand if every gateway gets one, otherwise selects a few gateways
// by rendezvous hashing.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LimitShare.h"

#include <xxhash.h>

#include <algorithm>

namespace figlift::dispatch {

namespace {

/// The part of the limit that is shared evenly; the rest is shared by demand.
/// It lets a gateway serve new callers before its demand is known to the
/// others.
constexpr double EvenFraction = 0.2;
/// Burst of each gateway if a limit is divided among a few. With a burst of
/// one, tokens that arrive between two requests are lost.
constexpr double BurstOfSelected = 2;

} // namespace

double fleetBurst(double PerSecond) { return 0.1 * 4 * PerSecond + 5; }

namespace {

/// Number of gateways of \p Fleet that precede this one in the server's order.
size_t rankOf(const LimitFleet &Fleet, const std::string &TargetId) {
  const uint64_t Server = XXH64(TargetId.data(), TargetId.size(), 0);
  const auto Weight = [&](const std::string &Gateway) {
    return XXH64(Gateway.data(), Gateway.size(), Server);
  };
  const uint64_t OwnWeight = Weight(Fleet.Self);
  return static_cast<size_t>(std::count_if(
      Fleet.Others.begin(), Fleet.Others.end(),
      [&](const auto &Gateway) { return Weight(Gateway) > OwnWeight; }));
}

} // namespace

LimitShare limitShare(const LimitFleet &Fleet, const std::string &TargetId,
                      double PerSecond) {
  const size_t Reporting = Fleet.Others.size() + 1;
  const size_t Sharers = std::max(Fleet.Sharers, Reporting);
  const double Burst = fleetBurst(PerSecond);
  if (static_cast<double>(Sharers) > Burst) {
    const auto Selected =
        std::max<size_t>(1, static_cast<size_t>(Burst / BurstOfSelected));
    if (rankOf(Fleet, TargetId) >= Selected)
      return {};
    return {1.0 / static_cast<double>(Selected), BurstOfSelected};
  }
  double Fraction = 1.0 / static_cast<double>(Sharers);
  if (Reporting == Sharers && Fleet.TotalDemand > 0)
    Fraction = EvenFraction * Fraction +
               (1 - EvenFraction) * Fleet.OwnDemand / Fleet.TotalDemand;
  return {Fraction, 1 + (Burst - static_cast<double>(Sharers)) * Fraction};
}

} // namespace figlift::dispatch
