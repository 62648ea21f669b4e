//===- PlannerService.cpp - The planner inside an entry -------------------===//
//
// Candidates are chosen from the platform's list, which lags: for a while more
// or fewer entries than CandidatesPerShard may stand. That costs reads, never
// authority, which is the lease's matter.
//
//===----------------------------------------------------------------------===//

#include "LibPlanner/PlannerService.h"

#include <algorithm>
#include <xxhash.h>

using namespace figlift::planner;

bool figlift::planner::isCandidate(const ShardId &Shard,
                                   const std::string &Self,
                                   const std::vector<std::string> &Entries) {
  auto WeightOf = [&](const std::string &Entry) {
    std::string Text = Shard.toString() + "\n" + Entry;
    return XXH64(Text.data(), Text.size(), 0);
  };
  const uint64_t Own = WeightOf(Self);
  auto Better = std::ranges::count_if(Entries, [&](const std::string &Entry) {
    return Entry != Self && WeightOf(Entry) > Own;
  });
  return static_cast<size_t>(Better) < CandidatesPerShard;
}

PlannerService::PlannerService(std::string Self, ShardParts Parts)
    : m_Self(std::move(Self)), m_Parts(std::move(Parts)) {}

void PlannerService::tick() {
  if (!m_Stopping)
    chooseShards();
  for (auto &[Id, Each] : m_Shards)
    Each->tick();
  for (auto &Each : m_Leaving)
    Each->tick();
  std::erase_if(m_Leaving, [](const auto &Each) { return Each->stopped(); });
}

void PlannerService::chooseShards() {
  std::vector<std::string> Entries = m_Parts.View.entries();
  std::vector<ShardId> Wanted = m_Parts.View.shards();
  std::erase_if(Wanted, [&](const ShardId &Shard) {
    return !isCandidate(Shard, m_Self, Entries);
  });
  for (const ShardId &Each : Wanted)
    if (!m_Shards.contains(Each))
      m_Shards[Each] = ShardPlanner::create(Each, m_Parts);
  std::erase_if(m_Shards, [&](auto &Each) {
    if (std::ranges::find(Wanted, Each.first) != Wanted.end())
      return false;
    Each.second->stop();
    m_Leaving.push_back(Each.second);
    return true;
  });
}

void PlannerService::stop() {
  m_Stopping = true;
  for (auto &[Id, Each] : m_Shards) {
    Each->stop();
    m_Leaving.push_back(Each);
  }
  m_Shards.clear();
  std::erase_if(m_Leaving, [](const auto &Each) { return Each->stopped(); });
}

bool PlannerService::ended() const { return m_Stopping && m_Leaving.empty(); }

std::vector<ShardId> PlannerService::held() const {
  std::vector<ShardId> Held;
  for (const auto &[Id, Each] : m_Shards)
    if (Each->holds())
      Held.push_back(Id);
  return Held;
}
