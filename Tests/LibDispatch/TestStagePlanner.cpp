//===- TestStagePlanner.cpp - Splits engines between the stages -----------===//
//
// The split for a demand, incomplete lists, and unanswered orders.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StagePlanner.h"

#include <algorithm>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(StagePlanner) {
  StagePlanner Planner{true};
  double Uncertainty = 1;
  LoadTracker Loads;
  std::deque<Target> Targets;
  std::vector<const Target *> Engines;
  BootTime Now{std::chrono::seconds(100)};

  void setup() override {
    for (int At = 0; At < 8; ++At)
      add(At < 2 ? Stage::Prefill : Stage::Decode);
    plan({0, 0});
    Now += milliseconds(2000);
  }
  void add(Stage EngineStage) {
    Target Entry;
    Entry.Id = "e" + std::to_string(Targets.size());
    Entry.EngineStage = EngineStage;
    Targets.push_back(Entry);
    Engines.push_back(&Targets.back());
  }
  std::optional<StageChange> plan(EngineDemand Demand) {
    return Planner.plan(Engines, Demand, Uncertainty, Loads, Now);
  }
};

// Equal demand for prefill and decode, with two prefill engines of eight.
TEST(StagePlanner, MovesOneEngineToTheBusierStage) {
  const auto Change = plan({3, 3});
  CHECK(Change.has_value());
  CHECK(Change->DesiredStage == Stage::Prefill);
}

// Failure: an engine that has asked for a pause has no work, and so is chosen
// for an order that must not be sent to it.
TEST(StagePlanner, ChangesNoEngineThatMustNotBeSentAnOrder) {
  std::vector<std::string> Unreachable;
  for (int Count = 0; Count < 6; ++Count) {
    const auto Change =
        Planner.plan(Engines, {3, 3}, Uncertainty, Loads, Now, Unreachable);
    CHECK(Change.has_value());
    CHECK(std::find(Unreachable.begin(), Unreachable.end(), Change->TargetId) ==
          Unreachable.end());
    Unreachable.push_back(Change->TargetId);
  }
  CHECK(!Planner.plan(Engines, {3, 3}, Uncertainty, Loads, Now, Unreachable));
}

TEST(StagePlanner, KeepsAGoodSplit) { CHECK(!plan({1.5, 4.5})); }

// Under low load a stage change costs more than it gains: as much as several
// requests.
TEST(StagePlanner, KeepsTheSplitUnderLowLoad) { CHECK(!plan({0.2, 0.02})); }

// Low load with another mix follows a first change. While the engines have
// spare capacity, another change gains nothing, and undoing it in the next
// burst makes an engine unavailable for seconds.
TEST(StagePlanner, DoesNotChangeBackUnderLowLoad) {
  const auto Change = plan({1.5, 1.5});
  Planner.recordOrder(*Change, Now);
  Planner.clearOrder(Change->TargetId);
  CHECK(!plan({0.4, 2.5}));
  CHECK(plan({4, 0.5}).has_value());
}

// The mix varies by a tenth. A change makes an engine unavailable for seconds.
TEST(StagePlanner, IgnoresSmallGains) { CHECK(!plan({1.6, 4.2})); }

// After a start, engines register one after the other, prefill engines first. A
// split planned from an incomplete list changes engines back and forth.
TEST(StagePlanner, WaitsForAStableListOfEngines) {
  add(Stage::Decode);
  CHECK(!plan({3, 3}));
  Now += milliseconds(1600);
  CHECK(plan({3, 3}).has_value());
}

// The demand exceeds the capacity. A second engine must not change while the
// first one is unavailable.
TEST(StagePlanner, ChangesOneEngineAtATimeUnderLoad) {
  Planner.recordOrder(*plan({3, 3}), Now);
  CHECK(!plan({3, 3}));
}

TEST(StagePlanner, ChangesSeveralEnginesWithSpareCapacity) {
  const auto First = plan({1.7, 1.1});
  Planner.recordOrder(*First, Now);
  const auto Second = plan({1.7, 1.1});
  CHECK(Second.has_value());
  CHECK(Second->TargetId != First->TargetId);
}

// An unanswered order may take effect up to twelve seconds later. If the
// planner drops it earlier, a second engine changes as well.
TEST(StagePlanner, KeepsAnUnansweredOrderPending) {
  const auto Change = plan({3, 3});
  Planner.recordOrder(*Change, Now);
  Now += milliseconds(12000);
  CHECK(!plan({3, 3}));
  Now += milliseconds(1000);
  CHECK(plan({3, 3}).has_value());
}

TEST(StagePlanner, ContinuesWhenTheListShowsTheNewStage) {
  const auto Change = plan({3, 3});
  Planner.recordOrder(*Change, Now);
  for (Target &Entry : Targets)
    if (Entry.Id == Change->TargetId)
      Entry.EngineStage = Stage::Prefill;
  CHECK(plan({3, 3}).has_value());
}

TEST(StagePlanner, PausesAfterARefusal) {
  const auto Change = plan({3, 3});
  Planner.recordOrder(*Change, Now);
  Planner.recordFailure(Change->TargetId, Now);
  CHECK(!plan({3, 3}));
  Now += milliseconds(4100);
  CHECK(plan({3, 3}).has_value());
}

TEST(StagePlanner, KeepsAMinimumOfDecodeEngines) {
  for (Target &Entry : Targets)
    Entry.EngineStage = Stage::Prefill;
  Targets[0].EngineStage = Targets[1].EngineStage = Stage::Decode;
  CHECK(!plan({10, 0.1}));
}

// A gateway changes an engine, then the lease moves to another gateway. If that
// one treats its first order as the first change of the fleet, it changes the
// split at low load, right before the next burst. This costs 0.05 of the value
// on a day with two bursts.
TEST(StagePlanner, DetectsChangesOrderedByAnotherGateway) {
  Targets[5].EngineStage = Stage::Prefill;
  CHECK(!plan({0.4, 2.5}));
}

// At the start of a load, a burst of prompts arrives while answers that last
// for seconds have only begun. If the demand of the first second counts as
// lasting, three engines move away from decode in the second second and are
// missing there from the eighth second on.
TEST(StagePlanner, MovesFewerEnginesWhileDemandIsUncertain) {
  Uncertainty = 2;
  CHECK(!plan({2.6, 3}));
  CHECK(plan({5, 1}).has_value());
  Uncertainty = 1;
  CHECK(plan({2.6, 3}).has_value());
}

// After a restart of all gateways the split has already been planned. If it
// counts as the initial split, an engine changes its stage at low load, and
// back in the next burst.
TEST(StagePlanner, KeepsTheSplitAfterAGatewayRestart) {
  StagePlanner Restarted(false);
  Restarted.plan(Engines, {0, 0}, 1, Loads, Now);
  Now += milliseconds(2000);
  CHECK(plan({0.7, 0.3}).has_value());
  CHECK(!Restarted.plan(Engines, {0.7, 0.3}, 1, Loads, Now));
}
