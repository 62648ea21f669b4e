//===- TestHomeMachine.cpp - Single rules of a home -----------------------===//
//
// The rules of HomeMachine, SliceMap and HomeDirectory one by one.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/HomeDirectory.h"
#include "LibIdempotency/HomeMachine.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::idempotency;
using namespace std::chrono_literals;

namespace {

const std::string Key = "0190163d-8694-739b-aea5-966c26f8ad91";
const WallTime Minted(1718360049300ms);
const Answer Ticket{201, "application/json", "{}"};

BootTime at(std::chrono::milliseconds Offset) {
  return BootTime(1000s + Offset);
}
WallTime wall(std::chrono::milliseconds Offset) { return Minted + Offset; }

} // namespace

TEST_GROUP(HomeMachine) {
  HomeMachine Home{HomeOptions{}};
  std::chrono::milliseconds Now = 0ms;

  std::vector<Action> step(const Event &What) {
    return Home.step(What, at(Now), wall(Now));
  }
  std::vector<Action> call(uint64_t Token,
                           const std::string &Fingerprint = "f") {
    return step(CallReceived{Token, Key, Fingerprint, mintTimeOf(Key)});
  }
  void grant(GrantReason How) { step(SliceGranted{sliceOf(Key), 1, How}); }
};

TEST(HomeMachine, ReadsTheMintTimeOfAUuidOfVersionSeven) {
  CHECK_TRUE(mintTimeOf(Key) == Minted);
  CHECK_FALSE(mintTimeOf("0190163d-8694-439b-aea5-966c26f8ad91").has_value());
  CHECK_FALSE(mintTimeOf("0190163d-8694-739b-cea5-966c26f8ad91").has_value());
  CHECK_FALSE(mintTimeOf("order-17").has_value());
}

TEST(HomeMachine, TheSecondCallerGetsTheFirstOnesAnswer) {
  grant(GrantReason::Initial);
  CHECK_TRUE(call(1).at(0) == Action(SendToTarget{1, Key}));
  CHECK_TRUE(call(2).at(0) == Action(JoinWaiters{2, Key}));
  auto Answers = step(TargetAnswered{Key, Ticket});
  CHECK_TRUE(Answers.at(0) == Action(AnswerCaller{1, Ticket, false}));
  CHECK_TRUE(Answers.at(1) == Action(AnswerCaller{2, Ticket, true}));
  CHECK_TRUE(call(3).at(0) == Action(AnswerCaller{3, Ticket, true}));
}

TEST(HomeMachine, AKeyIsNotUsedForAnotherRequest) {
  grant(GrantReason::Initial);
  call(1);
  CHECK_TRUE(call(2, "other").at(0) ==
             Action(RefuseCaller{2, ResultCode::KeyReusedForOtherRequest}));
}

TEST(HomeMachine, ACrashOfTheTargetLeavesTheKeyUnknownForGood) {
  // Symptom: a slot is held twice. Sequence: call sent, target crashes,
  // caller repeats the key. Cause: a lost answer taken for a call not run.
  grant(GrantReason::Initial);
  call(1);
  CHECK_TRUE(step(TargetOutcomeUnknown{Key}).at(0) ==
             Action(UnknownToCaller{1}));
  CHECK_TRUE(call(2).at(0) == Action(UnknownToCaller{2}));
}

TEST(HomeMachine, ACallThatWasNotSentMayComeAgain) {
  grant(GrantReason::Initial);
  call(1);
  CHECK_TRUE(step(TargetFailedBeforeSend{Key, ResultCode::Draining}).at(0) ==
             Action(RefuseCaller{1, ResultCode::Draining}));
  CHECK_TRUE(call(2).at(0) == Action(SendToTarget{2, Key}));
}

TEST(HomeMachine, RefusesWhatItIsNotHomeOf) {
  CHECK_TRUE(call(1).at(0) == Action(RefuseCaller{1, ResultCode::HomeMoved}));
}

TEST(HomeMachine, RefusesKeysFromTheFuture) {
  grant(GrantReason::Initial);
  Now = -2001ms;
  CHECK_TRUE(call(1).at(0) ==
             Action(RefuseCaller{1, ResultCode::KeyTooFarAhead}));
}

TEST(HomeMachine, AfterARestartOldKeysAreUnknownAndNewOnesRun) {
  // Symptom: a repeated call runs again. Sequence: sent, agent killed, new
  // agent in the slot, repeated. Cause: claims died with the process.
  Now = -3000ms;
  grant(GrantReason::SameSlotRestart);
  Now = 5000ms;
  CHECK_TRUE(call(1).at(0) == Action(UnknownToCaller{1}));
  HomeMachine Earlier{HomeOptions{}};
  Earlier.step(SliceGranted{sliceOf(Key), 1, GrantReason::SameSlotRestart},
               at(-3001ms), wall(-3001ms));
  auto Actions =
      Earlier.step(CallReceived{1, Key, "f", Minted}, at(Now), wall(Now));
  CHECK_TRUE(Actions.at(0) == Action(SendToTarget{1, Key}));
}

TEST(HomeMachine, AKeyOlderThanTheRetentionIsUnknown) {
  // Symptom: a call repeated after a day runs again. Sequence: answered,
  // claim dropped at the end of the retention, repeated. Cause: a dropped
  // claim looks like a key that was never seen.
  grant(GrantReason::Initial);
  call(1);
  step(TargetAnswered{Key, Ticket});
  Now = 24h;
  step(Tick{});
  UNSIGNED_LONGS_EQUAL(0, Home.claimCount());
  CHECK_TRUE(call(2).at(0) == Action(UnknownToCaller{2}));
}

TEST(HomeMachine, AnOpenCallsAnswerFollowsTheHandover) {
  // Symptom: a caller at the new home never hears of a call that the old home
  // had open. Sequence: sent, handed over, repeated at the new home, answered
  // at the old. Cause: claims move once, outcomes come later.
  grant(GrantReason::Initial);
  call(1);
  auto Sent =
      std::get<SendClaims>(step(HandoverRequested{sliceOf(Key), "next"}).at(0));
  HomeMachine Next{HomeOptions{}};
  auto Next1 = Next.step(
      ClaimsReceived{Sent.Slice, Sent.Epoch, Sent.Claims, true, Sent.OldUntil},
      at(0ms), wall(0ms));
  CHECK_TRUE(Next1.at(0) == Action(AcknowledgeClaims{Sent.Slice, Sent.Epoch}));
  step(HandoverAcknowledged{Sent.Slice, Sent.Epoch});
  step(GrantCommitted{Sent.Slice, Sent.Epoch});
  Next.step(SliceGranted{Sent.Slice, Sent.Epoch, GrantReason::Handover},
            at(0ms), wall(0ms));
  auto Joined =
      Next.step(CallReceived{2, Key, "f", Minted}, at(0ms), wall(0ms));
  CHECK_TRUE(Joined.at(0) == Action(JoinWaiters{2, Key}));

  auto Answers = step(TargetAnswered{Key, Ticket});
  CHECK_TRUE(Answers.at(0) == Action(AnswerCaller{1, Ticket, false}));
  auto Update = std::get<SendClaims>(Answers.at(1));
  CHECK_FALSE(Update.Complete);
  auto There = Next.step(ClaimsReceived{Update.Slice, Update.Epoch,
                                        Update.Claims, false, std::nullopt},
                         at(0ms), wall(0ms));
  CHECK_TRUE(There.at(0) == Action(AnswerCaller{2, Ticket, true}));
}

TEST(HomeMachine, AnOutcomeThatNeverFollowsBecomesUnknown) {
  // Symptom: callers at the new home wait for ever. Sequence: handed over with
  // a call open, old home killed. Cause: nobody is left to tell the outcome.
  Claim Open{Key, ClaimState::Sent, "f", {}, Minted};
  step(ClaimsReceived{sliceOf(Key), 3, {Open}, true, std::nullopt});
  step(SliceGranted{sliceOf(Key), 3, GrantReason::Handover});
  call(1);
  Now = 30s;
  CHECK_TRUE(step(Tick{}).at(0) == Action(UnknownToCaller{1}));
}

TEST(HomeMachine, TheOldHomeStillAnswersForKeysThatItRan) {
  // Symptom: "not run" for a key that ran. Sequence: answered, handed over,
  // repeated at the old home by an entry that has not heard. Cause: the old
  // home refuses all keys of the slice alike.
  grant(GrantReason::Initial);
  call(1);
  step(TargetAnswered{Key, Ticket});
  step(HandoverRequested{sliceOf(Key), "next"});
  step(HandoverAcknowledged{sliceOf(Key), 3});
  step(GrantCommitted{sliceOf(Key), 3});
  CHECK_TRUE(call(2).at(0) == Action(AnswerCaller{2, Ticket, true}));
}

TEST(HomeMachine, ALateAcknowledgementDoesNotEndTheNextAttempt) {
  // Symptom: a key runs at both homes. Sequence: handover given up, a key
  // runs, second handover, the acknowledgement of the first arrives. Cause:
  // the second set of claims is not stored yet.
  grant(GrantReason::Initial);
  step(HandoverRequested{sliceOf(Key), "next"});
  step(HandoverFailed{sliceOf(Key)});
  call(1);
  step(HandoverRequested{sliceOf(Key), "next"});
  CHECK_TRUE(step(HandoverAcknowledged{sliceOf(Key), 3}).empty());
  CHECK_TRUE(step(HandoverAcknowledged{sliceOf(Key), 5}).at(0) ==
             Action(CommitGrant{sliceOf(Key), "next", 1, 5}));
}

TEST(HomeMachine, ClaimsOfAnAbandonedHandoverAreNotTakenForAll) {
  // Symptom: a key runs at both homes. Sequence: claims sent, handover given
  // up, a key runs at the old home, it dies, the successor takes over. Cause:
  // the grant has the epoch of the handover, whose claims lack the key.
  step(ClaimsReceived{sliceOf(Key), 3, {}, true, std::nullopt});
  uint64_t Epoch = nextTakeoverEpoch(1);
  CHECK_TRUE(Epoch != nextHandoverEpoch(1));
  step(SliceGranted{sliceOf(Key), Epoch, GrantReason::Handover});
  CHECK_TRUE(call(1).at(0) == Action(UnknownToCaller{1}));
}

TEST_GROUP(SliceMap){};

TEST(SliceMap, AHomeThatComesOrGoesMovesOnlyItsShare) {
  std::vector<std::string> Three{"a", "b", "c"};
  std::vector<std::string> Four{"a", "b", "c", "d"};
  GrantTable Table;
  for (const Move &One : SliceMap::plan(Table, Three, {}, {}))
    Table[One.Slice] = {One.To, One.Epoch};
  size_t Moved = 0;
  for (const Move &One : SliceMap::plan(Table, Four, {}, {})) {
    CHECK_TRUE(One.To == "d" && One.Why == MoveReason::Handover);
    ++Moved;
  }
  CHECK_TRUE(Moved > 0 && Moved < SliceCount / 2);
}

TEST(SliceMap, OnlyAHomeThatIsProvenGoneLosesItsSlices) {
  // Symptom: two homes for one slice. Sequence: a home is cut off and
  // another is given its slices. Cause: silence taken for death.
  GrantTable Table;
  Table.fill({"a", 3});
  std::vector<std::string> Serving{"b"};
  std::vector<std::string> Gone{"a"};
  CHECK_TRUE(SliceMap::plan(Table, Serving, {}, {}).empty());
  auto Moves = SliceMap::plan(Table, Serving, {}, Gone);
  UNSIGNED_LONGS_EQUAL(SliceCount, Moves.size());
  CHECK_TRUE(Moves[0] == (Move{0, "a", "b", 4, MoveReason::Takeover}));
}

TEST_GROUP(HomeDirectory){};

TEST(HomeDirectory, TheHigherEpochWins) {
  HomeDirectory Directory;
  CHECK_TRUE(Directory.learn(5, {"b", 2}));
  CHECK_FALSE(Directory.learn(5, {"a", 1}));
  CHECK_TRUE(Directory.homeOf(5).Home == "b");
}
