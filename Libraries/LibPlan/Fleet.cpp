//===- Fleet.cpp - Current view of a shard's engines ------------*- C++ -*-===//
//
// Validity of reports, pending orders, and the minimum of engines for each kind
// of work.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/Fleet.h"

#include <algorithm>

namespace figlift::plan {

void PendingOrders::recordIssued(const TargetOrder &Order, BootTime Now) {
  m_Orders[Order.Target] = {Order.RequestedChange, Now};
}

std::optional<Change> PendingOrders::recordEnded(const std::string &Target,
                                                 BootTime Now) {
  const auto Found = m_Orders.find(Target);
  if (Found == m_Orders.end())
    return std::nullopt;
  const Order Ended = Found->second;
  m_Orders.erase(Found);
  m_EndedAt[Target] = Now;
  if (std::holds_alternative<SetRole>(Ended.RequestedChange))
    m_RoleChange = (m_RoleChange * 3 +
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - Ended.IssuedAt)) /
                   4;
  return Ended.RequestedChange;
}

void PendingOrders::expire(const Snapshot &View, const FleetSettings &Settings,
                           BootTime Now) {
  std::erase_if(m_Orders, [&](const auto &Entry) {
    const auto Found =
        std::ranges::find(View.Targets, Entry.first, &TargetState::Id);
    const bool Removed = Found == View.Targets.end() || !Found->Live;
    return Removed || Now - Entry.second.IssuedAt > Settings.OrderTimeout;
  });
  std::erase_if(m_EndedAt, [&](const auto &Entry) {
    return Now - Entry.second > Settings.OrderTimeout;
  });
}

const Change *PendingOrders::find(const std::string &Target) const {
  const auto Found = m_Orders.find(Target);
  return Found == m_Orders.end() ? nullptr : &Found->second.RequestedChange;
}

bool PendingOrders::hasReportedSinceLastOrder(const TargetState &Target) const {
  const auto Found = m_EndedAt.find(Target.Id);
  return Found == m_EndedAt.end() || Target.ReportedAt > Found->second;
}

Fleet::Fleet(const Snapshot &View, const PendingOrders &Orders,
             const FleetSettings &Settings, BootTime Now)
    : m_View(View) {
  for (const TargetState &Target : View.Targets) {
    if (!Target.Live)
      continue;
    const Change *PendingChange = Orders.find(Target.Id);
    if (PendingChange || Target.OrderInProgress) {
      const auto *NewRole =
          PendingChange ? std::get_if<SetRole>(PendingChange) : nullptr;
      ++m_RolesAfterChange.count(NewRole ? NewRole->NewRole
                                         : Target.CurrentRole);
      ++m_ChangesInProgress;
      continue;
    }
    if (!Orders.hasReportedSinceLastOrder(Target)) {
      // The order has ended, but there is no newer report. Count the change as
      // in progress, so that the limit on concurrent changes is not exceeded.
      ++m_RolesAfterChange.count(Target.CurrentRole);
      ++m_ChangesInProgress;
      continue;
    }
    if (Target.Accepting &&
        Now - Target.ReportedAt <= Settings.MaximumReportAge)
      m_Serving.push_back(&Target);
  }
}

RoleCounts Fleet::roleCounts() const {
  RoleCounts Counts;
  for (const TargetState *Target : m_Serving)
    ++Counts.count(Target->CurrentRole);
  return Counts;
}

unsigned Fleet::servingModel(const std::string &Model,
                             const std::string &ExcludedTarget) const {
  return std::ranges::count_if(m_Serving, [&](const TargetState *Target) {
    return Target->Id != ExcludedTarget &&
           std::ranges::find(Target->Models, Model, &ModelVersion::Name) !=
               Target->Models.end();
  });
}

bool Fleet::meetsMinimums(const RoleCounts &Counts) const {
  const record::RoleSplit &Minimum = m_View.Spec.Roles;
  const RoleCounts CurrentCounts = roleCounts();
  const auto Meets = [](unsigned Planned, unsigned Current, unsigned Required) {
    return Planned >= Required || Planned >= Current;
  };
  const unsigned CanPrefill = Counts.Prefill + Counts.Mixed;
  const unsigned CanDecode = Counts.Decode + Counts.Mixed;
  return Meets(CanPrefill, CurrentCounts.Prefill + CurrentCounts.Mixed,
               std::max(1u, Minimum.Prefill)) &&
         Meets(CanDecode, CurrentCounts.Decode + CurrentCounts.Mixed,
               std::max(1u, Minimum.Decode)) &&
         Meets(Counts.Mixed, CurrentCounts.Mixed, Minimum.Mixed);
}

bool Fleet::canSpare(const TargetState &Target) const {
  RoleCounts DuringChange = roleCounts();
  --DuringChange.count(Target.CurrentRole);
  return meetsMinimums(DuringChange);
}

bool Fleet::canChangeRole(const TargetState &Target, Role NewRole) const {
  RoleCounts AfterChange = roleCounts();
  --AfterChange.count(Target.CurrentRole);
  ++AfterChange.count(NewRole);
  return canSpare(Target) && meetsMinimums(AfterChange);
}

} // namespace figlift::plan
