//===- Planner.cpp - Plans for one shard ------------------------*- C++ -*-===//
//
// Shares the bound on concurrent changes between roles and models.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/Planner.h"

#include <algorithm>

namespace figlift::plan {

Planner::Planner(PlannerSettings Settings)
    : m_Settings(Settings), m_Placement(m_Settings.Models) {}

std::vector<Action> Planner::step(const Event &Happened, BootTime Now) {
  return std::visit([&](const auto &One) { return on(One, Now); }, Happened);
}

std::vector<Action> Planner::on(const OrderEnded &Event, BootTime Now) {
  if (const auto What = m_Orders.ended(Event.Target, Now))
    m_Placement.ended(*What, Event, Now);
  return {};
}

std::vector<Action> Planner::on(const Tick &Event, BootTime Now) {
  // Plain services have neither roles nor models.
  if (Event.Seen.Spec.Type == record::BackEndType::Service)
    return {};
  m_Orders.expire(Event.Seen, m_Settings.Trust, Now);
  m_Known.Speeds.observe(Event.Seen.Targets);
  m_Known.Mix.observe(Event.Seen.Offered, Now);
  std::vector<Action> Out;
  const unsigned Bound =
      std::max(1u, Event.Seen.Spec.Weights.MaximumConcurrentChanges);
  while (Out.size() < Bound) {
    const Fleet Engines(Event.Seen, m_Orders, m_Settings.Trust, Now);
    if (Engines.changing() >= Bound)
      break;
    auto Order = next(Event.Seen, Now);
    if (!Order)
      break;
    m_Orders.given(*Order, Now);
    m_Placement.given(*Order, Now);
    Out.push_back(std::move(*Order));
  }
  return Out;
}

std::optional<GiveOrder> Planner::next(const Snapshot &Seen, BootTime Now) {
  const Fleet Engines(Seen, m_Orders, m_Settings.Trust, Now);
  // Without its model an engine's role is of no use.
  if (Placement::someModelUnserved(Seen, Engines))
    return m_Placement.plan(Seen, Engines, Now);
  if (auto Order =
          planRole(m_Settings.Roles, Seen, Engines, m_Orders, m_Known, Now))
    return Order;
  return m_Placement.plan(Seen, Engines, Now);
}

} // namespace figlift::plan
