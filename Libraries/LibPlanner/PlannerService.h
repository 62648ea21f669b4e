//===- PlannerService.h - The planner inside an entry -----------*- C++ -*-===//
//
// Keeps a ShardPlanner for every shard that this entry is a candidate for.
// Only a few entries of a region stand for each shard, chosen by rendezvous
// hashing, so that the reads of lease rows do not grow with the entries.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlanner/ShardPlanner.h"

#include <map>
#include <memory>
#include <string>

namespace figlift::planner {

/// Entries that stand for one shard.
inline constexpr size_t CandidatesPerShard = 3;

/// Whether \p Self is among the candidates of \p Shard. Pure.
bool isCandidate(const ShardId &Shard, const std::string &Self,
                 const std::vector<std::string> &Entries);

/// All members on the planner's thread.
class PlannerService {
public:
  /// \p Self: this entry's id; Parts.Lease.Self is unique for this start.
  PlannerService(std::string Self, ShardParts Parts);

  /// A few times a second.
  void tick();
  /// Gives every lease back; ended() once that is written or given up.
  void stop();
  bool ended() const;
  /// Shards whose lease this process holds now.
  std::vector<ShardId> held() const;

private:
  void chooseShards();

  const std::string m_Self;
  ShardParts m_Parts;
  std::map<ShardId, std::shared_ptr<ShardPlanner>> m_Shards;
  /// Told to stop, and not yet stopped.
  std::vector<std::shared_ptr<ShardPlanner>> m_Leaving;
  bool m_Stopping = false;
};

} // namespace figlift::planner
