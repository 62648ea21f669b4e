//===- EntryShardView.h - The planner's interface to the fleet --*- C++ -*-===//
//
// Provides the planner with the state of the targets and sends its orders to
// their agents. Used on the control thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/Fleet.h"

#include "LibPlanner/ShardView.h"

namespace figlift::entry {

class EntryShardView final : public planner::ShardView,
                             public planner::OrderSender {
public:
  EntryShardView(const settings::EntrySettings &Settings, Fleet &Targets,
                 timeline::Timeline &Events, metrics::Registry &Metrics)
      : m_Settings(Settings), m_Fleet(Targets), m_Events(Events),
        m_Metrics(Metrics) {}

  std::vector<planner::ShardId> shards() const override;
  record::BackEnd specification(const planner::ShardId &Shard) const override;
  std::vector<planner::ShardTarget>
  targets(const planner::ShardId &Shard) const override;
  planner::RejectedTotals
  rejectedTotals(const planner::ShardId &Shard) const override;
  std::vector<std::string> entries() const override;
  bool listKnown() const override;
  void send(const std::string &Target, wire::OrderRequest Order,
            Done OnReply) override;

private:
  planner::ShardTarget describe(const membership::TargetState &State) const;

  const settings::EntrySettings &m_Settings;
  Fleet &m_Fleet;
  timeline::Timeline &m_Events;
  metrics::Registry &m_Metrics;
};

} // namespace figlift::entry
