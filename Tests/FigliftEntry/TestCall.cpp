//===- TestCall.cpp - Calls over broken, late and crossed attempts --------===//
//
// Fake agents misbehave in each way that the network allows.
//
//===----------------------------------------------------------------------===//

#include "EntryFixtures.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using test::CallBench;
using test::eventually;
using test::FakeAgent;
using Asked = FakeAgent::Asked;

namespace {

void sendWhole(const Asked &Call, uint32_t Total) {
  Call.accept();
  const uint32_t First = Call.What == wire::Method::Run
                             ? Call.Run.completion().first_token()
                             : Call.Resume.first_token();
  for (uint32_t Index = First; Index < Total; ++Index)
    Call.token(Index, std::to_string(Index));
  Call.finish(Total);
}

/// Of four tokens two come, and nothing more; who goes on gets the rest.
void streamHalf(const Asked &Call) {
  if (Call.Run.completion().first_token() > 0)
    return sendWhole(Call, 4);
  Call.accept();
  Call.token(0, "0");
  Call.token(1, "1");
}

bool hasText(const test::FakeCaller &Caller, const std::string &Text) {
  return Caller.Answer.Body.find("\"text\":\"" + Text + "\"") !=
         std::string::npos;
}

} // namespace

TEST_GROUP(Call) {
  CallBench Bench;

  /// The target has failed so often that it is left out; the last time \p Ago.
  void excludeTarget(const std::string &Id, std::chrono::seconds Ago) {
    for (unsigned Each = 0; Each < retry::HealthSettings().FailuresToEject;
         ++Each)
      Bench.health().health(Id)->recordFailure(BootClock::now() - Ago);
  }
  /// One slot is held, with a target that failed \p Ago and another one; how
  /// many holds the first of them gets.
  size_t holdsAtTargetThatFailed(std::chrono::seconds Ago) {
    FakeAgent Back([](const Asked &Call) { Call.answer("back"); });
    FakeAgent Other([](const Asked &Call) { Call.answer("other"); });
    Bench.add("back", "booking-core", Back);
    Bench.add("other", "booking-core", Other);
    excludeTarget("back", Ago);
    const auto Caller = Bench.call(Bench.slotHold());
    CHECK_TRUE(eventually([&] { return Caller->answered(); }));
    return Back.count();
  }
};

TEST(Call, FramesOfOthersAndOfThePastAreDropped) {
  // Symptom: a family reads a part of another family's note, or a word twice.
  // Sequence: frames of an earlier attempt, or repeated ones, arrive between
  // those of the live attempt.
  // Cause: frames taken by the stream they came on, not by their ids and
  // positions.
  FakeAgent Agent([](const Asked &Call) {
    Call.accept();
    Call.token(0, "0");
    Call.token(0, "0");
    wire::RunFrame Crossed = Call.frame();
    Crossed.set_attempt_id("another");
    Crossed.mutable_tokens()->set_first_index(1);
    Crossed.mutable_tokens()->set_count(1);
    Crossed.mutable_tokens()->set_text("wrong");
    Call.send(Crossed);
    Call.token(1, "1");
    Call.finish(2);
  });
  Bench.add("t1", "lm-desk", Agent);
  const auto Caller = Bench.call(Bench.completion(2));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "01"));
  CHECK_EQUAL(2.0, Bench.Counters.FramesDropped.value());
}

TEST(Call, AGapIsFilledByResumingAtTheSameAgent) {
  FakeAgent Agent([](const Asked &Call) {
    if (Call.What == wire::Method::Resume)
      return sendWhole(Call, 3);
    Call.accept();
    Call.token(0, "0");
    Call.token(2, "2");
  });
  Bench.add("t1", "lm-desk", Agent);
  const auto Caller = Bench.call(Bench.completion(3));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "012"));
  CHECK_EQUAL(2u, Agent.count());
  CHECK_EQUAL(1u, Agent.asked()[1].Resume.first_token());
}

TEST(Call, AnEndThatCameTooSoonIsNotTakenForTheWholeAnswer) {
  FakeAgent Agent([](const Asked &Call) {
    if (Call.What == wire::Method::Resume)
      return sendWhole(Call, 3);
    Call.accept();
    Call.token(0, "0");
    Call.finish(3);
  });
  Bench.add("t1", "lm-desk", Agent);
  const auto Caller = Bench.call(Bench.completion(3));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "012"));
}

TEST(Call, AnAnswerGoesOnElsewhereAfterTheTokensDelivered) {
  // Symptom: a plant supervisor's answer stops in the middle of a sentence.
  // Sequence: the agent that streams it dies; a resume finds nobody.
  // Cause: the answer was bound to one target.
  FakeAgent First(streamHalf), Second(streamHalf);
  Bench.add("t1", "lm-desk", First);
  Bench.add("t2", "lm-desk", Second);
  const auto Caller = Bench.call(Bench.completion(4));
  CHECK_TRUE(eventually([&] { return Bench.Counters.Tokens.value() == 2.0; }));
  FakeAgent &Dying = First.count() == 1 ? First : Second;
  FakeAgent &Other = First.count() == 1 ? Second : First;
  Dying.stop();
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "0123"));
  CHECK_EQUAL(1u, Other.count());
  STRCMP_EQUAL("01",
               Other.asked()[0].Run.completion().delivered_text().c_str());
}

// Failure: an answer ends in the middle, as no target is expected to finish it
// in time: it can't be refused any more, and goes on until its deadline.
TEST(Call, ABegunAnswerGoesOnThoughItsEndIsExpectedTooLate) {
  FakeAgent First(streamHalf), Second(streamHalf);
  Bench.add("t1", "lm-desk", First);
  Bench.add("t2", "lm-desk", Second);
  const auto Caller = Bench.call(Bench.completion(4));
  CHECK_TRUE(eventually([&] { return Bench.Counters.Tokens.value() == 2.0; }));
  // Measured while the machine was busy: a minute for each token.
  route::TargetLoad Slow;
  Slow.PrefillTokensPerSecond = 1000;
  Slow.MaximumSequences = 8;
  Slow.DecodeTokensPerSecond = 8.0 / 60;
  Bench.report("t1", Slow);
  Bench.report("t2", Slow);
  (First.count() == 1 ? First : Second).stop();
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "0123"));
}

// Failure: an engine that is back gets no work for as long as another is
// measured better: the attempt that may be its probe goes there.
TEST(Call, AProbeGoesToItsTargetThoughAnotherIsMeasuredBetter) {
  const auto Answer = [](const Asked &Call) { sendWhole(Call, 1); };
  FakeAgent Back(Answer), Better(Answer);
  Bench.add("back", "lm-desk", Back);
  Bench.add("better", "lm-desk", Better);
  route::TargetLoad Load;
  Load.PrefillTokensPerSecond = 8000;
  Load.MaximumSequences = 8;
  Load.DecodeTokensPerSecond = 80;
  Bench.report("back", Load);
  Load.DecodeTokensPerSecond = 800;
  Bench.report("better", Load);
  excludeTarget("back", std::chrono::seconds(1));
  for (unsigned Each = 1; Each <= 3; ++Each) {
    const auto Caller = Bench.call(Bench.completion(1));
    CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  }
  CHECK_EQUAL(1u, Back.count());
  CHECK_EQUAL(2u, Better.count());
}

// Failure: work that may run once is lost in a probe.
TEST(Call, AProbeIsNoWorkThatMayNotBeRepeated) {
  CHECK_EQUAL(0u, holdsAtTargetThatFailed(std::chrono::seconds(1)));
}

// Failure: a service that only gets work which may run once never uses a target
// again that is back.
TEST(Call, WorkThatMayNotBeRepeatedProbesWhenNothingElseComes) {
  CHECK_EQUAL(1u, holdsAtTargetThatFailed(std::chrono::seconds(10)));
}

TEST(Call, AStreamOfEventsEndsWithDone) {
  FakeAgent Agent([](const Asked &Call) { sendWhole(Call, 2); });
  Bench.add("t1", "lm-desk", Agent);
  const auto Caller = Bench.call(Bench.completion(2, true));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_EQUAL(4u, Caller->Events.size());
  STRCMP_EQUAL("[DONE]", Caller->Events.back().c_str());
}

TEST(Call, ARefusalGoesToAnotherTarget) {
  std::atomic<int> Runs{0};
  auto Script = [&](const Asked &Call) {
    if (Runs++ == 0)
      return Call.refuse(ResultCode::Draining);
    sendWhole(Call, 1);
  };
  FakeAgent First(Script), Second(Script);
  Bench.add("t1", "lm-desk", First);
  Bench.add("t2", "lm-desk", Second);
  const auto Caller = Bench.call(Bench.completion(1));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "0"));
  CHECK_EQUAL(1u, First.count());
  CHECK_EQUAL(1u, Second.count());
}

TEST(Call, WorkThatMayNotBeRepeatedIsSentOnce) {
  // Symptom: two schools hold one child's slot.
  // Sequence: the link breaks after the call was handed over; the entry sends
  // it to the other target, and both ran it.
  // Cause: a lost answer taken for a call that did not run.
  FakeAgent First([](const Asked &Call) { Call.Answer->cancel(); });
  FakeAgent Second([](const Asked &Call) { Call.Answer->cancel(); });
  Bench.add("t1", "booking-core", First);
  Bench.add("t2", "booking-core", Second);
  const auto Caller = Bench.call(Bench.slotHold());
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::OutcomeUnknown == Caller->Problem->Code);
  CHECK_EQUAL(1u, First.count() + Second.count());
}

TEST(Call, WorkThatWasProvablyNotProcessedIsSentAgain) {
  std::atomic<int> Runs{0};
  auto Script = [&](const Asked &Call) {
    if (Runs++ == 0)
      return Call.Answer->refuse();
    Call.answer("held");
  };
  FakeAgent First(Script), Second(Script);
  Bench.add("t1", "booking-core", First);
  Bench.add("t2", "booking-core", Second);
  const auto Caller = Bench.call(Bench.slotHold());
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  STRCMP_EQUAL("held", Caller->Answer.Body.c_str());
}

TEST(Call, ALostAnswerOfAKeyedCallIsAskedOfTheSameHome) {
  std::atomic<int> Runs{0};
  FakeAgent Home([&](const Asked &Call) {
    if (Runs++ == 0)
      return Call.Answer->cancel();
    Call.answer("held");
  });
  FakeAgent Other([](const Asked &Call) { Call.answer("doubled"); });
  Bench.add("t1", "booking-core", Home);
  Bench.add("t2", "booking-core", Other);
  Bench.makeHome("t1", "booking-core");
  const auto Caller = Bench.call(Bench.slotHold("key-1"));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  STRCMP_EQUAL("held", Caller->Answer.Body.c_str());
  CHECK_EQUAL(0u, Other.count());
  const auto Calls = Home.asked();
  STRCMP_EQUAL("key-1", Calls[1].Run.idempotency_key().c_str());
  STRCMP_EQUAL(Calls[0].Run.fingerprint().c_str(),
               Calls[1].Run.fingerprint().c_str());
  CHECK_EQUAL(3u, Calls[0].Run.slice_epoch());
}

TEST(Call, AKeyWithoutAReachableHomeIsRefusedAsNotRun) {
  FakeAgent Other([](const Asked &Call) { Call.answer("doubled"); });
  Bench.add("t2", "booking-core", Other);
  Bench.makeHome("t1", "booking-core");
  const auto Caller = Bench.call(Bench.slotHold("key-1"));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::HomeUnreachable == Caller->Problem->Code);
  CHECK_TRUE(Caller->Problem->RetryAfter.has_value());
  CHECK_EQUAL(0u, Other.count());
}

TEST(Call, NotRunIsNeverSaidOnceAnAttemptMayHaveRun) {
  // Symptom: a caller told "not run" books again, and two vans come.
  // Sequence: the home's answer is lost; asked again, the home is draining and
  // refuses.
  // Cause: the last attempt's refusal taken for the whole request's.
  std::atomic<int> Runs{0};
  FakeAgent Home([&](const Asked &Call) {
    if (Runs++ == 0)
      return Call.Answer->cancel();
    Call.refuse(ResultCode::Draining);
  });
  Bench.add("t1", "booking-core", Home);
  Bench.makeHome("t1", "booking-core");
  const auto Caller = Bench.call(Bench.slotHold("key-1"));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::OutcomeUnknown == Caller->Problem->Code);
}

TEST(Call, APassedDeadlineEndsTheAttempt) {
  FakeAgent Agent([](const Asked &Call) { Call.accept(); });
  Bench.add("t1", "lm-desk", Agent);
  entry::CallerRequest Request = Bench.completion(1);
  Request.Deadline = std::chrono::milliseconds(100);
  const auto Caller = Bench.call(std::move(Request));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::DeadlineExceeded == Caller->Problem->Code);
  CHECK_TRUE(eventually([&] { return Agent.asked()[0].Ended->load(); }));
}

TEST(Call, ACallerWhoLeavesEndsTheAttempt) {
  FakeAgent Agent([](const Asked &Call) {
    Call.accept();
    Call.token(0, "0");
  });
  Bench.add("t1", "lm-desk", Agent);
  const auto Caller = Bench.call(Bench.completion(9, true));
  CHECK_TRUE(eventually([&] { return Caller->begun(); }));
  Caller->leave();
  CHECK_TRUE(eventually([&] { return Agent.asked()[0].Ended->load(); }));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
}

TEST(Call, WorkRefusedBeforeAnyAgentIsCountedAsDemand) {
  // Symptom: the planner sees little demand while callers are turned away.
  // Sequence: the entry refuses because no target can take the work; then an
  // agent refuses, which counts the work itself.
  // Cause: demand was read from agents alone.
  Bench.publish();
  const entry::RefusedWork Totals(Bench.Metrics, "lm-desk");
  const auto Early = Bench.call(Bench.completion(7));
  CHECK_TRUE(eventually([&] { return Early->answered(); }));
  CHECK_EQUAL(7, Totals.DecodeTokens.value());
  CHECK_TRUE(Totals.PrefillTokens.value() > 0);

  FakeAgent Agent(
      [](const Asked &Call) { Call.refuse(ResultCode::Overloaded); });
  Bench.add("t1", "lm-desk", Agent);
  const auto Late = Bench.call(Bench.completion(7));
  CHECK_TRUE(eventually([&] { return Late->answered(); }));
  CHECK_EQUAL(7, Totals.DecodeTokens.value());
}
