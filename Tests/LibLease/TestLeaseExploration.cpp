//===- TestLeaseExploration.cpp - All interleavings of two candidates -----===//
//
// Explores LeaseSimulation with all safeguards, where no violation may be
// found, and without one of them, where the exploration must find the violation
// that it prevents.
//
//===----------------------------------------------------------------------===//

#include "LibLease/LeaseSimulation.h"

#include "Exploration/ExplorationGroup.h"

using namespace figlift;
using namespace figlift::test;

namespace {

constexpr size_t Limit = 1500000;

void expectNoViolation(const char *Name, const LeaseBounds &Bounds) {
  Exploration Result = explore(LeaseSimulation(Bounds), Limit);
  Result.print(Name);
  CHECK_TRUE(Result.Violation.empty());
  CHECK_TRUE(Result.Complete);
}

} // namespace

TEST_GROUP_BASE(LeaseExploration, ExplorationGroup){};

TEST(LeaseExploration, NoOrderTakesEffectAfterItsLeaseHasPassedOn) {
  // Guards against: a holder is paused between mayPlan() and sending, its lease
  // expires, another candidate acquires it and sends orders, the first resumes,
  // and orders of two planners reach one engine alternately. A lease alone is
  // no fence.
  expectNoViolation("lease, pauses", LeaseBounds{});
  LeaseBounds Lost;
  Lost.LostAnswers = 1;
  Lost.LastTime = 3;
  expectNoViolation("lease, pauses and a lost answer", Lost);
  LeaseBounds Stopped;
  Stopped.Stops = 1;
  Stopped.StoreFailures = 1;
  Stopped.LastTime = 3;
  expectNoViolation("lease, pauses, a failing store and a stop", Stopped);
}

TEST(LeaseExploration, WithoutTheAgentsCheckOrdersCrossEpochs) {
  // Without a check of epochs the agent accepts an order of an older epoch
  // after one of a newer epoch.
  LeaseBounds Bounds;
  Bounds.Check = AgentCheck::None;
  Exploration Result = explore(LeaseSimulation(Bounds), Limit);
  Result.print("lease, agent without a check");
  CHECK_FALSE(Result.Violation.empty());
}

TEST(LeaseExploration, TheHighestEpochSeenIsNotEnough) {
  // Another candidate has acquired the lease and sent no order yet when the
  // order of the paused one arrives. The agent has not seen the new epoch, and
  // accepts the order of a planner without the lease.
  LeaseBounds Bounds;
  Bounds.Check = AgentCheck::HighestSeen;
  Exploration Result = explore(LeaseSimulation(Bounds), Limit);
  Result.print("lease, agent with the highest epoch seen");
  CHECK_FALSE(Result.Violation.empty());
}

TEST(LeaseExploration, AHolderWithTooLongAuthorityOverlapsItsSuccessor) {
  // Renewals fail, and the other candidate waits for the duration and acquires
  // the row. If the holder counts a longer time than the observers (as with a
  // negative margin), both may plan at once.
  LeaseBounds Bounds;
  Bounds.Margin = std::chrono::seconds(-2);
  Exploration Result = explore(LeaseSimulation(Bounds), Limit);
  Result.print("lease, holder counts two seconds too long");
  CHECK_FALSE(Result.Violation.empty());
}

// Guards against: the store loses the row of the holder, and another candidate
// acquires the lease while the holder continues, or an epoch is assigned twice.
TEST(LeaseExploration, HoldersOfTwoErasNeverOverlap) {
  LeaseBounds Bounds;
  Bounds.MaximumRestores = 1;
  Bounds.Check = AgentCheck::HighestSeen;
  Bounds.Duration = std::chrono::seconds(2);
  Bounds.LastTime = 3;
  Bounds.OrdersPerCandidate = 0;
  expectNoViolation("lease, store that comes back from a copy", Bounds);
  Bounds.LastTime = 2;
  Bounds.OrdersPerCandidate = 1;
  expectNoViolation("lease, the same with orders", Bounds);
  Bounds.OrdersPerCandidate = 0;
  Bounds.LostAnswers = 1;
  expectNoViolation("lease, store from a copy and a lost answer", Bounds);
}

TEST(LeaseExploration, WithoutErasHoldersOverlap) {
  LeaseBounds Bounds;
  Bounds.MaximumRestores = 1;
  Bounds.Check = AgentCheck::HighestSeen;
  Bounds.ReportsEra = false;
  Exploration Result = explore(LeaseSimulation(Bounds), Limit);
  Result.print("lease, store from a copy that tells no era");
  CHECK_FALSE(Result.Violation.empty());
}
