//===- TestOrderExploration.cpp - Every fault at every step of an order ---===//
//
// Explores OrderSimulation exhaustively and checks for each state that the
// order completes once faults cease.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderSimulation.h"

#include <map>

#include "Exploration/ExplorationGroup.h"

using namespace figlift;
using namespace figlift::test;

namespace {

constexpr size_t MaximumStates = 1500000;
constexpr const char *FencingEngine = "order, engine honours the fence";
constexpr const char *FaultyStore = "order, faults of the store";

struct ExplorationOutcome {
  Exploration Result;
  /// Why the order does not complete in some state once faults cease; empty if
  /// it always does.
  std::string Stuck;
  StateEventPairs Visited;
};

/// Explores once and returns the same outcome to every test.
const ExplorationOutcome &explored(const char *Name,
                                   const OrderLimits &Limits) {
  // Never freed, because it outlives the leak detector's record of a test.
  static auto *Cache = new std::map<std::string, ExplorationOutcome>;
  auto [Cached, New] = Cache->try_emplace(Name);
  ExplorationOutcome &Outcome = Cached->second;
  if (!New)
    return Outcome;
  Outcome.Result =
      explore(OrderSimulation(Limits, &Outcome.Visited), MaximumStates,
              [&](const OrderSimulation &Simulation) {
                if (Outcome.Stuck.empty() && Simulation.violation().empty())
                  Outcome.Stuck = Simulation.checkSettlesWithoutFaults();
              });
  Outcome.Result.print(Name);
  return Outcome;
}

const StateEventPairs &expectNoViolation(const char *Name,
                                         const OrderLimits &Limits) {
  const ExplorationOutcome &Outcome = explored(Name, Limits);
  STRCMP_EQUAL("", Outcome.Result.Violation.c_str());
  STRCMP_EQUAL("", Outcome.Stuck.c_str());
  CHECK_TRUE(Outcome.Result.Complete);
  return Outcome.Visited;
}

void expectViolation(const char *Name, const OrderLimits &Limits) {
  Exploration Result = explore(OrderSimulation(Limits), MaximumStates);
  Result.print(Name);
  CHECK_FALSE(Result.Violation.empty());
}

OrderLimits engineFaults(bool FencingEngine) {
  OrderLimits Limits;
  Limits.EngineHonoursFence = FencingEngine;
  Limits.LostResponses = 0;
  Limits.EngineFailures = 1;
  Limits.LastTime = 3;
  return Limits;
}

OrderLimits storeFaults() {
  OrderLimits Limits;
  Limits.Crashes = 0;
  Limits.LostSends = 0;
  Limits.StoreFailures = 1;
  Limits.DrainTimeouts = 1;
  Limits.DeliveriesPerOrder = 2;
  Limits.LastTime = 2;
  return Limits;
}

} // namespace

TEST_GROUP_BASE(OrderExploration, ExplorationGroup){};

TEST(OrderExploration, AnEngineThatIgnoresTheFenceNeverHoldsConflictingOrders) {
  // Guards against an engine in the role of an older order while the rows name
  // the newer one: the agent is killed or the engine crashes at any step, and
  // the next order is sent while a copy of the last is still in flight.
  expectNoViolation("order, engine ignores the fence", engineFaults(false));
}

TEST(OrderExploration, AnEngineThatHonoursTheFenceIsNotLeftStuck) {
  // Guards against an order that is never executed because the engine rejects
  // its fencing token and the agent retries forever.
  expectNoViolation(FencingEngine, engineFaults(true));
}

TEST(OrderExploration, StoreFaultsNeverApplyARejectedOrder) {
  // Guards against a rejected order that takes effect later: the commit of the
  // intent is delayed past its timeout, a change of the lease or the exit of
  // the agent, and a lost response is treated as a failed commit.
  expectNoViolation(FaultyStore, storeFaults());
}

TEST(OrderExploration, RepeatedKillsLeaveNoUnfinishedOrder) {
  // Guards against an order that is neither done nor abandoned: the successor
  // of a killed agent is killed during recovery and a response of the table is
  // lost. Recovery must not depend on where the previous process stopped.
  OrderLimits Limits;
  Limits.Kills = 2;
  Limits.Crashes = 0;
  Limits.Takeovers = 0;
  Limits.LastTime = 3;
  expectNoViolation("order, two kills and a lost answer", Limits);
}

TEST(OrderExploration, WithoutWaitingForLateCopiesOrdersConflict) {
  // Without a settle time the exploration must find the conflict that the first
  // test guards against.
  OrderLimits Limits = engineFaults(false);
  Limits.SettleTime = std::chrono::milliseconds(0);
  expectViolation("order, no settle time", Limits);
}

TEST(OrderExploration, WithoutTheLeaseConditionAStaleOrderTakesEffect) {
  // If the commit of the intent is not conditioned on the lease row, an order
  // takes effect after its planner lost the lease: the rows are read, the lease
  // changes hands, the intent is committed.
  OrderLimits Limits = storeFaults();
  Limits.LeaseCondition = false;
  expectViolation("order, no condition on the lease row", Limits);
}

TEST_GROUP(OrderTransitions){};

TEST(OrderTransitions, EveryPairOfStateAndEventHasExactlyOneRow) {
  std::set<std::pair<State, EventKind>> Seen;
  for (const Transition &Row : transitionTable()) {
    CHECK_TRUE(Seen.insert({Row.Source, Row.Trigger}).second);
    CHECK_FALSE(Row.Description.empty());
    CHECK_FALSE(name(Row.Source).empty());
    CHECK_FALSE(name(Row.Trigger).empty());
  }
  UNSIGNED_LONGS_EQUAL(StateCount * std::variant_size_v<Event>, Seen.size());
}

TEST_GROUP_BASE(OrderFaultMatrix, ExplorationGroup){};

TEST(OrderFaultMatrix, TheTableListsThePairsThatOccur) {
  StateEventPairs Visited =
      expectNoViolation(FencingEngine, engineFaults(true));
  Visited.merge(StateEventPairs(expectNoViolation(FaultyStore, storeFaults())));
  for (const Transition &Row : transitionTable()) {
    bool Occurred = Visited.contains({Row.Source, Row.Trigger});
    std::string Pair =
        std::string(name(Row.Source)) + " / " + std::string(name(Row.Trigger));
    if (Row.Expected == Handling::Unexpected && Occurred)
      FAIL(("occurs although the table lists it as unexpected: " + Pair)
               .c_str());
    if (Row.Expected != Handling::Unexpected && !Occurred)
      FAIL(("was not reached by the exploration: " + Pair).c_str());
  }
}
