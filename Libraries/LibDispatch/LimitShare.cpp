//===- LimitShare.cpp - A gateway's part of a server's limit --------------===//
//
// By demand where every gateway has a part, by rendezvous hashing else.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LimitShare.h"

#include <xxhash.h>

#include <algorithm>

namespace figlift::dispatch {

namespace {

/// The rest goes by demand. It lets a gateway begin whose callers have just
/// come, before its demand is known elsewhere.
constexpr double EvenPart = 0.2;
/// Requests that each gateway may send at once where a limit is left to a few:
/// with a single one, what comes between two requests is lost.
constexpr double BurstOfFew = 2;

} // namespace

double fleetBurst(double PerSecond) { return 0.1 * 4 * PerSecond + 5; }

namespace {

/// Gateways among \p Fleet that come before this one in the server's order.
size_t ahead(const LimitFleet &Fleet, const std::string &TargetId) {
  const uint64_t Server = XXH64(TargetId.data(), TargetId.size(), 0);
  const auto Weight = [&](const std::string &Gateway) {
    return XXH64(Gateway.data(), Gateway.size(), Server);
  };
  const uint64_t Own = Weight(Fleet.Own);
  return static_cast<size_t>(
      std::count_if(Fleet.Others.begin(), Fleet.Others.end(),
                    [&](const auto &Each) { return Weight(Each) > Own; }));
}

} // namespace

LimitShare limitShare(const LimitFleet &Fleet, const std::string &TargetId,
                      double PerSecond) {
  const size_t Known = Fleet.Others.size() + 1;
  const size_t Sharers = std::max(Fleet.Sharers, Known);
  const double Burst = fleetBurst(PerSecond);
  if (static_cast<double>(Sharers) > Burst) {
    const auto Few =
        std::max<size_t>(1, static_cast<size_t>(Burst / BurstOfFew));
    if (ahead(Fleet, TargetId) >= Few)
      return {};
    return {1.0 / static_cast<double>(Few), BurstOfFew};
  }
  double Part = 1.0 / static_cast<double>(Sharers);
  if (Known == Sharers && Fleet.AllDemand > 0)
    Part = EvenPart * Part + (1 - EvenPart) * Fleet.OwnDemand / Fleet.AllDemand;
  return {Part, 1 + (Burst - static_cast<double>(Sharers)) * Part};
}

} // namespace figlift::dispatch
