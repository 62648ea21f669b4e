//===- TestAnswerStore.cpp - Answers held for resumption ------------------===//
//
// Lost connections, resumption and limits of held answers, without a network.
//
//===----------------------------------------------------------------------===//

#include "LibStream/AnswerStore.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::stream;
using namespace std::chrono_literals;

namespace {
constexpr RunId Run = 7;
constexpr ReaderId First = 1;
constexpr ReaderId Second = 2;

struct Fixture {
  AnswerStore Store{
      {.MaximumBytes = 64, .DetachedTime = 10s, .DeliveredTime = 5s}};
  BootTime Now{};

  std::vector<Action> step(const Event &Input) {
    return Store.step(Input, Now);
  }
  /// Produces the tokens [Begin, End).
  void produce(uint32_t Begin, uint32_t End, RunId Producer = Run) {
    for (uint32_t Index = Begin; Index < End; ++Index)
      step(TokenProduced{Producer, Index, "t" + std::to_string(Index % 10)});
  }
};

/// The action of \p Actions if it is the only one and a T, else null.
template <typename T> const T *only(const std::vector<Action> &Actions) {
  return Actions.size() == 1 ? std::get_if<T>(&Actions.front()) : nullptr;
}
} // namespace

TEST_GROUP(AnswerStore), Fixture{};

TEST(AnswerStore, ResumesAtTheOffsetAfterABrokenLink) {
  // Symptom: an answer is truncated or runs twice.
  // Sequence: the connection is lost after two tokens, the engine continues,
  // another entry resumes the answer.
  // Cause: a run ended with the stream that had requested it.
  step(RunStarted{"r", Run, First, 0});
  produce(0, 2);
  CHECK(step(ReaderLost{First}).empty());
  produce(2, 4);
  const auto Resumed = step(ReaderResumed{"r", Second, 1});
  const auto *Remaining = only<SendTokens>(Resumed);
  CHECK(Remaining != nullptr);
  LONGS_EQUAL(1, Remaining->Tokens.FirstIndex);
  LONGS_EQUAL(3, Remaining->Tokens.Count);
  STRCMP_EQUAL("t1t2t3", Remaining->Tokens.Text.c_str());
  const auto End = step(RunEnded{Run, Completed{4, "stop", 0, ""}});
  CHECK(only<SendOutcome>(End)->Reader == Second);
}

TEST(AnswerStore, IsResumableWithoutAReaderUnlessTheRunFailed) {
  // Symptom: two callers repeatedly detach each other from one answer.
  // Sequence: both send requests with the same idempotency key.
  // Cause: an answer is passed to a new reader although it has one.
  CHECK_FALSE(Store.isResumable("r"));
  step(RunStarted{"r", Run, First, 0});
  CHECK_FALSE(Store.isResumable("r"));
  step(ReaderLost{First});
  CHECK_TRUE(Store.isResumable("r"));
  step(ReaderResumed{"r", Second, 0});
  CHECK_FALSE(Store.isResumable("r"));
  step(RunEnded{Run, Completed{0, "stop", 0, ""}});
  CHECK_TRUE(Store.isResumable("r"));

  step(RunStarted{"broken", Run + 1, First, 0});
  step(RunEnded{Run + 1, Error{ResultCode::TargetFailed, "", {}, {}}});
  CHECK_FALSE(Store.isResumable("broken"));
}

TEST(AnswerStore, EndThatCameWithoutAReaderIsDeliveredOnResume) {
  step(RunStarted{"r", Run, First, 3});
  step(ReaderLost{First});
  produce(3, 5);
  CHECK(step(RunEnded{Run, Completed{5, "stop", 0, ""}}).empty());
  const auto Actions = step(ReaderResumed{"r", Second, 5});
  CHECK(only<SendOutcome>(Actions) != nullptr);
  CHECK(only<RejectResume>(step(ReaderResumed{"r", 3, 2})) != nullptr);
}

TEST(AnswerStore, DetachedRunIsCancelledAfterItsTime) {
  // Symptom: the engine keeps working on an abandoned request.
  // Sequence: the entry fails, and no other entry resumes the answer.
  // Cause: no limit on the time that a run has no reader.
  step(RunStarted{"r", Run, First, 0});
  step(ReaderLost{First});
  Now += 9s;
  CHECK(step(TimePassed{}).empty());
  Now += 1s;
  CHECK(only<CancelRun>(step(TimePassed{})) != nullptr);
  CHECK(only<RejectResume>(step(ReaderResumed{"r", Second, 0})) != nullptr);
  LONGS_EQUAL(0, Store.bytes());
}

TEST(AnswerStore, CancelEndsTheRunAtOnce) {
  step(RunStarted{"r", Run, First, 0});
  CHECK(only<CancelRun>(step(ReaderCancelled{First}))->Run == Run);
  CHECK(step(TokenProduced{Run, 0, "late"}).empty());
  LONGS_EQUAL(0, Store.answers());
}

TEST(AnswerStore, LateCancelOfAnOldReaderLeavesTheNewOneAlone) {
  // Symptom: a resumed answer is truncated.
  // Sequence: an entry resumes on a second stream, then the reset of the first
  // stream arrives.
  // Cause: a cancellation was applied to the run, not to the reader that sent
  // it.
  step(RunStarted{"r", Run, First, 0});
  CHECK(only<CloseReader>(step(ReaderResumed{"r", Second, 0})) != nullptr);
  CHECK(step(ReaderCancelled{First}).empty());
  CHECK(step(ReaderLost{First}).empty());
  const auto Sent = step(TokenProduced{Run, 0, "a"});
  CHECK(only<SendTokens>(Sent)->Reader == Second);
}

TEST(AnswerStore, DoubledTokensAreDroppedAndAMissingOneFailsTheRun) {
  step(RunStarted{"r", Run, First, 0});
  produce(0, 2);
  CHECK(step(TokenProduced{Run, 1, "again"}).empty());
  const auto Actions = step(TokenProduced{Run, 3, "early"});
  LONGS_EQUAL(2, Actions.size());
  CHECK(std::holds_alternative<CancelRun>(Actions[0]));
  const auto &End = std::get<SendOutcome>(Actions[1]);
  CHECK(std::get<Error>(End.Outcome).Code == ResultCode::TargetFailed);
}

TEST(AnswerStore, SecondRunOfARequestReplacesTheFirst) {
  step(RunStarted{"r", Run, First, 0});
  const auto Actions = step(RunStarted{"r", Run + 1, Second, 0});
  LONGS_EQUAL(2, Actions.size());
  CHECK(std::get<CloseReader>(Actions[0]).Reader == First);
  CHECK(std::get<CancelRun>(Actions[1]).Run == Run);
}

TEST(AnswerStore, MemoryStaysBoundedAndAttachedRunsContinue) {
  // Symptom: the agent runs out of memory.
  // Sequence: a long answer and a run without a reader fill the store.
  // Cause: no limit on the memory of held answers.
  step(RunStarted{"detached", 1, 1, 0});
  step(ReaderLost{1});
  produce(0, 5, 1);
  step(RunStarted{"attached", 2, 2, 0});
  for (uint32_t Index = 0; Index < 100; ++Index) {
    const auto Actions = step(TokenProduced{2, Index, "xx"});
    CHECK(only<SendTokens>(Actions) != nullptr);
    CHECK(Store.bytes() <= 64);
  }
  CHECK(Store.holds("detached"));
}
