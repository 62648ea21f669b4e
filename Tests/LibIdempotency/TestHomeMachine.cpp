//===- TestHomeMachine.cpp - Tests of HomeMachine -------------------------===//
//
// Tests the rules of HomeMachine, SliceMap and HomeDirectory individually.
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

  std::vector<Action> step(const Event &Event) {
    return Home.step(Event, at(Now), wall(Now));
  }
  std::vector<Action> call(uint64_t Token,
                           const std::string &Fingerprint = "f") {
    return step(CallReceived{Token, Key, Fingerprint, mintTimeOf(Key)});
  }
  void grant(GrantReason Reason) {
    step(SliceGranted{sliceOf(Key), 1, Reason});
  }
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
  // Guards against a key that runs twice: the call is sent, the target crashes,
  // and the caller retries. A lost answer must not be taken for "not run".
  grant(GrantReason::Initial);
  call(1);
  CHECK_TRUE(step(TargetOutcomeUnknown{Key}).at(0) ==
             Action(ReportUnknownOutcome{1}));
  CHECK_TRUE(call(2).at(0) == Action(ReportUnknownOutcome{2}));
}

TEST(HomeMachine, ACallThatWasNotSentMayBeRetried) {
  grant(GrantReason::Initial);
  call(1);
  CHECK_TRUE(step(TargetFailedBeforeSend{Key, ResultCode::Draining}).at(0) ==
             Action(RefuseCaller{1, ResultCode::Draining}));
  CHECK_TRUE(call(2).at(0) == Action(SendToTarget{2, Key}));
}

TEST(HomeMachine, RefusesKeysOfSlicesItDoesNotHold) {
  CHECK_TRUE(call(1).at(0) == Action(RefuseCaller{1, ResultCode::HomeMoved}));
}

TEST(HomeMachine, RefusesKeysFromTheFuture) {
  grant(GrantReason::Initial);
  Now = -2001ms;
  CHECK_TRUE(call(1).at(0) ==
             Action(RefuseCaller{1, ResultCode::KeyTooFarAhead}));
}

TEST(HomeMachine, AfterARestartOldKeysAreUnknownAndNewOnesRun) {
  // Guards against a retry that runs again after the agent was killed and
  // restarted in its slot, because the claims were lost with the process.
  Now = -3000ms;
  grant(GrantReason::SameSlotRestart);
  Now = 5000ms;
  CHECK_TRUE(call(1).at(0) == Action(ReportUnknownOutcome{1}));
  HomeMachine Earlier{HomeOptions{}};
  Earlier.step(SliceGranted{sliceOf(Key), 1, GrantReason::SameSlotRestart},
               at(-3001ms), wall(-3001ms));
  auto Actions =
      Earlier.step(CallReceived{1, Key, "f", Minted}, at(Now), wall(Now));
  CHECK_TRUE(Actions.at(0) == Action(SendToTarget{1, Key}));
}

TEST(HomeMachine, AKeyOlderThanTheRetentionIsUnknown) {
  // Guards against a retry that runs again after the claim of the answered call
  // was removed at the end of its retention, when the key looks like a new one.
  grant(GrantReason::Initial);
  call(1);
  step(TargetAnswered{Key, Ticket});
  Now = 24h;
  step(Tick{});
  UNSIGNED_LONGS_EQUAL(0, Home.claimCount());
  CHECK_TRUE(call(2).at(0) == Action(ReportUnknownOutcome{2}));
}

TEST(HomeMachine, TheOutcomeOfAnOpenCallIsSentToTheSuccessor) {
  // Guards against a caller that gets no answer at the new home for a call that
  // was open at the old home during the handover. The outcome has to be sent to
  // the new home after the claims.
  grant(GrantReason::Initial);
  call(1);
  auto Sent =
      std::get<SendClaims>(step(HandoverRequested{sliceOf(Key), "next"}).at(0));
  HomeMachine Next{HomeOptions{}};
  auto Acknowledged =
      Next.step(ClaimsReceived{Sent.Slice, Sent.Epoch, Sent.Claims, true,
                               Sent.OldKeysUntil},
                at(0ms), wall(0ms));
  CHECK_TRUE(Acknowledged.at(0) ==
             Action(AcknowledgeClaims{Sent.Slice, Sent.Epoch}));
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
  auto Forwarded = Next.step(ClaimsReceived{Update.Slice, Update.Epoch,
                                            Update.Claims, false, std::nullopt},
                             at(0ms), wall(0ms));
  CHECK_TRUE(Forwarded.at(0) == Action(AnswerCaller{2, Ticket, true}));
}

TEST(HomeMachine, AnOutcomeThatIsNeverReportedBecomesUnknown) {
  // Guards against callers that wait forever at the new home: the slice is
  // handed over with a call open, and the old home is killed before it reports
  // the outcome.
  Claim Open{Key, ClaimState::Sent, "f", {}, Minted};
  step(ClaimsReceived{sliceOf(Key), 3, {Open}, true, std::nullopt});
  step(SliceGranted{sliceOf(Key), 3, GrantReason::Handover});
  call(1);
  Now = 30s;
  CHECK_TRUE(step(Tick{}).at(0) == Action(ReportUnknownOutcome{1}));
}

TEST(HomeMachine, TheOldHomeStillAnswersForKeysThatItRan) {
  // Guards against "not run" for a key that ran: the call is answered, the
  // slice is handed over, and an entry with outdated homes sends the retry to
  // the old home.
  grant(GrantReason::Initial);
  call(1);
  step(TargetAnswered{Key, Ticket});
  step(HandoverRequested{sliceOf(Key), "next"});
  step(HandoverAcknowledged{sliceOf(Key), 3});
  step(GrantCommitted{sliceOf(Key), 3});
  CHECK_TRUE(call(2).at(0) == Action(AnswerCaller{2, Ticket, true}));
}

TEST(HomeMachine, ALateAcknowledgementDoesNotEndTheNextAttempt) {
  // Guards against a key that runs at both homes: a handover is abandoned, a
  // key runs, and the acknowledgment of the first handover arrives during a
  // second one, whose claims the successor has not stored yet.
  grant(GrantReason::Initial);
  step(HandoverRequested{sliceOf(Key), "next"});
  step(HandoverFailed{sliceOf(Key)});
  call(1);
  step(HandoverRequested{sliceOf(Key), "next"});
  CHECK_TRUE(step(HandoverAcknowledged{sliceOf(Key), 3}).empty());
  CHECK_TRUE(step(HandoverAcknowledged{sliceOf(Key), 5}).at(0) ==
             Action(CommitGrant{sliceOf(Key), "next", 1, 5}));
}

TEST(HomeMachine, ClaimsOfAnAbandonedHandoverAreNotComplete) {
  // Guards against a key that runs at both homes: claims are sent, the handover
  // is abandoned, a key runs at the old home, which dies, and the successor
  // takes over. The grant must not have the epoch of the handover, whose claims
  // lack the key.
  step(ClaimsReceived{sliceOf(Key), 3, {}, true, std::nullopt});
  uint64_t Epoch = nextTakeoverEpoch(1);
  CHECK_TRUE(Epoch != nextHandoverEpoch(1));
  step(SliceGranted{sliceOf(Key), Epoch, GrantReason::Handover});
  CHECK_TRUE(call(1).at(0) == Action(ReportUnknownOutcome{1}));
}

TEST_GROUP(SliceMap){};

TEST(SliceMap, AnAddedHomeMovesOnlyItsShare) {
  std::vector<std::string> Three{"a", "b", "c"};
  std::vector<std::string> Four{"a", "b", "c", "d"};
  GrantTable Table;
  for (const Move &Move : SliceMap::plan(Table, Three, {}, {}))
    Table[Move.Slice] = {Move.To, Move.Epoch};
  size_t Moved = 0;
  for (const Move &Move : SliceMap::plan(Table, Four, {}, {})) {
    CHECK_TRUE(Move.To == "d" && Move.Reason == MoveReason::Handover);
    ++Moved;
  }
  CHECK_TRUE(Moved > 0 && Moved < SliceCount / 2);
}

TEST(SliceMap, OnlyAHomeThatIsProvenGoneLosesItsSlices) {
  // Guards against two homes that serve one slice: an unreachable home may
  // still be running, so its slices must not be granted to another home.
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
