//===- Planning.h - The planner in an entry ---------------------*- C++ -*-===//
//
// Runs the planner service on the control thread: drives it, keeps the entry
// connected to all targets of the shards it plans for, and writes down what
// the planner did. Stopped first of all when the entry leaves, so that its
// leases are given back.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/EntryShardView.h"
#include "figlift-entry/EventLoop.h"

#include "LibPlanner/PlannerService.h"

#include <functional>

namespace figlift::entry {

class Planning {
public:
  struct Parts {
    const settings::EntrySettings &Settings;
    EventLoop &Control;
    Fleet &Known;
    platform::Table &Store;
    UuidGenerator &Ids;
    timeline::Timeline &Events;
    metrics::Registry &Metrics;
  };

  explicit Planning(Parts Of);

  /// Any thread, as the next one.
  void start();
  /// Gives every lease back; \p Done runs on the control thread once that is
  /// written or given up.
  void stop(std::function<void()> Done);

private:
  planner::ShardParts shardParts();
  planner::PlannerObserver observer();
  void tick();

  const Parts m_Parts;
  EntryShardView m_View;
  planner::PlannerService m_Service;
  std::function<void()> m_OnStopped;
  BootTime m_StopUntil{};
  metrics::Counter &m_RoleChanges;
};

} // namespace figlift::entry
