//===- RolePlanner.h - Which engine should change its role ------*- C++ -*-===//
//
// Compares the current split of roles with each neighbouring one over the
// record's horizon. A change must gain more useful tokens than it costs in
// seconds of an engine lost and in the record's price for a change, and the
// mix is expected to last only as long as it usually does; that is all the
// hysteresis there is.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/Fleet.h"
#include "LibPlan/FluidModel.h"
#include "LibPlan/MixHistory.h"
#include "LibPlan/PlanTypes.h"

#include <chrono>
#include <optional>
#include <variant>

namespace figlift::plan {

/// Brings the engines to the record's split and leaves them there.
struct StaticPlan {};

/// Follows the ratio of offered work at once: the baseline without hysteresis.
struct ThresholdPlan {};

struct FigliftPlan {
  /// Work that waited so long is worth nothing.
  std::chrono::milliseconds Patience{10000};
  /// Expect the mix to last as long as it did lately; false: for the whole
  /// horizon.
  bool LearnsPersistence = true;
};

using PlanPolicy = std::variant<StaticPlan, ThresholdPlan, FigliftPlan>;

/// What the planner has learned of the shard.
struct Knowledge {
  SpeedLearner Speeds;
  MixHistory Mix;
};

/// The best role change now, if any is worth its cost.
std::optional<GiveOrder> planRole(const PlanPolicy &Policy,
                                  const Snapshot &Seen, const Fleet &Engines,
                                  const OrdersUnderWay &Orders,
                                  const Knowledge &Known, BootTime Now);

} // namespace figlift::plan
