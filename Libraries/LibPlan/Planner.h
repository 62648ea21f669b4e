//===- Planner.h - Planner of one shard -------------------------*- C++ -*-===//
//
// State machine that the holder of a shard's lease runs. Each new holder starts
// with an empty state, and learns of the orders of its predecessors from the
// snapshots.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/Fleet.h"
#include "LibPlan/Placement.h"
#include "LibPlan/PlanTypes.h"
#include "LibPlan/RolePlanner.h"

#include <vector>

namespace figlift::plan {

struct PlannerSettings {
  PlanPolicy Roles = FigliftPlan{};
  PlacementSettings Models;
  FleetSettings Reports;
};

class Planner {
public:
  explicit Planner(PlannerSettings Settings = {});

  /// Returns the orders to issue now. They count as issued from now on.
  std::vector<Action> step(const Event &Input, BootTime Now);

  const PendingOrders &orders() const { return m_Orders; }
  const Placement &placement() const { return m_Placement; }

private:
  std::vector<Action> on(const Tick &Event, BootTime Now);
  std::vector<Action> on(const OrderEnded &Event, BootTime Now);
  std::optional<TargetOrder> nextOrder(const Snapshot &View, BootTime Now);

  PlannerSettings m_Settings;
  PendingOrders m_Orders;
  Placement m_Placement;
  LearnedState m_Learned;
};

} // namespace figlift::plan
