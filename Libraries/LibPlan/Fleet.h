//===- Fleet.h - Current view of a shard's engines --------------*- C++ -*-===//
//
// Combines the agents' reports with the pending orders, and determines which
// engines can be changed while every kind of work is still served. Outdated
// reports, and reports from before the end of an order, are not used: such an
// engine counts as absent and gets no order.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/FluidModel.h"
#include "LibPlan/PlanTypes.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace figlift::plan {

struct FleetSettings {
  std::chrono::milliseconds MaximumReportAge{5000};
  /// An order without a reported end is dropped after this time; the engine's
  /// next report then shows its state.
  std::chrono::milliseconds OrderTimeout{180000};
};

/// Orders that this planner has issued and that have not ended.
class PendingOrders {
public:
  void recordIssued(const TargetOrder &Order, BootTime Now);
  /// Removes the order to \p Target and returns its change, or nothing if there
  /// is no such order.
  std::optional<Change> recordEnded(const std::string &Target, BootTime Now);
  /// Drops orders to engines that are no longer live, and orders past the
  /// timeout.
  void expire(const Snapshot &View, const FleetSettings &Settings,
              BootTime Now);
  const Change *find(const std::string &Target) const;
  size_t size() const { return m_Orders.size(); }
  /// Moving average of the duration of role changes.
  std::chrono::milliseconds roleChangeDuration() const { return m_RoleChange; }
  /// Whether the report of \p Target is newer than the end of its last order.
  bool hasReportedSinceLastOrder(const TargetState &Target) const;

private:
  struct Order {
    Change RequestedChange;
    BootTime IssuedAt;
  };
  std::map<std::string, Order> m_Orders;
  std::map<std::string, BootTime> m_EndedAt;
  /// Starts with an assumed duration.
  std::chrono::milliseconds m_RoleChange{5000};
};

class Fleet {
public:
  Fleet(const Snapshot &View, const PendingOrders &Orders,
        const FleetSettings &Settings, BootTime Now);

  /// Engines that serve now and can get an order.
  const std::vector<const TargetState *> &serving() const { return m_Serving; }
  RoleCounts roleCounts() const;
  /// Engines whose change is in progress, by their roles after it.
  const RoleCounts &rolesAfterChange() const { return m_RolesAfterChange; }
  /// Number of changes in progress, including those ordered by other planners.
  unsigned changesInProgress() const { return m_ChangesInProgress; }
  /// Number of engines that serve any version of \p Model, not counting the
  /// target \p ExcludedTarget.
  unsigned servingModel(const std::string &Model,
                        const std::string &ExcludedTarget = {}) const;

  /// Whether each kind of work keeps at least one engine, and the minimum of
  /// the record, while \p Target does not serve. If a minimum is not met now,
  /// it is sufficient that the number of engines does not decrease.
  bool canSpare(const TargetState &Target) const;
  /// Whether \p Target can be spared and the minimums are also met after it has
  /// changed to \p NewRole.
  bool canChangeRole(const TargetState &Target, Role NewRole) const;

private:
  bool meetsMinimums(const RoleCounts &Counts) const;

  const Snapshot &m_View;
  std::vector<const TargetState *> m_Serving;
  RoleCounts m_RolesAfterChange;
  unsigned m_ChangesInProgress = 0;
};

} // namespace figlift::plan
