//===- Planner.h - Plans for one shard --------------------------*- C++ -*-===//
//
// The state machine that the holder of a shard's lease runs. A fresh one
// starts with every takeover of the lease: what it needs to know of orders
// given by others comes in the snapshots.
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
  FleetSettings Trust;
};

class Planner {
public:
  explicit Planner(PlannerSettings Settings = {});

  /// The orders to give now; each is taken as given.
  std::vector<Action> step(const Event &Happened, BootTime Now);

  const OrdersUnderWay &orders() const { return m_Orders; }
  const Placement &placement() const { return m_Placement; }

private:
  std::vector<Action> on(const Tick &Event, BootTime Now);
  std::vector<Action> on(const OrderEnded &Event, BootTime Now);
  std::optional<GiveOrder> next(const Snapshot &Seen, BootTime Now);

  PlannerSettings m_Settings;
  OrdersUnderWay m_Orders;
  Placement m_Placement;
  Knowledge m_Known;
};

} // namespace figlift::plan
