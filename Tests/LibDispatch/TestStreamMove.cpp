//===- TestStreamMove.cpp - Whether a running stream changes its engine ---===//
//
// Reasons for a move, and what forbids it.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamMove.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(StreamMove) {
  MovableStream Stream;

  void setup() override {
    Stream.Resumable = true;
    Stream.MaximumRuns = 2;
    Stream.AllowedPause = Milliseconds(150);
    Stream.BudgetLeft = 90;
    Stream.BudgetBase = 90;
  }
};

TEST(StreamMove, StaysAtAnEngineThatIsFastEnough) {
  Stream.ExpectedPause = Milliseconds(120);
  CHECK(!moveReason(Stream));
}

// Failure: an engine that was ordered to change its stage waits for seconds
// until its streams have ended, and does no other work meanwhile.
TEST(StreamMove, LeavesAnEngineThatChangesItsStage) {
  Stream.EngineChangesStage = true;
  CHECK(moveReason(Stream) == MoveReason::StageChange);
  CHECK(isWorthAMove(MoveReason::StageChange, std::nullopt, std::nullopt));
}

TEST(StreamMove, LeavesASlowEngineForAClearlyFasterOne) {
  Stream.ExpectedPause = Milliseconds(170);
  CHECK(moveReason(Stream) == MoveReason::LongPauses);
  CHECK(isWorthAMove(MoveReason::LongPauses, Milliseconds(80),
                     Stream.AllowedPause));
  CHECK(!isWorthAMove(MoveReason::LongPauses, Milliseconds(140),
                      Stream.AllowedPause));
  CHECK(
      !isWorthAMove(MoveReason::LongPauses, std::nullopt, Stream.AllowedPause));
}

// Failure: streams that are late already use up the retry budget of others.
TEST(StreamMove, DoesNotMoveAStreamThatIsLateAlready) {
  Stream.ExpectedPause = Milliseconds(170);
  Stream.LongestPause = Milliseconds(151);
  CHECK(!moveReason(Stream));
}

// Failure: a stream wanders between engines, each time with a pause.
TEST(StreamMove, MovesOnceAtMost) {
  Stream.EngineChangesStage = true;
  Stream.WasMoved = true;
  CHECK(!moveReason(Stream));
}

// Failure: a request runs on more servers than its route allows, or one runs
// twice that may not.
TEST(StreamMove, KeepsToTheRunsOfTheRoute) {
  Stream.EngineChangesStage = true;
  Stream.Runs = 2;
  CHECK(!moveReason(Stream));
  Stream.Runs = 1;
  Stream.Resumable = false;
  CHECK(!moveReason(Stream));
}

// Failure: moves use up the retry budget, and failed requests are not retried.
TEST(StreamMove, LeavesHalfOfTheBudgetToFailures) {
  Stream.EngineChangesStage = true;
  Stream.BudgetLeft = 44;
  CHECK(!moveReason(Stream));
}
