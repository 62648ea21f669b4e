//===- TestOrderExploration.cpp - Every fault at every step of an order ---===//
//
// Explores OrderWorld. For each state it is also checked that the order comes
// to its end once faults cease.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderWorld.h"

#include <map>

#include "Exploration/ExplorationGroup.h"

using namespace figlift;
using namespace figlift::test;

namespace {

constexpr size_t Limit = 1500000;
constexpr const char *HonoursFence = "order, engine honours the fence";
constexpr const char *FaultyStore = "order, faults of the store";

struct Outcome {
  Exploration Result;
  /// Why some state does not come to its end once faults cease.
  std::string Stuck;
  Pairs Met;
};

/// Explores once for all tests that ask.
const Outcome &outcome(const char *Name, const OrderBounds &Bounds) {
  // Never freed: it outlives the record of allocations.
  static auto *Known = new std::map<std::string, Outcome>;
  auto [Line, New] = Known->try_emplace(Name);
  Outcome &Of = Line->second;
  if (!New)
    return Of;
  Of.Result =
      explore(OrderWorld(Bounds, &Of.Met), Limit, [&](const OrderWorld &World) {
        if (Of.Stuck.empty() && World.violation().empty())
          Of.Stuck = World.settlesWithoutFaults();
      });
  Of.Result.print(Name);
  return Of;
}

const Pairs &expectNone(const char *Name, const OrderBounds &Bounds) {
  const Outcome &Of = outcome(Name, Bounds);
  STRCMP_EQUAL("", Of.Result.Violation.c_str());
  STRCMP_EQUAL("", Of.Stuck.c_str());
  CHECK_TRUE(Of.Result.Complete);
  return Of.Met;
}

void expectFound(const char *Name, const OrderBounds &Bounds) {
  Exploration Result = explore(OrderWorld(Bounds), Limit);
  Result.print(Name);
  CHECK_FALSE(Result.Violation.empty());
}

OrderBounds faultsOfTheEngine(bool HonoursFence) {
  OrderBounds Bounds;
  Bounds.EngineHonoursFence = HonoursFence;
  Bounds.LostAnswers = 0;
  Bounds.EngineFailures = 1;
  Bounds.LastTime = 3;
  return Bounds;
}

OrderBounds faultsOfTheStore() {
  OrderBounds Bounds;
  Bounds.Crashes = 0;
  Bounds.LostSends = 0;
  Bounds.StoreFailures = 1;
  Bounds.DrainTimeouts = 1;
  Bounds.DeliveriesEach = 2;
  Bounds.LastTime = 2;
  return Bounds;
}

} // namespace

TEST_GROUP_BASE(OrderExploration, ExplorationGroup){};

TEST(OrderExploration, AnEngineThatIgnoresTheFenceNeverHoldsConflictingOrders) {
  // Symptom: the engine is in the role of an older order while the rows name
  // the newer one. Sequence: agent killed or engine crashed at any step, an
  // order without an answer arrives late. Cause: the next order is given while
  // a copy of the last may still be on its way.
  expectNone("order, engine ignores the fence", faultsOfTheEngine(false));
}

TEST(OrderExploration, AnEngineThatHonoursTheFenceIsNotLeftStuck) {
  // Symptom: an order is never carried out. Sequence: as above. Cause: the
  // engine refuses it for its fence and the agent goes on sending.
  expectNone(HonoursFence, faultsOfTheEngine(true));
}

TEST(OrderExploration, FaultsOfTheStoreChangeNothingByHalves) {
  // Symptom: an order that was refused takes effect. Sequence: the commit of
  // the intent is delayed past its answer, the lease's passing or the agent's
  // death. Cause: a lost answer taken for a commit that did not happen.
  expectNone(FaultyStore, faultsOfTheStore());
}

TEST(OrderExploration, AgentsKilledOneAfterTheOtherLeaveNoHalfDoneOrder) {
  // Symptom: an order is neither done nor abandoned. Sequence: killed, the
  // successor is killed while it takes over, an answer of the table is lost.
  // Cause: a recovery that only works from where a first process stops.
  OrderBounds Bounds;
  Bounds.Kills = 2;
  Bounds.Crashes = 0;
  Bounds.Takeovers = 0;
  Bounds.LastTime = 3;
  expectNone("order, two kills and a lost answer", Bounds);
}

TEST(OrderExploration, WithoutWaitingForLateCopiesOrdersConflict) {
  // Symptom: as in the first test. Cause: no settle time.
  OrderBounds Bounds = faultsOfTheEngine(false);
  Bounds.SettleTime = std::chrono::milliseconds(0);
  expectFound("order, no settle time", Bounds);
}

TEST(OrderExploration, WithoutTheLeaseConditionAnOldPlannerIsObeyed) {
  // Symptom: an order takes effect after its planner lost the lease. Sequence:
  // rows read, the lease passes on, the intent is committed. Cause: the commit
  // does not depend on the lease row.
  OrderBounds Bounds = faultsOfTheStore();
  Bounds.LeaseCondition = false;
  expectFound("order, no condition on the lease row", Bounds);
}

TEST_GROUP(OrderTransitions){};

TEST(OrderTransitions, EveryPairOfStateAndEventHasExactlyOneRow) {
  std::set<std::pair<State, EventKind>> Seen;
  for (const Transition &Row : transitionTable()) {
    CHECK_TRUE(Seen.insert({Row.From, Row.What}).second);
    CHECK_FALSE(Row.Description.empty());
    CHECK_FALSE(name(Row.From).empty());
    CHECK_FALSE(name(Row.What).empty());
  }
  UNSIGNED_LONGS_EQUAL(StateCount * std::variant_size_v<Event>, Seen.size());
}

TEST_GROUP_BASE(OrderFaultMatrix, ExplorationGroup){};

TEST(OrderFaultMatrix, TheTableSaysWhichPairsArise) {
  Pairs Met = expectNone(HonoursFence, faultsOfTheEngine(true));
  Met.merge(Pairs(expectNone(FaultyStore, faultsOfTheStore())));
  for (const Transition &Row : transitionTable()) {
    bool Arose = Met.contains({Row.From, Row.What});
    std::string Pair =
        std::string(name(Row.From)) + " / " + std::string(name(Row.What));
    if (Row.How == Handling::Unexpected && Arose)
      FAIL(("arises though the table denies it: " + Pair).c_str());
    if (Row.How != Handling::Unexpected && !Arose)
      FAIL(("was not met by the exploration: " + Pair).c_str());
  }
}
