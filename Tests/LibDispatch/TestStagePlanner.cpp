//===- TestStagePlanner.cpp - Splits engines between the stages -----------===//
//
// The split for a demand, incomplete lists, and unanswered orders.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StagePlanner.h"

#include <algorithm>
#include <deque>
#include <map>

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

// Engines whose speeds differ. Intervals of 30 and 66 ms: speeds of 2 and 0.91.
TEST_GROUP(StageExchange) {
  StagePlanner Planner{true};
  LoadTracker Loads;
  std::deque<Target> Targets;
  std::vector<const Target *> Engines;
  EngineSpeeds Speeds;
  EngineDemand Demand{0.1, 0.1};
  std::vector<std::string> Unreachable;
  BootTime Now{std::chrono::seconds(100)};

  void setup() override {
    Speeds.ShouldExchange = true;
    Speeds.MaximumInterval = Milliseconds(60);
  }
  void add(Stage EngineStage, double Interval, size_t Count = 1) {
    for (size_t Added = 0; Added < Count; ++Added) {
      Target Entry;
      Entry.Id = "e" + std::to_string(Targets.size());
      Entry.EngineStage = EngineStage;
      Targets.push_back(Entry);
      Engines.push_back(&Targets.back());
      Loads.targetAdded(Entry, 1000000);
      Speeds.Intervals[Entry.Id] = Milliseconds(Interval);
    }
  }
  /// Two fast prefill engines, two slow ones, and eight slow decode engines.
  void addUsualEngines() {
    add(Stage::Prefill, 30, 2);
    add(Stage::Prefill, 66, 2);
    add(Stage::Decode, 66, 8);
    listIsStable();
  }
  void listIsStable() {
    plan();
    Now += milliseconds(2000);
  }
  std::optional<StageChange> plan() {
    return Planner.plan(Engines, Demand, 1, Loads, Now, Unreachable, Speeds);
  }
  Target &target(const std::string &Id) {
    return *std::find_if(Targets.begin(), Targets.end(),
                         [&](const Target &Entry) { return Entry.Id == Id; });
  }
  double capacity(Stage Of) {
    double Sum = 0;
    for (const Target &Entry : Targets)
      if (Entry.EngineStage == Of && !Planner.isUnavailable(Entry.Id, Now))
        Sum += Speeds.speed(Entry.Id);
    return Sum;
  }
  size_t count(Stage Of) {
    return static_cast<size_t>(
        std::count_if(Targets.begin(), Targets.end(), [&](const Target &Entry) {
          return Entry.EngineStage == Of &&
                 !Planner.isUnavailable(Entry.Id, Now);
        }));
  }
  /// Carries out what is planned, each change after 4 s, and returns the number
  /// of changes. \p Check runs after each step.
  template <typename F> unsigned carryOut(F Check) {
    std::map<std::string, std::pair<Stage, BootTime>> Running;
    unsigned Changes = 0;
    for (int Step = 0; Step < 200; ++Step) {
      Now += milliseconds(500);
      for (auto At = Running.begin(); At != Running.end();)
        if (Now >= At->second.second) {
          target(At->first).EngineStage = At->second.first;
          At = Running.erase(At);
        } else {
          ++At;
        }
      if (const auto Change = plan()) {
        ++Changes;
        Planner.recordOrder(*Change, Now);
        Running[Change->TargetId] = {Change->DesiredStage,
                                     Now + milliseconds(4000)};
      }
      Check();
    }
    return Changes;
  }
};

// Failure: prompts wait because prefill lost its fast engines before others
// took their place.
TEST(StageExchange, KeepsThePrefillCapacity) {
  addUsualEngines();
  const double Before = capacity(Stage::Prefill);
  const unsigned Changes = carryOut([&] {
    CHECK(capacity(Stage::Prefill) >= 0.85 * Before);
    CHECK(count(Stage::Decode) >= 2);
  });
  CHECK(target("e0").EngineStage == Stage::Decode);
  CHECK(target("e1").EngineStage == Stage::Decode);
  CHECK(capacity(Stage::Prefill) >= Before);
  // Two fast engines leave prefill, five slow ones replace them.
  LONGS_EQUAL(7, Changes);
}

// Failure: the order goes to an engine with many streams, which ends them
// before it changes, while others are idle.
TEST(StageExchange, ChangesTheDecodeEngineWithTheLeastWorkFirst) {
  addUsualEngines();
  for (int At = 4; At < 12; ++At)
    if (At != 9)
      Loads.recordSent(
          "e" + std::to_string(At),
          {Milliseconds(500), Milliseconds(500), Milliseconds(500), Now});
  const auto Change = plan();
  CHECK(Change.has_value());
  CHECK(Change->DesiredStage == Stage::Prefill);
  STRCMP_EQUAL("e9", Change->TargetId.c_str());
}

// Failure: equal engines are exchanged, which gains nothing.
TEST(StageExchange, DoesNothingForEqualEngines) {
  add(Stage::Prefill, 66, 4);
  add(Stage::Decode, 66, 8);
  listIsStable();
  CHECK(!plan());
}

// Failure: an engine is sent a second order while the first one runs, or at
// once after it refused one.
TEST(StageExchange, SendsNoSecondOrderToAnEngine) {
  addUsualEngines();
  std::vector<std::string> Ordered;
  while (const auto Change = plan()) {
    CHECK(std::find(Ordered.begin(), Ordered.end(), Change->TargetId) ==
          Ordered.end());
    Ordered.push_back(Change->TargetId);
    Planner.recordOrder(*Change, Now);
    Planner.recordFailure(Change->TargetId, Now);
    CHECK(Ordered.size() < 20);
  }
  CHECK(!Ordered.empty());
}

TEST(StageExchange, SendsNoOrderToUnreachableEngines) {
  addUsualEngines();
  for (const Target &Entry : Targets)
    Unreachable.push_back(Entry.Id);
  CHECK(!plan());
}

// Failure: a small service is left without an engine of one stage.
TEST(StageExchange, KeepsEnginesInBothStagesOfSmallServices) {
  for (size_t Decode = 1; Decode < 5; ++Decode) {
    Targets.clear();
    Engines.clear();
    Speeds.Intervals.clear();
    Planner = StagePlanner{true};
    add(Stage::Prefill, 30);
    add(Stage::Decode, 66, Decode);
    listIsStable();
    carryOut([&] {
      CHECK(count(Stage::Prefill) >= 1);
      CHECK(count(Stage::Decode) >= 1);
    });
  }
}

// Failure: all decode engines are busy, and the exchange takes one away.
TEST(StageExchange, TakesNoEngineFromABusyDecodeStage) {
  addUsualEngines();
  Demand = {0.1, 6};
  const auto Change = plan();
  CHECK(!Change || Change->DesiredStage != Stage::Prefill);
}

// Failure: the split moves an engine from prefill to decode, as the demand has
// changed, or another gateway does. The exchange restores the prefill capacity
// that it began with, the split moves the engine again, and each time it is
// unavailable for seconds.
TEST(StageExchange, DoesNotUndoTheChangesOfOthers) {
  addUsualEngines();
  carryOut([] {});
  CHECK(!plan());
  for (Target &Entry : Targets)
    if (Entry.EngineStage == Stage::Prefill) {
      Entry.EngineStage = Stage::Decode;
      break;
    }
  CHECK(!plan());
  LONGS_EQUAL(0, carryOut([] {}));
}

// Failure: half of the prefill engines are lost, and the exchange turns decode
// engines into prefill engines until the former capacity is there, whatever the
// demand is.
TEST(StageExchange, DoesNotReplaceLostEngines) {
  addUsualEngines();
  carryOut([] {});
  const size_t Before = count(Stage::Prefill);
  for (size_t Lost = 0; Lost < 3; ++Lost) {
    const auto Found =
        std::find_if(Engines.begin(), Engines.end(), [](const Target *Entry) {
          return Entry->EngineStage == Stage::Prefill;
        });
    Speeds.Intervals.erase((*Found)->Id);
    Engines.erase(Found);
  }
  listIsStable();
  LONGS_EQUAL(0, carryOut([] {}));
  LONGS_EQUAL(Before, count(Stage::Prefill));
}
