//===- PlannerService.h - Planners of an entry ------------------*- C++ -*-===//
//
// Runs a ShardPlanner for every shard that this entry is a candidate for. Only
// a few entries of a region are candidates for a shard, chosen by rendezvous
// hashing, so that reads of lease rows do not grow with the number of entries.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlanner/ShardPlanner.h"

#include <map>
#include <memory>
#include <string>

namespace figlift::planner {

/// Number of entries that compete for the lease of one shard.
inline constexpr size_t CandidatesPerShard = 3;

/// Whether \p EntryId is among the candidates of \p Shard.
bool isCandidate(const ShardId &Shard, const std::string &EntryId,
                 const std::vector<std::string> &Entries);

/// Must be used on the planner's thread only.
class PlannerService {
public:
  /// \p EntryId: this entry's id. Dependencies.Lease.Self must be unique for
  /// each start of the process.
  PlannerService(std::string EntryId, ShardPlannerDependencies Dependencies);

  /// Must be called several times a second.
  void tick();
  /// Releases every lease; stopped() returns true once each release has been
  /// written or abandoned.
  void stop();
  bool stopped() const;
  /// Shards whose lease this process holds now.
  std::vector<ShardId> heldShards() const;

private:
  void updateShards();

  const std::string m_EntryId;
  ShardPlannerDependencies m_Dependencies;
  std::map<ShardId, std::shared_ptr<ShardPlanner>> m_Planners;
  /// Planners that are stopping and have not stopped yet.
  std::vector<std::shared_ptr<ShardPlanner>> m_StoppingPlanners;
  bool m_Stopping = false;
};

} // namespace figlift::planner
