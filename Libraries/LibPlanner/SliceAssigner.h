//===- SliceAssigner.h - Assigns homes to slices ----------------*- C++ -*-===//
//
// Writes grants into the row slice/<back end>: for slices that never had a home
// and for those whose home has provably stopped. A running home hands over its
// slices itself.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/GrantRow.h"
#include "LibIdempotency/SliceMap.h"
#include "LibPlanner/ShardView.h"
#include "LibPlatform/Platform.h"

#include <functional>
#include <memory>

namespace figlift::planner {

/// Applies to \p Grants all moves that a planner may write, and returns them.
/// \p Grants is then the table to be written; the result is empty if no move is
/// due.
std::vector<idempotency::Move>
applyDueGrants(idempotency::GrantTable &Grants,
               const std::vector<ShardTarget> &Targets);

/// Must be used on the planner's thread only.
class SliceAssigner : public std::enable_shared_from_this<SliceAssigner> {
public:
  SliceAssigner(platform::Table &Store, Post Run, const ShardId &Shard,
                std::function<void(size_t Slices)> OnGranted);

  /// Reads the row and writes the due grants. Does nothing while an earlier run
  /// is in progress.
  void run(std::vector<ShardTarget> Targets);

private:
  void rowRead(const Result<platform::Row> &Row,
               const std::vector<ShardTarget> &Targets);

  platform::Table &m_Store;
  Post m_Run;
  const std::string m_Key;
  std::function<void(size_t)> m_OnGranted;
  bool m_RunInProgress = false;
};

} // namespace figlift::planner
