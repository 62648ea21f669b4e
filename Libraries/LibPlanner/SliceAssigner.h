//===- SliceAssigner.h - Homes for slices that have none --------*- C++ -*-===//
//
// Writes grants into the row slice/<back end>: for slices that never had a
// home, and for those whose home has provably stopped. Slices of a living home
// are handed over by that home itself.
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

/// Grants that a planner may write, on top of \p Now; empty when none are due.
/// Pure; \p Now is left as it should be written.
std::vector<idempotency::Move>
applyDueGrants(idempotency::GrantTable &Now,
               const std::vector<ShardTarget> &Targets);

/// Lives on the planner's thread.
class SliceAssigner : public std::enable_shared_from_this<SliceAssigner> {
public:
  SliceAssigner(platform::Table &Store, Post Run, const ShardId &Shard,
                std::function<void(size_t Slices)> Granted);

  /// Reads the row and writes what is due; one run at a time.
  void run(std::vector<ShardTarget> Targets);

private:
  void rowRead(const Result<platform::Row> &Read,
               const std::vector<ShardTarget> &Targets);

  platform::Table &m_Store;
  Post m_Run;
  const std::string m_Key;
  std::function<void(size_t)> m_Granted;
  bool m_Busy = false;
};

} // namespace figlift::planner
