//===- SliceAssigner.cpp - Assigns homes to slices ------------------------===//
//
// The write is conditioned on the version of the row that was read. If two
// planners are active because one has lost its lease without noticing, they
// therefore cannot both grant a slice. It makes no difference which of them
// does, since both rely on the same proof that the former home has stopped.
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
figlift::planner::applyDueGrants(GrantTable &Grants,
                                 const std::vector<ShardTarget> &Targets) {
  std::vector<std::string> Serving;
  std::vector<std::string> Draining;
  std::set<std::string> Running;
  for (const ShardTarget &Target : Targets) {
    if (Target.Home != HomeState::Stopped)
      Running.insert(Target.Engine.Id);
    if (Target.Home == HomeState::Serving)
      Serving.push_back(Target.Engine.Id);
    if (Target.Home == HomeState::Draining)
      Draining.push_back(Target.Engine.Id);
  }
  std::set<std::string> StoppedSet;
  for (const idempotency::Grant &Grant : Grants)
    if (!Grant.Home.empty() && !Running.contains(Grant.Home))
      StoppedSet.insert(Grant.Home);
  std::vector<std::string> Stopped(StoppedSet.begin(), StoppedSet.end());

  std::vector<Move> Applied;
  for (const Move &Next : SliceMap::plan(Grants, Serving, Draining, Stopped)) {
    if (Next.Reason == MoveReason::Handover)
      continue;
    Grants[Next.Slice] = {Next.To, Next.Epoch};
    Applied.push_back(Next);
  }
  return Applied;
}

SliceAssigner::SliceAssigner(platform::Table &Store, Post Run,
                             const ShardId &Shard,
                             std::function<void(size_t)> OnGranted)
    : m_Store(Store), m_Run(std::move(Run)),
      m_Key(idempotency::grantRowKey(Shard.BackEnd)),
      m_OnGranted(std::move(OnGranted)) {}

void SliceAssigner::run(std::vector<ShardTarget> Targets) {
  if (m_RunInProgress)
    return;
  m_RunInProgress = true;
  m_Store.read(
      m_Key, [Weak = weak_from_this(), Run = m_Run,
              Targets = std::move(Targets)](const Result<platform::Row> &Row) {
        Run([Weak, Row, Targets] {
          if (auto Self = Weak.lock())
            Self->rowRead(Row, Targets);
        });
      });
}

void SliceAssigner::rowRead(const Result<platform::Row> &Row,
                            const std::vector<ShardTarget> &Targets) {
  m_RunInProgress = false;
  if (!Row)
    return;
  Result<GrantTable> Grants = idempotency::readGrantRow(Row.value().Value);
  if (!Grants)
    return;
  GrantTable Updated = Grants.value();
  size_t Count = applyDueGrants(Updated, Targets).size();
  if (Count == 0)
    return;
  m_RunInProgress = true;
  platform::Transaction Change;
  Change.Conditions = {{m_Key, Row.value().Version}};
  Change.Writes = {{m_Key, idempotency::writeGrantRow(Updated)}};
  m_Store.commit(Change, [Weak = weak_from_this(), Run = m_Run,
                          Count](const Result<std::monostate> &Outcome) {
    Run([Weak, Count, Written = Outcome.has_value()] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      // A lost response needs no handling: the next run reads the row again.
      Self->m_RunInProgress = false;
      if (Written)
        Self->m_OnGranted(Count);
    });
  });
}
