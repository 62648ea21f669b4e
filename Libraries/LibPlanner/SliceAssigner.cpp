//===- SliceAssigner.cpp - Homes for slices that have none ----------------===//
//
// The write is conditioned on the version of the row that was read. Two
// planners at once, one of which has lost its lease, therefore cannot both
// grant a slice; which of them does makes no difference, since both act on the
// same proof that the former home has stopped.
//
//===----------------------------------------------------------------------===//

#include "LibPlanner/SliceAssigner.h"

#include <set>

using namespace figlift;
using namespace figlift::planner;
using idempotency::GrantTable;
using idempotency::Move;
using idempotency::MoveReason;
using idempotency::SliceMap;

std::vector<Move>
figlift::planner::applyDueGrants(GrantTable &Now,
                                 const std::vector<ShardTarget> &Targets) {
  std::vector<std::string> Serving;
  std::vector<std::string> Leaving;
  std::set<std::string> Alive;
  for (const ShardTarget &Each : Targets) {
    if (Each.Home != HomeState::Gone)
      Alive.insert(Each.Engine.Id);
    if (Each.Home == HomeState::Serving)
      Serving.push_back(Each.Engine.Id);
    if (Each.Home == HomeState::Leaving)
      Leaving.push_back(Each.Engine.Id);
  }
  std::set<std::string> GoneSet;
  for (const idempotency::Grant &Line : Now)
    if (!Line.Home.empty() && !Alive.contains(Line.Home))
      GoneSet.insert(Line.Home);
  std::vector<std::string> Gone(GoneSet.begin(), GoneSet.end());

  std::vector<Move> Due;
  for (const Move &Each : SliceMap::plan(Now, Serving, Leaving, Gone)) {
    if (Each.Reason == MoveReason::Handover)
      continue;
    Now[Each.Slice] = {Each.To, Each.Epoch};
    Due.push_back(Each);
  }
  return Due;
}

SliceAssigner::SliceAssigner(platform::Table &Store, Post Run,
                             const ShardId &Shard,
                             std::function<void(size_t)> Granted)
    : m_Store(Store), m_Run(std::move(Run)),
      m_Key(idempotency::grantRowKey(Shard.BackEnd)),
      m_Granted(std::move(Granted)) {}

void SliceAssigner::run(std::vector<ShardTarget> Targets) {
  if (m_Busy)
    return;
  m_Busy = true;
  m_Store.read(
      m_Key, [Weak = weak_from_this(), Run = m_Run,
              Targets = std::move(Targets)](const Result<platform::Row> &Read) {
        Run([Weak, Read, Targets] {
          if (auto Self = Weak.lock())
            Self->rowRead(Read, Targets);
        });
      });
}

void SliceAssigner::rowRead(const Result<platform::Row> &Read,
                            const std::vector<ShardTarget> &Targets) {
  m_Busy = false;
  if (!Read)
    return;
  Result<GrantTable> Grants = idempotency::readGrantRow(Read.value().Value);
  if (!Grants)
    return;
  GrantTable Wanted = Grants.value();
  size_t Count = applyDueGrants(Wanted, Targets).size();
  if (Count == 0)
    return;
  m_Busy = true;
  platform::Transaction Change;
  Change.Conditions = {{m_Key, Read.value().Version}};
  Change.Writes = {{m_Key, idempotency::writeGrantRow(Wanted)}};
  m_Store.commit(Change, [Weak = weak_from_this(), Run = m_Run,
                          Count](const Result<std::monostate> &Done) {
    Run([Weak, Count, Written = Done.has_value()] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      // A lost answer needs no care: the next run reads the row again.
      Self->m_Busy = false;
      if (Written)
        Self->m_Granted(Count);
    });
  });
}
