//===- TestLeaseExploration.cpp - All interleavings of two candidates -----===//
//
// Explores LeaseWorld with the mechanisms on, where nothing may be found, and
// with one of them off, where the exploration has to find what it prevents.
//
//===----------------------------------------------------------------------===//

#include "LibLease/LeaseWorld.h"

#include "Exploration/ExplorationGroup.h"

using namespace figlift;
using namespace figlift::test;

namespace {

constexpr size_t Limit = 1500000;

void expectNone(const char *Name, const LeaseBounds &Bounds) {
  Exploration Result = explore(LeaseWorld(Bounds), Limit);
  Result.print(Name);
  CHECK_TRUE(Result.Violation.empty());
  CHECK_TRUE(Result.Complete);
}

} // namespace

TEST_GROUP_BASE(LeaseExploration, ExplorationGroup){};

TEST(LeaseExploration, NoOrderTakesEffectAfterItsLeaseHasPassedOn) {
  // Symptom: two planners' orders reach one engine in turns. Sequence: holder
  // paused between mayPlan() and sending, lease lapses, another takes it and
  // orders, the first resumes. Cause: a lease alone is no fence.
  expectNone("lease, pauses", LeaseBounds{});
  LeaseBounds Lost;
  Lost.LostAnswers = 1;
  Lost.LastTime = 3;
  expectNone("lease, pauses and a lost answer", Lost);
  LeaseBounds Stopped;
  Stopped.Stops = 1;
  Stopped.StoreFailures = 1;
  Stopped.LastTime = 3;
  expectNone("lease, pauses, a failing store and a stop", Stopped);
}

TEST(LeaseExploration, WithoutTheAgentsCheckOrdersCrossEpochs) {
  // Symptom: an older epoch's order is accepted after a newer one's.
  // Sequence: as above. Cause: the agent takes any epoch.
  LeaseBounds Bounds;
  Bounds.Check = AgentCheck::None;
  Exploration Result = explore(LeaseWorld(Bounds), Limit);
  Result.print("lease, agent without a check");
  CHECK_FALSE(Result.Violation.empty());
}

TEST(LeaseExploration, TheHighestEpochSeenIsNotEnough) {
  // Symptom: an order takes effect although its planner has lost the lease.
  // Sequence: another candidate takes the lease and has not ordered yet; the
  // paused one's order arrives. Cause: the agent has not seen the new epoch.
  LeaseBounds Bounds;
  Bounds.Check = AgentCheck::HighestSeen;
  Exploration Result = explore(LeaseWorld(Bounds), Limit);
  Result.print("lease, agent with the highest epoch seen");
  CHECK_FALSE(Result.Violation.empty());
}

TEST(LeaseExploration, AHolderThatCountsTooLongMeetsItsSuccessor) {
  // Symptom: two candidates may plan at once. Sequence: renewals fail, the
  // other waits for the duration and takes the row. Cause: the holder's time
  // is longer than the observers' (a negative margin stands for that).
  LeaseBounds Bounds;
  Bounds.Margin = std::chrono::seconds(-2);
  Exploration Result = explore(LeaseWorld(Bounds), Limit);
  Result.print("lease, holder counts two seconds too long");
  CHECK_FALSE(Result.Violation.empty());
}

// Failure: the store forgets who holds the lease, and another takes it while
// the holder goes on; or gives an epoch out again.
TEST(LeaseExploration, HoldersOfTwoErasNeverMeet) {
  LeaseBounds Bounds;
  Bounds.Returns = 1;
  Bounds.Check = AgentCheck::HighestSeen;
  Bounds.Duration = std::chrono::seconds(2);
  Bounds.LastTime = 3;
  Bounds.OrdersEach = 0;
  expectNone("lease, store that comes back from a copy", Bounds);
  Bounds.LastTime = 2;
  Bounds.OrdersEach = 1;
  expectNone("lease, the same with orders", Bounds);
  Bounds.OrdersEach = 0;
  Bounds.LostAnswers = 1;
  expectNone("lease, store from a copy and a lost answer", Bounds);
}

TEST(LeaseExploration, WithoutErasHoldersMeet) {
  LeaseBounds Bounds;
  Bounds.Returns = 1;
  Bounds.Check = AgentCheck::HighestSeen;
  Bounds.TellsEra = false;
  Exploration Result = explore(LeaseWorld(Bounds), Limit);
  Result.print("lease, store from a copy that tells no era");
  CHECK_FALSE(Result.Violation.empty());
}
