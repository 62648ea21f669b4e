//===- TestAnswerStore.cpp - Answers that outlive their readers -----------===//
//
// Breaks, resumes and limits of held answers, without a network.
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

  std::vector<Action> step(const Event &What) { return Store.step(What, Now); }
  void produce(uint32_t From, uint32_t To, RunId Which = Run) {
    for (uint32_t Index = From; Index < To; ++Index)
      step(TokenProduced{Which, Index, "t" + std::to_string(Index % 10)});
  }
};

template <typename T> const T *only(const std::vector<Action> &Actions) {
  return Actions.size() == 1 ? std::get_if<T>(&Actions.front()) : nullptr;
}
} // namespace

TEST_GROUP(AnswerStore), Fixture{};

TEST(AnswerStore, ResumesAtTheOffsetAfterABrokenLink) {
  // Symptom: an answer stops in the middle, or runs twice. Events: the link
  // breaks after two tokens, the engine goes on, another entry resumes.
  // Cause: a run that is bound to the stream which asked for it.
  step(RunStarted{"r", Run, First, 0});
  produce(0, 2);
  CHECK(step(ReaderLost{First}).empty());
  produce(2, 4);
  const auto Resumed = step(ReaderResumed{"r", Second, 1});
  const auto *Rest = only<SendTokens>(Resumed);
  CHECK(Rest != nullptr);
  LONGS_EQUAL(1, Rest->Tokens.FirstIndex);
  LONGS_EQUAL(3, Rest->Tokens.Count);
  STRCMP_EQUAL("t1t2t3", Rest->Tokens.Text.c_str());
  const auto End = step(RunEnded{Run, Completed{4, "stop", 0, ""}});
  CHECK(only<SendEnding>(End)->Reader == Second);
}

TEST(AnswerStore, IsUnreadWhileItCanBecomeWholeWithoutAReader) {
  // Symptom: two callers take one answer from each other. Events: both ask
  // with the same key. Cause: an answer is given away although it is read.
  CHECK_FALSE(Store.isUnread("r"));
  step(RunStarted{"r", Run, First, 0});
  CHECK_FALSE(Store.isUnread("r"));
  step(ReaderLost{First});
  CHECK_TRUE(Store.isUnread("r"));
  step(ReaderResumed{"r", Second, 0});
  CHECK_FALSE(Store.isUnread("r"));
  step(RunEnded{Run, Completed{0, "stop", 0, ""}});
  CHECK_TRUE(Store.isUnread("r"));

  step(RunStarted{"broken", Run + 1, First, 0});
  step(RunEnded{Run + 1, Error{ResultCode::TargetFailed, "", {}, {}}});
  CHECK_FALSE(Store.isUnread("broken"));
}

TEST(AnswerStore, EndThatCameWithoutAReaderIsDeliveredOnResume) {
  step(RunStarted{"r", Run, First, 3});
  step(ReaderLost{First});
  produce(3, 5);
  CHECK(step(RunEnded{Run, Completed{5, "stop", 0, ""}}).empty());
  const auto Actions = step(ReaderResumed{"r", Second, 5});
  CHECK(only<SendEnding>(Actions) != nullptr);
  CHECK(only<RefuseResume>(step(ReaderResumed{"r", 3, 2})) != nullptr);
}

TEST(AnswerStore, DetachedRunIsCancelledAfterItsTime) {
  // Symptom: the engine works for nobody. Events: the entry dies and no other
  // one resumes. Cause: a run without a bound on its time without a reader.
  step(RunStarted{"r", Run, First, 0});
  step(ReaderLost{First});
  Now += 9s;
  CHECK(step(TimePassed{}).empty());
  Now += 1s;
  CHECK(only<CancelRun>(step(TimePassed{})) != nullptr);
  CHECK(only<RefuseResume>(step(ReaderResumed{"r", Second, 0})) != nullptr);
  LONGS_EQUAL(0, Store.bytes());
}

TEST(AnswerStore, CancelEndsTheRunAtOnce) {
  step(RunStarted{"r", Run, First, 0});
  CHECK(only<CancelRun>(step(ReaderCancelled{First}))->Run == Run);
  CHECK(step(TokenProduced{Run, 0, "late"}).empty());
  LONGS_EQUAL(0, Store.answers());
}

TEST(AnswerStore, LateCancelOfAnOldReaderLeavesTheNewOneAlone) {
  // Symptom: a resumed answer is cut. Events: an entry resumes on a second
  // stream, then the reset of the first one arrives. Cause: a cancel that is
  // taken for the run rather than for the reader that sent it.
  step(RunStarted{"r", Run, First, 0});
  CHECK(only<DismissReader>(step(ReaderResumed{"r", Second, 0})) != nullptr);
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
  const auto &End = std::get<SendEnding>(Actions[1]);
  CHECK(std::get<Error>(End.How).Code == ResultCode::TargetFailed);
}

TEST(AnswerStore, SecondRunOfARequestReplacesTheFirst) {
  step(RunStarted{"r", Run, First, 0});
  const auto Actions = step(RunStarted{"r", Run + 1, Second, 0});
  LONGS_EQUAL(2, Actions.size());
  CHECK(std::get<DismissReader>(Actions[0]).Reader == First);
  CHECK(std::get<CancelRun>(Actions[1]).Run == Run);
}

TEST(AnswerStore, MemoryStaysBoundedAndAttachedRunsGoOn) {
  // Symptom: the agent is killed for its memory. Events: a long answer and a
  // detached run fill the store. Cause: answers held without a bound.
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
