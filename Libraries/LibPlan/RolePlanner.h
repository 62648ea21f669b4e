//===- RolePlanner.h - Planning of role changes -----------------*- C++ -*-===//
//
// Compares the current role assignment with each one that differs by a single
// change, over the horizon of the record. A change is made if it gains more
// useful tokens than it costs in lost engine time and in the record's cost of a
// change, where the current mix is expected to last only as long as it usually
// does. There is no other hysteresis.
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

/// Changes the engines to the roles of the record, and keeps these.
struct StaticPlan {};

/// Follows the ratio of offered work immediately; baseline without hysteresis.
struct ThresholdPlan {};

struct FigliftPlan {
  /// Work that has waited for this time has no value.
  std::chrono::milliseconds MaximumWait{10000};
  /// Expect the mix of prefill and decode to last as long as recent periods
  /// did; if false, for the whole horizon.
  bool LearnsPersistence = true;
};

using PlanPolicy = std::variant<StaticPlan, ThresholdPlan, FigliftPlan>;

/// Estimates that the planner has derived from earlier snapshots.
struct LearnedState {
  RoleSpeedEstimator Speeds;
  MixHistory Mix;
};

/// Returns the best role change, if any gains more than it costs.
std::optional<TargetOrder> planRole(const PlanPolicy &Policy,
                                    const Snapshot &View, const Fleet &Engines,
                                    const PendingOrders &Orders,
                                    const LearnedState &Learned, BootTime Now);

} // namespace figlift::plan
