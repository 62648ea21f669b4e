//===- TestAdmission.cpp - Admission control of one target ------*- C++ -*-===//
//
// The admission state machine: classes, deadlines, limits and reported load.
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
  Admission Controller{settings()};

  static AdmissionSettings settings() {
    AdmissionSettings Settings;
    Settings.MaximumSequences = 10;
    Settings.MaximumPrefillAtTarget = 4000;
    return Settings;
  }

  std::vector<Action> arrive(
      const std::string &Id, ServiceClass Class, uint32_t PromptTokens = 100,
      uint32_t MaximumTokens = 10, std::optional<milliseconds> TimeLeft = {}) {
    Work Request{Id, Class, PromptTokens, 0, MaximumTokens, {}};
    if (TimeLeft)
      Request.Deadline = Now + *TimeLeft;
    return Controller.step(RequestArrived{Request}, Now);
  }

  template <typename T> static unsigned count(const std::vector<Action> &All) {
    return std::ranges::count_if(All, [](const Action &Step) {
      return std::holds_alternative<T>(Step);
    });
  }

  static ResultCode refusal(const std::vector<Action> &All) {
    const auto *Refusal =
        All.empty() ? nullptr : std::get_if<Refuse>(&All.front());
    return Refusal ? Refusal->Code : ResultCode::Success;
  }

  /// Runs one request alone, so that the speeds are measured: 8000 prompt
  /// tokens and 100 output tokens of a sequence per second.
  void measure() {
    arrive("measure", ServiceClass::Interactive, 800, 11);
    Now += milliseconds(100);
    Controller.step(FirstToken{"measure", 0}, Now);
    Now += milliseconds(100);
    Controller.step(Progress{"measure", 10}, Now);
    Controller.step(RequestEnded{"measure"}, Now);
  }
};

TEST(Admission, MeasuresSpeedsFromEvents) {
  measure();
  const auto Load = Controller.load(Now);
  DOUBLES_EQUAL(8000, Load.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(1000, Load.DecodeTokensPerSecond, 1);
  LONGS_EQUAL(0, Load.prefillTotal());
  LONGS_EQUAL(0, Load.DecodeTokensWaiting);
  LONGS_EQUAL(800, Controller.offeredPrefillTokens());
  LONGS_EQUAL(11, Controller.offeredDecodeTokens());
  // Speeds are kept unless the target has stopped accepting work in between.
  Controller.step(AcceptingChanged{true}, Now);
  CHECK(Controller.load(Now).PrefillTokensPerSecond > 0);
  Controller.step(AcceptingChanged{false}, Now);
  arrive("elsewhere", ServiceClass::Interactive);
  LONGS_EQUAL(800, Controller.offeredPrefillTokens());
  Controller.step(AcceptingChanged{true}, Now);
  LONGS_EQUAL(0, Controller.load(Now).PrefillTokensPerSecond);
}

TEST(Admission, LoadReflectsEachStageOfARequest) {
  CHECK_EQUAL(1u,
              count<Admit>(arrive("a", ServiceClass::Interactive, 3000, 20)));
  CHECK_EQUAL(1u,
              count<Enqueue>(arrive("b", ServiceClass::Interactive, 2000, 20)));
  LONGS_EQUAL(5000, Controller.load(Now).prefillTotal());
  LONGS_EQUAL(40, Controller.load(Now).DecodeTokensWaiting);
  LONGS_EQUAL(1, Controller.load(Now).WaitingRequests);
  // The prompt tokens at the target are limited, so b is admitted after the
  // first token of a.
  Now += milliseconds(300);
  CHECK_EQUAL(1u, count<Admit>(Controller.step(FirstToken{"a", 1000}, Now)));
  LONGS_EQUAL(2000, Controller.load(Now).prefillTotal());
  Controller.step(Progress{"a", 5}, Now + milliseconds(50));
  LONGS_EQUAL(34, Controller.load(Now).DecodeTokensWaiting);
  Controller.step(RequestEnded{"a"}, Now);
  Controller.step(RequestEnded{"b"}, Now);
  LONGS_EQUAL(0, Controller.load(Now).prefillTotal());
  LONGS_EQUAL(0, Controller.load(Now).DecodeTokensWaiting);
  LONGS_EQUAL(0, Controller.atTarget());
  // Late and duplicate events have no effect.
  Controller.step(RequestEnded{"a"}, Now);
  Controller.step(Progress{"a", 5}, Now);
  LONGS_EQUAL(0, Controller.load(Now).DecodeTokensWaiting);
}

// Guards against immediate calls that are refused, or wait, because of a batch:
// background work fills its queue and its sequence slots, and must not share
// them with more urgent classes.
TEST(Admission, BackgroundWorkDoesNotDelayImmediateWork) {
  measure();
  unsigned RefusedCount = 0;
  for (int I = 0; I < 200; ++I)
    RefusedCount += count<Refuse>(
        arrive("batch-" + std::to_string(I), ServiceClass::Background, 1000));
  CHECK(RefusedCount > 100);
  for (int I = 0; I < 5; ++I)
    CHECK_EQUAL(1u, count<Admit>(arrive("hold-" + std::to_string(I),
                                        ServiceClass::Immediate, 100, 2,
                                        milliseconds(500))));
}

TEST(Admission, WithoutSharesBackgroundWorkTakesAllSlots) {
  AdmissionSettings EqualShares = settings();
  EqualShares.MaximumPrefillAtTarget = 100000;
  for (ClassSettings &Class : EqualShares.Classes)
    Class.Share = 1.0;
  Controller.step(SettingsChanged{EqualShares}, Now);
  for (int I = 0; I < 10; ++I)
    arrive("batch-" + std::to_string(I), ServiceClass::Background);
  CHECK_EQUAL(1u, count<Enqueue>(arrive("hold", ServiceClass::Immediate)));
}

TEST(Admission, MoreUrgentQueuedWorkIsAdmittedFirst) {
  for (int I = 0; I < 10; ++I)
    arrive("call-" + std::to_string(I), ServiceClass::Immediate);
  arrive("batch", ServiceClass::Background);
  arrive("question", ServiceClass::Interactive);
  arrive("hold", ServiceClass::Immediate);
  const auto Actions = Controller.step(RequestEnded{"call-0"}, Now);
  CHECK_EQUAL(1u, count<Admit>(Actions));
  STRCMP_EQUAL("hold", std::get<Admit>(Actions.front()).Id.c_str());
}

TEST(Admission, RefusesWorkThatCannotMeetItsDeadline) {
  measure();
  // 0.5 s of prefill and 1 s of decode.
  CHECK(refusal(arrive("late", ServiceClass::Interactive, 4000, 101,
                       milliseconds(1400))) == ResultCode::DeadlineUnreachable);
  CHECK_EQUAL(1u, count<Admit>(arrive("good", ServiceClass::Interactive, 4000,
                                      101, milliseconds(1600))));
  const auto SecondRequest = arrive("behind", ServiceClass::Interactive, 4000,
                                    101, milliseconds(1600));
  CHECK(refusal(SecondRequest) == ResultCode::DeadlineUnreachable);
  CHECK(std::get<Refuse>(SecondRequest.front()).RetryAfter ==
        milliseconds(500));
}

// Guards against running work past its deadline: work is queued in time, the
// engine stalls, and the deadline passes before a sequence slot is free, so
// deadlines must be checked again while work is queued.
TEST(Admission, QueuedWorkPastItsDeadlineIsRefused) {
  arrive("stalled", ServiceClass::Interactive, 4000);
  arrive("waits", ServiceClass::Interactive, 1000, 10, milliseconds(2000));
  LONGS_EQUAL(0, Controller.step(Tick{}, Now + milliseconds(1000)).size());
  const auto Expired = Controller.step(Tick{}, Now + milliseconds(2001));
  CHECK(refusal(Expired) == ResultCode::DeadlineUnreachable);
  LONGS_EQUAL(0, Controller.queued());
  LONGS_EQUAL(4000, Controller.load(Now).prefillTotal());
}

TEST(Admission, DrainRefusesQueuedWorkAndLetsTheTargetFinish) {
  arrive("runs", ServiceClass::Interactive, 4000);
  arrive("waits", ServiceClass::Interactive, 1000);
  const auto Actions =
      Controller.step(AcceptingChanged{false, ResultCode::Draining}, Now);
  CHECK(refusal(Actions) == ResultCode::Draining);
  STRCMP_EQUAL("waits", std::get<Refuse>(Actions.front()).Id.c_str());
  LONGS_EQUAL(1, Controller.atTarget());
  CHECK(refusal(arrive("new", ServiceClass::Immediate)) ==
        ResultCode::Draining);
  Controller.step(RequestEnded{"runs"}, Now);
  Controller.step(AcceptingChanged{true}, Now);
  CHECK_EQUAL(1u, count<Admit>(arrive("again", ServiceClass::Immediate)));
}

TEST(Admission, QueueLimitsTokensButAcceptsOneLongPrompt) {
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
  LONGS_EQUAL(1, Controller.atTarget());
}

TEST(Admission, ServiceCallsCountAsOneToken) {
  for (int I = 0; I < 4; ++I)
    arrive("call-" + std::to_string(I), ServiceClass::Immediate, 1, 0);
  Now += milliseconds(100);
  for (int I = 0; I < 4; ++I)
    Controller.step(RequestEnded{"call-" + std::to_string(I)}, Now);
  LONGS_EQUAL(0, Controller.load(Now).prefillTotal());
  CHECK(Controller.load(Now).PrefillTokensPerSecond > 0);
}
