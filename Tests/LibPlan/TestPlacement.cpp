//===- TestPlacement.cpp - Model placement and rollout ----------*- C++ -*-===//
//
// The order of loads and unloads, rate limiting, and rollback.
//
//===----------------------------------------------------------------------===//

#include "PlanFixture.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::plan;
using namespace figlift::plan::test;

TEST_GROUP(Placement) {
  const ModelVersion OldVersion{"desk", "1", ""};
  const ModelVersion NewVersion{"desk", "2", ""};
  PlanFixture Shard;
  Planner PlannerUnderTest;

  void addEnginesWithOldVersion(int Count = 3) {
    Shard.View.Spec.Models = {{"desk", "2", {}}};
    for (int I = 0; I < Count; ++I)
      Shard.add("vm-" + std::to_string(I), Role::Mixed, {OldVersion});
  }

  unsigned countServing(const ModelVersion &Model) {
    return std::ranges::count_if(Shard.View.Targets, [&](const auto &State) {
      return std::ranges::find(State.Models, Model) != State.Models.end();
    });
  }

  /// Returns the nextOrder order that is issued within a minute.
  std::optional<TargetOrder> nextOrder() {
    for (int I = 0; I < 60; ++I)
      if (const auto Orders = Shard.tick(PlannerUnderTest); !Orders.empty())
        return Orders.front();
    return std::nullopt;
  }
};

// Guards against an outage of the whole back end during a rollout: without
// coordination, all engines unload the old version and load the new one at the
// same time.
TEST(Placement, RollsOutEngineByEngineAndLoadsBeforeUnloading) {
  addEnginesWithOldVersion();
  std::vector<TargetOrder> Orders;
  while (const auto Order = nextOrder()) {
    Orders.push_back(*Order);
    // No other order is issued while one is in progress.
    LONGS_EQUAL(0, Shard.tick(PlannerUnderTest).size());
    Shard.carryOut(PlannerUnderTest, *Order);
    CHECK(std::ranges::all_of(Shard.View.Targets, [](const auto &State) {
      return !State.Models.empty();
    }));
  }
  LONGS_EQUAL(6, Orders.size());
  for (size_t I = 0; I < Orders.size(); I += 2) {
    CHECK(Orders[I].RequestedChange == Change(LoadModel{NewVersion}));
    CHECK(Orders[I + 1].RequestedChange == Change(UnloadModel{OldVersion}));
    CHECK(Orders[I].Target == Orders[I + 1].Target);
  }
  LONGS_EQUAL(3, countServing(NewVersion));
  LONGS_EQUAL(0, countServing(OldVersion));
}

TEST(Placement, UnloadWaitsUntilNewVersionIsReportedReady) {
  addEnginesWithOldVersion();
  const auto Load = nextOrder();
  CHECK(Load.has_value());
  // The order succeeded, but the engine does not report the version.
  Shard.Now += seconds(3);
  PlannerUnderTest.step(OrderEnded{Load->Target, ResultCode::Success, {}},
                        Shard.Now);
  for (int I = 0; I < 10; ++I)
    for (const TargetOrder &Order : Shard.tick(PlannerUnderTest)) {
      CHECK(!std::holds_alternative<UnloadModel>(Order.RequestedChange));
      Shard.fail(PlannerUnderTest, Order, ResultCode::PeerUnreachable);
    }
}

// Guards against a broken version that is rolled out to the whole fleet, or
// left on a part of it: it loads on the first engine and fails on the nextOrder
// ones.
TEST(Placement, FailingVersionIsRolledBackEverywhere) {
  addEnginesWithOldVersion();
  for (int I = 0; I < 2; ++I)
    Shard.carryOut(PlannerUnderTest, *nextOrder());
  LONGS_EQUAL(1, countServing(NewVersion));
  LONGS_EQUAL(2, countServing(OldVersion));
  for (int I = 0; I < 2; ++I) {
    const auto Order = nextOrder();
    CHECK(Order->RequestedChange == Change(LoadModel{NewVersion}));
    Shard.fail(PlannerUnderTest, *Order, ResultCode::OrderRejectedByTarget);
  }
  CHECK(PlannerUnderTest.placement().isRolledBack(NewVersion));
  while (const auto Order = nextOrder())
    Shard.carryOut(PlannerUnderTest, *Order);
  LONGS_EQUAL(3, countServing(OldVersion));
  LONGS_EQUAL(0, countServing(NewVersion));
  // A newer version is a new rollout.
  Shard.View.Spec.Models = {{"desk", "3", {}}};
  CHECK(nextOrder()->RequestedChange == Change(LoadModel{{"desk", "3", ""}}));
}

// Guards against trying a broken version on two engines: the first load fails,
// and the load of the engines has changed before the retry, so the engine must
// not be chosen by load alone.
TEST(Placement, FailedLoadIsRetriedOnTheSameEngine) {
  addEnginesWithOldVersion();
  const auto First = nextOrder();
  Shard.fail(PlannerUnderTest, *First, ResultCode::OrderRejectedByTarget);
  for (TargetState &State : Shard.View.Targets)
    State.Load.RunningSequences = State.Id == First->Target ? 5 : 0;
  STRCMP_EQUAL(First->Target.c_str(), nextOrder()->Target.c_str());
}

// Guards against rolling back a good version, which would not be loaded again
// until the record changes: agents are killed during the rollout, and restarted
// agents refuse orders until they are ready. Only failures of the engine count
// against the version.
TEST(Placement, RefusalsOfAgentsDoNotCauseARollback) {
  addEnginesWithOldVersion();
  for (const ResultCode Code :
       {ResultCode::NotReady, ResultCode::StoreOutcomeUnknown,
        ResultCode::OrderConflict, ResultCode::StaleEpoch}) {
    const auto Order = nextOrder();
    CHECK(Order.has_value() &&
          Order->RequestedChange == Change(LoadModel{NewVersion}));
    Shard.fail(PlannerUnderTest, *Order, Code);
  }
  CHECK(!PlannerUnderTest.placement().isRolledBack(NewVersion));
}

TEST(Placement, NewVersionIsLoadedOnASingleEngineFirst) {
  addEnginesWithOldVersion(6);
  Shard.View.Spec.Weights.MaximumConcurrentChanges = 3;
  const auto First = Shard.tick(PlannerUnderTest);
  LONGS_EQUAL(1, First.size());
  Shard.carryOut(PlannerUnderTest, First.front());
  size_t Largest = 0;
  for (int I = 0; I < 10; ++I)
    Largest = std::max(Largest, (Shard.tick(PlannerUnderTest),
                                 PlannerUnderTest.orders().size()));
  LONGS_EQUAL(3, Largest);
}

TEST(Placement, LoadsAreRateLimited) {
  addEnginesWithOldVersion(6);
  Shard.View.Spec.Weights.MaximumConcurrentChanges = 6;
  Shard.carryOut(PlannerUnderTest, *nextOrder());
  Shard.carryOut(PlannerUnderTest, *nextOrder());
  BootTime Last;
  for (int I = 0; I < 3; ++I) {
    const auto Order = nextOrder();
    CHECK(std::holds_alternative<LoadModel>(Order->RequestedChange));
    CHECK(Shard.Now - Last >= seconds(2));
    Last = Shard.Now;
  }
  // A denied permit does not count against the version, and delays loads.
  const std::string Target =
      Shard.tick(PlannerUnderTest, seconds(2)).front().Target;
  const BootTime Refused = Shard.Now;
  for (int I = 0; I < 3; ++I)
    PlannerUnderTest.step(
        OrderEnded{Target, ResultCode::StoreUnavailable, seconds(20)}, Refused);
  CHECK(!PlannerUnderTest.placement().isRolledBack(NewVersion));
  while (Shard.Now - Refused < seconds(19))
    LONGS_EQUAL(0, Shard.tick(PlannerUnderTest).size());
}

TEST(Placement, ModelsAreLoadedWhenNoEngineServes) {
  Shard.View.Spec.Models = {{"desk", "2", {"norte"}}};
  Shard.add("vm-0", Role::Mixed);
  const ModelVersion Adapter{"desk", "2", "norte"};
  const auto BaseOrder = nextOrder();
  CHECK(BaseOrder->RequestedChange == Change(LoadModel{NewVersion}));
  Shard.carryOut(PlannerUnderTest, *BaseOrder);
  // A single engine cannot be spared for another change.
  CHECK(!nextOrder().has_value());
  Shard.add("vm-1", Role::Mixed, {NewVersion});
  const auto AdapterOrder = nextOrder();
  CHECK(AdapterOrder->RequestedChange == Change(LoadModel{Adapter}));
}

TEST(Placement, ModelVersionsRoundTripThroughText) {
  for (const char *Text : {"desk@2", "desk@2+norte"})
    STRCMP_EQUAL(Text, ModelVersion::parse(Text).toString().c_str());
}
