//===- TestRoles.cpp - Role changes under a changing mix --------*- C++ -*-===//
//
// Compares the planner with its baselines, and checks the limits that apply to
// every policy.
//
//===----------------------------------------------------------------------===//

#include "PlanFixture.h"
#include "PlanSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::plan;
using namespace figlift::plan::test;

namespace {

PlanSimulationResult runSimulation(PlanPolicy Policy, milliseconds HalfPeriod,
                                   double Load, double ChangeCost = 1,
                                   record::RoleSplit Roles = {}) {
  PlanSimulationSettings Settings;
  Settings.Offered = swing(8, Load, 0.1, 0.9, HalfPeriod);
  Settings.Spec.Weights.RoleChangeCost = ChangeCost;
  Settings.Spec.Roles = Roles;
  return PlanSimulation(std::move(Policy), Settings).run();
}

FigliftPlan withoutPersistence() {
  FigliftPlan Plan;
  Plan.LearnsPersistence = false;
  return Plan;
}

} // namespace

TEST_GROUP(RoleChanges){};

TEST(RoleChanges, FollowsLongPhasesBetterThanStaticRoles) {
  const auto Static =
      runSimulation(StaticPlan{}, seconds(150), 1.2, 1, {4, 4, 0});
  const auto Figlift = runSimulation(FigliftPlan{}, seconds(150), 1.2);
  LONGS_EQUAL(0, Static.Changes);
  CHECK(Static.Answered < 0.95);
  CHECK(Figlift.Answered > 0.99);
}

// Guards against role changes back and forth, each of which takes an engine out
// of service for seconds: the mix changes every 20 s, and a planner that treats
// each mix as permanent, or uses a threshold without hysteresis, follows each
// change when half of the phase is over.
TEST(RoleChanges, ShortPhasesCauseFewChanges) {
  const auto Figlift = runSimulation(FigliftPlan{}, seconds(20), 1.2);
  const auto Threshold = runSimulation(ThresholdPlan{}, seconds(20), 1.2);
  const auto WithoutPersistence =
      runSimulation(withoutPersistence(), seconds(20), 1.2);
  CHECK(Figlift.Changes * 3 < Threshold.Changes);
  CHECK(Figlift.Changes * 3 < WithoutPersistence.Changes);
  CHECK(Figlift.Answered >= Threshold.Answered);
  CHECK(Figlift.Answered >= WithoutPersistence.Answered);
}

TEST(RoleChanges, NoChangeWithoutGain) {
  CHECK(runSimulation(ThresholdPlan{}, seconds(60), 0.8).Changes > 0);
  LONGS_EQUAL(0, runSimulation(FigliftPlan{}, seconds(60), 0.8).Changes);
}

TEST(RoleChanges, CostOfAChangeReducesChanges) {
  const auto Cheap = runSimulation(FigliftPlan{}, seconds(60), 1.2, 1);
  const auto Expensive = runSimulation(FigliftPlan{}, seconds(60), 1.2, 100);
  CHECK(Expensive.Changes < Cheap.Changes);
  LONGS_EQUAL(0, runSimulation(FigliftPlan{}, seconds(60), 1.2, 1e9).Changes);
}

TEST_GROUP(RoleLimits) {
  PlanFixture Shard;
  /// Demand for which every policy needs more prefill engines.
  void offerPrefillOnly() { Shard.View.Offered = {200000, 10}; }
  static std::vector<PlanPolicy> dynamicPolicies() {
    return {ThresholdPlan{}, FigliftPlan{}};
  }
};

// Guards against short requests that find no decode engine: during a burst of
// long prompts, a planner without a minimum changes every engine to prefill.
TEST(RoleLimits, KeepsLastEngineForAKindOfWork) {
  offerPrefillOnly();
  Shard.add("p", Role::Prefill);
  Shard.add("d1", Role::Decode);
  Shard.add("d2", Role::Decode);
  for (const PlanPolicy &TestedPolicy : dynamicPolicies()) {
    Planner PlannerUnderTest({TestedPolicy, {}, {}});
    PlanFixture ShardCopy = Shard;
    unsigned Changes = 0;
    for (int I = 0; I < 30; ++I)
      for (const TargetOrder &Order : ShardCopy.tick(PlannerUnderTest)) {
        ++Changes;
        ShardCopy.carryOut(PlannerUnderTest, Order);
        CHECK(
            std::ranges::any_of(ShardCopy.View.Targets, [](const auto &State) {
              return State.CurrentRole != Role::Prefill;
            }));
      }
    LONGS_EQUAL(1, Changes);
  }
}

TEST(RoleLimits, MeetsMinimumsDuringAChange) {
  offerPrefillOnly();
  Shard.View.Spec.Roles.Decode = 2;
  Shard.add("p", Role::Prefill);
  Shard.add("d1", Role::Decode);
  Shard.add("d2", Role::Decode);
  for (const PlanPolicy &TestedPolicy : dynamicPolicies()) {
    Planner PlannerUnderTest({TestedPolicy, {}, {}});
    LONGS_EQUAL(0, Shard.tick(PlannerUnderTest).size());
  }
}

TEST(RoleLimits, LimitsConcurrentChangesAcrossTakeovers) {
  offerPrefillOnly();
  Shard.add("p", Role::Prefill);
  for (int I = 0; I < 6; ++I)
    Shard.add("d" + std::to_string(I), Role::Decode);
  for (const unsigned Bound : {1u, 2u}) {
    Shard.View.Spec.Weights.MaximumConcurrentChanges = Bound;
    Planner First;
    const auto Orders = Shard.tick(First);
    LONGS_EQUAL(Bound, Orders.size());
    LONGS_EQUAL(0, Shard.tick(First).size());
    // The lease moves: the successor learns of the orders only from reports.
    PlanFixture ShardCopy = Shard;
    for (const TargetOrder &Order : Orders)
      ShardCopy.target(Order.Target).OrderInProgress = true;
    Planner Second;
    LONGS_EQUAL(0, ShardCopy.tick(Second).size());
  }
}

// Guards against losing the last decode engine: one of the two decode engines
// changes its role and the other one fails during the change, so the plan must
// be updated while the change is in progress.
TEST(RoleLimits, RepairsLossOfAnEngineDuringAChange) {
  offerPrefillOnly();
  Shard.add("p1", Role::Prefill);
  Shard.add("p2", Role::Prefill);
  Shard.add("d1", Role::Decode);
  Shard.add("d2", Role::Decode);
  Planner PlannerUnderTest;
  const auto Orders = Shard.tick(PlannerUnderTest);
  LONGS_EQUAL(1, Orders.size());
  const std::string OtherTarget = Orders.front().Target == "d1" ? "d2" : "d1";
  Shard.target(OtherTarget).Live = false;
  LONGS_EQUAL(0, Shard.tick(PlannerUnderTest).size());
  Shard.carryOut(PlannerUnderTest, Orders.front());
  // No engine is left for decode: a prefill engine must change, although there
  // are too few prefill engines.
  const auto RepairOrders = Shard.tick(PlannerUnderTest);
  LONGS_EQUAL(1, RepairOrders.size());
  CHECK(std::get<SetRole>(RepairOrders.front().RequestedChange).NewRole !=
        Role::Prefill);
}

// Guards against a planner that is blocked permanently: an engine fails during
// its change, so no end is reported, and its change must not count towards the
// limit on concurrent changes any longer.
TEST(RoleLimits, LostEngineDoesNotCountAsChanging) {
  offerPrefillOnly();
  Shard.add("p", Role::Prefill);
  for (int I = 0; I < 4; ++I)
    Shard.add("d" + std::to_string(I), Role::Decode);
  Planner PlannerUnderTest;
  const auto Orders = Shard.tick(PlannerUnderTest);
  LONGS_EQUAL(1, Orders.size());
  Shard.target(Orders.front().Target).Live = false;
  const auto Next = Shard.tick(PlannerUnderTest);
  LONGS_EQUAL(1, Next.size());
  CHECK(Next.front().Target != Orders.front().Target);
}

TEST(RoleLimits, OutdatedReportsAreIgnored) {
  offerPrefillOnly();
  Shard.add("p", Role::Prefill);
  Shard.add("d1", Role::Decode);
  Shard.add("d2", Role::Decode);
  Planner PlannerUnderTest;
  Shard.Now += seconds(30);
  LONGS_EQUAL(0, PlannerUnderTest.step(Tick{Shard.View}, Shard.Now).size());
  // Only p and d1 have recent reports, so d1 may be the last decode engine.
  Shard.target("p").ReportedAt = Shard.Now;
  Shard.target("d1").ReportedAt = Shard.Now;
  LONGS_EQUAL(0, PlannerUnderTest.step(Tick{Shard.View}, Shard.Now).size());
}

// Guards against ordering the same change twice: an order ends, and the next
// plan is made before the next report of the engine, so the last report still
// shows the old role.
TEST(RoleLimits, ReportFromBeforeTheOrderEndedIsIgnored) {
  offerPrefillOnly();
  Shard.add("p", Role::Prefill);
  Shard.add("d1", Role::Decode);
  Shard.add("d2", Role::Decode);
  Planner PlannerUnderTest;
  const auto Orders = Shard.tick(PlannerUnderTest);
  LONGS_EQUAL(1, Orders.size());
  Shard.Now += seconds(1);
  PlannerUnderTest.step(
      OrderEnded{Orders.front().Target, ResultCode::Success, {}}, Shard.Now);
  LONGS_EQUAL(
      0,
      PlannerUnderTest.step(Tick{Shard.View}, Shard.Now + seconds(1)).size());
}
