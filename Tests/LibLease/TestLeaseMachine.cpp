//===- TestLeaseMachine.cpp - Single steps of a candidate -----------------===//
//
// Covers the rules of LeaseMachine one by one.
//
//===----------------------------------------------------------------------===//

#include "LibLease/LeaseMachine.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::lease;
using namespace std::chrono_literals;

namespace {

BootTime at(std::chrono::milliseconds Offset) {
  return BootTime(1000s + Offset);
}

template <typename Kind> bool contains(const std::vector<Action> &Actions) {
  return std::ranges::any_of(Actions, [](const Action &Candidate) {
    return std::holds_alternative<Kind>(Candidate);
  });
}

LeaseMachine candidate() { return LeaseMachine({"self", 3s, 1s}); }

/// Returns a holder with epoch 8 whose commit was sent at 0 ms.
LeaseMachine holder() {
  LeaseMachine Machine = candidate();
  Machine.step(Tick{}, at(0ms));
  Machine.step(RowRead{4, "", 7, 3s}, at(0ms));
  Machine.step(CommitSucceeded{}, at(10ms));
  return Machine;
}

} // namespace

TEST_GROUP(LeaseMachine){};

TEST(LeaseMachine, AcquiresFreeRowWithNextEpoch) {
  LeaseMachine Machine = candidate();
  CHECK_TRUE(contains<ReadRow>(Machine.step(Tick{}, at(0ms))));
  auto Actions = Machine.step(RowRead{4, "", 7, 3s}, at(0ms));
  CHECK_TRUE(Actions.at(0) == Action(CommitRow{4, "self", 8, 3s}));
  CHECK_FALSE(Machine.mayPlan(at(5ms)));
  CHECK_TRUE(Machine.step(CommitSucceeded{}, at(10ms)).at(0) ==
             Action(BecomeHolder{8}));
  CHECK_TRUE(Machine.epoch(at(10ms)) == 8);
}

TEST(LeaseMachine, CountsAuthorityFromCommit) {
  LeaseMachine Machine = holder();
  CHECK_TRUE(Machine.mayPlan(at(1999ms)));
  CHECK_FALSE(Machine.mayPlan(at(2000ms)));
  CHECK_TRUE(Machine.step(Tick{}, at(2000ms)).at(0) ==
             Action(LoseAuthority{8}));
}

TEST(LeaseMachine, RenewsAfterThirdOfDuration) {
  LeaseMachine Machine = holder();
  CHECK_TRUE(Machine.step(Tick{}, at(999ms)).empty());
  CHECK_TRUE(Machine.step(Tick{}, at(1000ms)).at(0) ==
             Action(CommitRow{5, "self", 8, 3s}));
  Machine.step(CommitSucceeded{}, at(1100ms));
  CHECK_TRUE(Machine.mayPlan(at(2999ms)));
  CHECK_FALSE(Machine.mayPlan(at(3000ms)));
}

TEST(LeaseMachine, WaitsForDurationOfOtherHolder) {
  LeaseMachine Machine = candidate();
  Machine.step(Tick{}, at(0ms));
  CHECK_TRUE(Machine.step(RowRead{4, "other", 7, 5s}, at(0ms)).empty());
  for (auto Time = 1000ms; Time < 5000ms; Time += 1000ms) {
    CHECK_TRUE(contains<ReadRow>(Machine.step(Tick{}, at(Time))));
    CHECK_TRUE(Machine.step(RowRead{4, "other", 7, 5s}, at(Time)).empty());
  }
  CHECK_TRUE(contains<CommitRow>(Machine.step(Tick{}, at(5000ms))));
}

TEST(LeaseMachine, RestartsWaitAfterRenewalOfOtherHolder) {
  LeaseMachine Machine = candidate();
  Machine.step(Tick{}, at(0ms));
  Machine.step(RowRead{4, "other", 7, 3s}, at(0ms));
  Machine.step(Tick{}, at(2900ms));
  Machine.step(RowRead{5, "other", 7, 3s}, at(2900ms));
  CHECK_FALSE(contains<CommitRow>(Machine.step(Tick{}, at(5800ms))));
}

TEST(LeaseMachine, ReadsRowAfterUnknownCommitOutcome) {
  // Guards against: the answer to a commit is lost, and the process assumes an
  // outcome. It then plans with a lease that another process holds, or never
  // plans with its own.
  LeaseMachine Machine = candidate();
  Machine.step(Tick{}, at(0ms));
  Machine.step(RowRead{4, "", 7, 3s}, at(0ms));
  CHECK_TRUE(
      contains<ReadRow>(Machine.step(CommitOutcomeUnknown{}, at(500ms))));
  CHECK_FALSE(Machine.mayPlan(at(500ms)));
  auto Actions = Machine.step(RowRead{5, "self", 8, 3s}, at(600ms));
  CHECK_TRUE(Actions.at(0) == Action(BecomeHolder{8}));
  CHECK_FALSE(Machine.mayPlan(at(2000ms)));
}

TEST(LeaseMachine, HasNoAuthorityAfterPause) {
  // Guards against: a process that is suspended right after a renewal has
  // authority when it resumes, because authority depends on events and not on
  // the clock.
  LeaseMachine Machine = holder();
  CHECK_FALSE(Machine.mayPlan(at(60000ms)));
  CHECK_TRUE(contains<LoseAuthority>(Machine.step(Tick{}, at(60000ms))));
}

TEST(LeaseMachine, DoesNotBecomeHolderByLateAnswer) {
  // Guards against: the process is paused between a commit and its answer for
  // longer than the duration, counts its authority from the answer, and another
  // candidate has acquired the lease.
  LeaseMachine Machine = candidate();
  Machine.step(Tick{}, at(0ms));
  Machine.step(RowRead{4, "", 7, 3s}, at(0ms));
  CHECK_TRUE(Machine.step(CommitSucceeded{}, at(4000ms)).empty());
  CHECK_FALSE(Machine.mayPlan(at(4000ms)));
}

TEST(LeaseMachine, LosesAuthorityToNewerRow) {
  LeaseMachine Machine = holder();
  Machine.step(Tick{}, at(1000ms));
  Machine.step(CommitConflicted{}, at(1100ms));
  auto Actions = Machine.step(RowRead{6, "other", 9, 3s}, at(1200ms));
  CHECK_TRUE(Actions.at(0) == Action(LoseAuthority{8}));
  CHECK_FALSE(Machine.mayPlan(at(1200ms)));
}

TEST(LeaseMachine, RetriesWithinAuthority) {
  LeaseMachine Machine = holder();
  Machine.step(Tick{}, at(1000ms));
  Machine.step(StoreFailed{}, at(1100ms));
  CHECK_TRUE(Machine.mayPlan(at(1300ms)));
  CHECK_TRUE(contains<CommitRow>(Machine.step(Tick{}, at(1400ms))));
}

TEST(LeaseMachine, ReleasesAtStopAndKeepsEpoch) {
  LeaseMachine Machine = holder();
  auto Actions = Machine.step(StopRequested{}, at(100ms));
  CHECK_TRUE(Actions.at(0) == Action(LoseAuthority{8}));
  CHECK_TRUE(Actions.at(1) == Action(CommitRow{5, "", 8, 3s}));
  CHECK_FALSE(Machine.mayPlan(at(100ms)));
  CHECK_TRUE(Machine.step(CommitSucceeded{}, at(200ms)).at(0) ==
             Action(Released{true}));
  CHECK_TRUE(Machine.stopped());
}

TEST(LeaseMachine, StopsDuringOutage) {
  // Guards against: a process that stops while the store is unavailable waits
  // for the release of its lease and never exits. Others do not need the
  // release.
  LeaseMachine Machine = holder();
  Machine.step(StopRequested{}, at(100ms));
  CHECK_TRUE(Machine.step(StoreFailed{}, at(200ms)).at(0) ==
             Action(Released{false}));
}

// Guards against: a holder continues to send orders while another candidate
// acquires the lease, as the restored row does not show the holder.
TEST(LeaseMachine, LosesLeaseWhenStoreIsRestored) {
  LeaseMachine Machine = holder();
  const auto Actions = Machine.step(StoreRestored{2}, at(20ms));
  CHECK_TRUE(contains<LoseAuthority>(Actions));
  CHECK_FALSE(Machine.mayPlan(at(21ms)));
  // Its own row in the copy is not acquired before the time of any other holder
  // has passed, and then with an epoch that no earlier era has assigned.
  CHECK_TRUE(contains<ReadRow>(Machine.step(Tick{}, at(30ms))));
  CHECK_FALSE(contains<CommitRow>(
      Machine.step(RowRead{5, "self", 8, 3s, 2}, at(40ms))));
  const auto Later = Machine.step(Tick{}, at(3020ms));
  CHECK_TRUE(Later.at(0) ==
             Action(CommitRow{5, "self", uint64_t{2} << 32, 3s}));
}
