//===- TestAdmission.cpp - Queue and limits of one target -------*- C++ -*-===//
//
// The admission state machine: classes, deadlines, bounds and its book.
//
//===----------------------------------------------------------------------===//

#include "LibAdmission/Admission.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::admission;
using std::chrono::milliseconds;

TEST_GROUP(Admission) {
  BootTime Now{std::chrono::seconds(100)};
  Admission Book{settings()};

  static AdmissionSettings settings() {
    AdmissionSettings Settings;
    Settings.MaximumSequences = 10;
    Settings.MaximumPrefillAtTarget = 4000;
    return Settings;
  }

  std::vector<Action> arrive(const std::string &Id, ServiceClass Class,
                             uint32_t Prompt = 100, uint32_t Maximum = 10,
                             std::optional<milliseconds> TimeLeft = {}) {
    Work Request{Id, Class, Prompt, 0, Maximum, {}};
    if (TimeLeft)
      Request.Deadline = Now + *TimeLeft;
    return Book.step(Arrived{Request}, Now);
  }

  template <typename T> static unsigned count(const std::vector<Action> &All) {
    return std::ranges::count_if(
        All, [](const Action &One) { return std::holds_alternative<T>(One); });
  }

  static ResultCode refusal(const std::vector<Action> &All) {
    const auto *Refused =
        All.empty() ? nullptr : std::get_if<Refuse>(&All.front());
    return Refused ? Refused->Code : ResultCode::Success;
  }

  /// Runs one request alone, so that the speeds are known: 8000 prompt tokens
  /// and 100 output tokens of a sequence each second.
  void measure() {
    arrive("measure", ServiceClass::Interactive, 800, 11);
    Now += milliseconds(100);
    Book.step(FirstToken{"measure", 0}, Now);
    Now += milliseconds(100);
    Book.step(Progress{"measure", 10}, Now);
    Book.step(Ended{"measure"}, Now);
  }
};

TEST(Admission, MeasuresSpeedsFromItsOwnBook) {
  measure();
  const auto Load = Book.load(Now);
  DOUBLES_EQUAL(8000, Load.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(1000, Load.DecodeTokensPerSecond, 1);
  LONGS_EQUAL(0, Load.prefillTotal());
  LONGS_EQUAL(0, Load.DecodeTokensWaiting);
  LONGS_EQUAL(800, Book.offeredPrefillTokens());
  LONGS_EQUAL(11, Book.offeredDecodeTokens());
  // Only a target that was closed comes back as another one.
  Book.step(AcceptingChanged{true}, Now);
  CHECK(Book.load(Now).PrefillTokensPerSecond > 0);
  Book.step(AcceptingChanged{false}, Now);
  arrive("elsewhere", ServiceClass::Interactive);
  LONGS_EQUAL(800, Book.offeredPrefillTokens());
  Book.step(AcceptingChanged{true}, Now);
  LONGS_EQUAL(0, Book.load(Now).PrefillTokensPerSecond);
}

TEST(Admission, LoadFollowsEachStageOfARequest) {
  CHECK_EQUAL(1u,
              count<Admit>(arrive("a", ServiceClass::Interactive, 3000, 20)));
  CHECK_EQUAL(1u,
              count<Queue>(arrive("b", ServiceClass::Interactive, 2000, 20)));
  LONGS_EQUAL(5000, Book.load(Now).prefillTotal());
  LONGS_EQUAL(40, Book.load(Now).DecodeTokensWaiting);
  LONGS_EQUAL(1, Book.load(Now).WaitingRequests);
  // The prompt tokens at the target are bounded, so b follows a's first token.
  Now += milliseconds(300);
  CHECK_EQUAL(1u, count<Admit>(Book.step(FirstToken{"a", 1000}, Now)));
  LONGS_EQUAL(2000, Book.load(Now).prefillTotal());
  Book.step(Progress{"a", 5}, Now + milliseconds(50));
  LONGS_EQUAL(34, Book.load(Now).DecodeTokensWaiting);
  Book.step(Ended{"a"}, Now);
  Book.step(Ended{"b"}, Now);
  LONGS_EQUAL(0, Book.load(Now).prefillTotal());
  LONGS_EQUAL(0, Book.load(Now).DecodeTokensWaiting);
  LONGS_EQUAL(0, Book.atTarget());
  // Events that come late, or twice, change nothing.
  Book.step(Ended{"a"}, Now);
  Book.step(Progress{"a", 5}, Now);
  LONGS_EQUAL(0, Book.load(Now).DecodeTokensWaiting);
}

// Symptom: a slot hold at the counter is refused, or waits behind a batch.
// Sequence: background work fills its queue and its places; immediate calls
// arrive at the same moment.
// Cause: one queue and one limit for all classes.
TEST(Admission, BackgroundWorkNeverRefusesOrDelaysImmediateWork) {
  measure();
  unsigned Refused = 0;
  for (int I = 0; I < 200; ++I)
    Refused += count<Refuse>(
        arrive("batch-" + std::to_string(I), ServiceClass::Background, 1000));
  CHECK(Refused > 100);
  for (int I = 0; I < 5; ++I)
    CHECK_EQUAL(1u, count<Admit>(arrive("hold-" + std::to_string(I),
                                        ServiceClass::Immediate, 100, 2,
                                        milliseconds(500))));
}

TEST(Admission, WithoutSharesBackgroundWorkTakesEveryPlace) {
  AdmissionSettings Equal = settings();
  Equal.MaximumPrefillAtTarget = 100000;
  for (ClassSettings &Class : Equal.Classes)
    Class.Share = 1.0;
  Book.step(SettingsChanged{Equal}, Now);
  for (int I = 0; I < 10; ++I)
    arrive("batch-" + std::to_string(I), ServiceClass::Background);
  CHECK_EQUAL(1u, count<Queue>(arrive("hold", ServiceClass::Immediate)));
}

TEST(Admission, MoreUrgentQueuedWorkGoesFirst) {
  for (int I = 0; I < 10; ++I)
    arrive("call-" + std::to_string(I), ServiceClass::Immediate);
  arrive("batch", ServiceClass::Background);
  arrive("question", ServiceClass::Interactive);
  arrive("hold", ServiceClass::Immediate);
  const auto First = Book.step(Ended{"call-0"}, Now);
  CHECK_EQUAL(1u, count<Admit>(First));
  STRCMP_EQUAL("hold", std::get<Admit>(First.front()).Id.c_str());
}

TEST(Admission, RefusesAtOnceWhatCannotMakeItsDeadline) {
  measure();
  // 0.5 s of prompt and 1 s of output.
  CHECK(refusal(arrive("late", ServiceClass::Interactive, 4000, 101,
                       milliseconds(1400))) == ResultCode::DeadlineUnreachable);
  CHECK_EQUAL(1u, count<Admit>(arrive("good", ServiceClass::Interactive, 4000,
                                      101, milliseconds(1600))));
  const auto Behind = arrive("behind", ServiceClass::Interactive, 4000, 101,
                             milliseconds(1600));
  CHECK(refusal(Behind) == ResultCode::DeadlineUnreachable);
  CHECK(std::get<Refuse>(Behind.front()).RetryAfter == milliseconds(500));
}

// Symptom: an engine is busy with answers that nobody waits for any more.
// Sequence: work is queued with time to spare; the engine stalls; the
// deadline passes before a place is free.
// Cause: a deadline that is looked at only on arrival.
TEST(Admission, QueuedWorkPastItsDeadlineIsRefusedNotRun) {
  arrive("stalled", ServiceClass::Interactive, 4000);
  arrive("waits", ServiceClass::Interactive, 1000, 10, milliseconds(2000));
  LONGS_EQUAL(0, Book.step(Tick{}, Now + milliseconds(1000)).size());
  const auto Late = Book.step(Tick{}, Now + milliseconds(2001));
  CHECK(refusal(Late) == ResultCode::DeadlineUnreachable);
  LONGS_EQUAL(0, Book.queued());
  LONGS_EQUAL(4000, Book.load(Now).prefillTotal());
}

TEST(Admission, DrainRefusesTheQueueAndLetsTheTargetFinish) {
  arrive("runs", ServiceClass::Interactive, 4000);
  arrive("waits", ServiceClass::Interactive, 1000);
  const auto Out =
      Book.step(AcceptingChanged{false, ResultCode::Draining}, Now);
  CHECK(refusal(Out) == ResultCode::Draining);
  STRCMP_EQUAL("waits", std::get<Refuse>(Out.front()).Id.c_str());
  LONGS_EQUAL(1, Book.atTarget());
  CHECK(refusal(arrive("new", ServiceClass::Immediate)) ==
        ResultCode::Draining);
  Book.step(Ended{"runs"}, Now);
  Book.step(AcceptingChanged{true}, Now);
  CHECK_EQUAL(1u, count<Admit>(arrive("again", ServiceClass::Immediate)));
}

TEST(Admission, QueueIsBoundedInTokensButTakesOneLongPrompt) {
  CHECK_EQUAL(
      1u, count<Admit>(arrive("roster", ServiceClass::Interactive, 200000)));
  const auto Next = arrive("next", ServiceClass::Interactive, 100);
  CHECK(refusal(Next) == ResultCode::Overloaded);
  CHECK(std::get<Refuse>(Next.front()).RetryAfter.has_value());
}

TEST(Admission, AttemptIdsMustBeUnique) {
  arrive("a", ServiceClass::Interactive);
  CHECK(refusal(arrive("a", ServiceClass::Interactive)) ==
        ResultCode::InvalidInput);
  LONGS_EQUAL(1, Book.atTarget());
}

TEST(Admission, ServiceCallsCountAsOneToken) {
  for (int I = 0; I < 4; ++I)
    arrive("call-" + std::to_string(I), ServiceClass::Immediate, 1, 0);
  Now += milliseconds(100);
  for (int I = 0; I < 4; ++I)
    Book.step(Ended{"call-" + std::to_string(I)}, Now);
  LONGS_EQUAL(0, Book.load(Now).prefillTotal());
  CHECK(Book.load(Now).PrefillTokensPerSecond > 0);
}
