//===- PlannerHost.h - Runs the planner in an entry -------------*- C++ -*-===//
//
// Runs the planner service on the control thread, keeps the entry connected to
// all targets of the shards it plans, and logs the planner's actions. Stopped
// before the other components at shutdown, so that its leases are released.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/EntryShardView.h"
#include "figlift-entry/EventLoop.h"

#include "LibPlanner/PlannerService.h"

#include <functional>

namespace figlift::entry {

class PlannerHost {
public:
  struct Dependencies {
    const settings::EntrySettings &Settings;
    EventLoop &Control;
    Fleet &Targets;
    platform::Table &Store;
    UuidGenerator &Ids;
    timeline::Timeline &Events;
    metrics::Registry &Metrics;
  };

  explicit PlannerHost(Dependencies Services);

  /// Thread-safe, like stop().
  void start();
  /// Releases all leases. \p Done runs on the control thread when they are
  /// released or the time limit has passed.
  void stop(std::function<void()> Done);

private:
  planner::ShardPlannerDependencies shardParts();
  planner::PlannerObserver observer();
  void tick();

  const Dependencies m_Dependencies;
  EntryShardView m_View;
  planner::PlannerService m_Service;
  std::function<void()> m_OnStopped;
  BootTime m_StopUntil{};
  metrics::Counter &m_RoleChanges;
};

} // namespace figlift::entry
