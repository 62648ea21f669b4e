//===- PlannerService.cpp - Planners of an entry --------------------------===//
//
// Candidates are chosen from the platform's list, which lags: temporarily, more
// or fewer than CandidatesPerShard entries may be candidates. This affects only
// the number of reads; the lease alone decides which planner has authority.
//
//===----------------------------------------------------------------------===//

#include "LibPlanner/PlannerService.h"

#include <algorithm>
#include <xxhash.h>

using namespace figlift::planner;

bool figlift::planner::isCandidate(const ShardId &Shard,
                                   const std::string &EntryId,
                                   const std::vector<std::string> &Entries) {
  auto WeightOf = [&](const std::string &Entry) {
    std::string Text = Shard.toString() + "\n" + Entry;
    return XXH64(Text.data(), Text.size(), 0);
  };
  const uint64_t EntryWeight = WeightOf(EntryId);
  auto Heavier = std::ranges::count_if(Entries, [&](const std::string &Entry) {
    return Entry != EntryId && WeightOf(Entry) > EntryWeight;
  });
  return static_cast<size_t>(Heavier) < CandidatesPerShard;
}

PlannerService::PlannerService(std::string EntryId,
                               ShardPlannerDependencies Dependencies)
    : m_EntryId(std::move(EntryId)), m_Dependencies(std::move(Dependencies)) {}

void PlannerService::tick() {
  if (!m_Stopping)
    updateShards();
  for (auto &[Id, Planner] : m_Planners)
    Planner->tick();
  for (auto &Planner : m_StoppingPlanners)
    Planner->tick();
  std::erase_if(m_StoppingPlanners,
                [](const auto &Planner) { return Planner->stopped(); });
}

void PlannerService::updateShards() {
  std::vector<std::string> Entries = m_Dependencies.View.entries();
  std::vector<ShardId> Assigned = m_Dependencies.View.shards();
  std::erase_if(Assigned, [&](const ShardId &Shard) {
    return !isCandidate(Shard, m_EntryId, Entries);
  });
  for (const ShardId &Shard : Assigned)
    if (!m_Planners.contains(Shard))
      m_Planners[Shard] = ShardPlanner::create(Shard, m_Dependencies);
  std::erase_if(m_Planners, [&](auto &Item) {
    if (std::ranges::find(Assigned, Item.first) != Assigned.end())
      return false;
    Item.second->stop();
    m_StoppingPlanners.push_back(Item.second);
    return true;
  });
}

void PlannerService::stop() {
  m_Stopping = true;
  for (auto &[Id, Planner] : m_Planners) {
    Planner->stop();
    m_StoppingPlanners.push_back(Planner);
  }
  m_Planners.clear();
  std::erase_if(m_StoppingPlanners,
                [](const auto &Planner) { return Planner->stopped(); });
}

bool PlannerService::stopped() const {
  return m_Stopping && m_StoppingPlanners.empty();
}

std::vector<ShardId> PlannerService::heldShards() const {
  std::vector<ShardId> Held;
  for (const auto &[Id, Planner] : m_Planners)
    if (Planner->holdsLease())
      Held.push_back(Id);
  return Held;
}
