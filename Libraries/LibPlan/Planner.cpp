//===- Planner.cpp - Planner of one shard -----------------------*- C++ -*-===//
//
// Applies the limit on concurrent changes to roles and models together.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/Planner.h"

#include <algorithm>

namespace figlift::plan {

Planner::Planner(PlannerSettings Settings)
    : m_Settings(Settings), m_Placement(m_Settings.Models) {}

std::vector<Action> Planner::step(const Event &Input, BootTime Now) {
  return std::visit(
      [&](const auto &Alternative) { return on(Alternative, Now); }, Input);
}

std::vector<Action> Planner::on(const OrderEnded &Event, BootTime Now) {
  if (const auto EndedChange = m_Orders.recordEnded(Event.Target, Now))
    m_Placement.recordEnded(*EndedChange, Event, Now);
  return {};
}

std::vector<Action> Planner::on(const Tick &Event, BootTime Now) {
  // Plain services have no roles and no models.
  if (Event.View.Spec.Type == record::BackEndType::Service)
    return {};
  m_Orders.expire(Event.View, m_Settings.Reports, Now);
  m_Learned.Speeds.observe(Event.View.Targets);
  m_Learned.Mix.observe(Event.View.Offered, Now);
  std::vector<Action> Out;
  const unsigned Bound =
      std::max(1u, Event.View.Spec.Weights.MaximumConcurrentChanges);
  while (Out.size() < Bound) {
    const Fleet Engines(Event.View, m_Orders, m_Settings.Reports, Now);
    if (Engines.changesInProgress() >= Bound)
      break;
    auto Order = nextOrder(Event.View, Now);
    if (!Order)
      break;
    m_Orders.recordIssued(*Order, Now);
    m_Placement.recordIssued(*Order, Now);
    Out.push_back(std::move(*Order));
  }
  return Out;
}

std::optional<TargetOrder> Planner::nextOrder(const Snapshot &View,
                                              BootTime Now) {
  const Fleet Engines(View, m_Orders, m_Settings.Reports, Now);
  // Models come first: the role of an engine has no effect without a model.
  if (Placement::hasUnservedModel(View, Engines))
    return m_Placement.plan(View, Engines, Now);
  if (auto Order =
          planRole(m_Settings.Roles, View, Engines, m_Orders, m_Learned, Now))
    return Order;
  return m_Placement.plan(View, Engines, Now);
}

} // namespace figlift::plan
