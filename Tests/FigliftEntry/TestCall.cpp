//===- TestCall.cpp - Calls with lost, late and mixed-up attempts ---------===//
//
// Fake agents lose connections, drop, repeat and mix up frames.
//
//===----------------------------------------------------------------------===//

#include "EntryFixtures.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using test::CallFixture;
using test::eventually;
using test::FakeAgent;
using ReceivedCall = FakeAgent::ReceivedCall;

namespace {

void sendFullAnswer(const ReceivedCall &Call, uint32_t Total) {
  Call.accept();
  const uint32_t First = Call.Method == wire::Method::Run
                             ? Call.Run.completion().first_token()
                             : Call.Resume.first_token();
  for (uint32_t Index = First; Index < Total; ++Index)
    Call.token(Index, std::to_string(Index));
  Call.finish(Total);
}

/// Sends two of four tokens and then stalls. An attempt that continues the
/// answer receives the remaining tokens.
void sendPartialAnswer(const ReceivedCall &Call) {
  if (Call.Run.completion().first_token() > 0)
    return sendFullAnswer(Call, 4);
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
  CallFixture Fixture;

  /// Ejects the target by repeated failures that happened \p Ago.
  void ejectTarget(const std::string &Id, std::chrono::seconds Ago) {
    for (unsigned Index = 0; Index < retry::HealthSettings().FailuresToEject;
         ++Index)
      Fixture.health().health(Id)->recordFailure(BootClock::now() - Ago);
  }
  /// Sends one non-repeatable call while a target ejected \p Ago and a healthy
  /// target are available. Returns the number of calls at the ejected target.
  size_t callsAtEjectedTarget(std::chrono::seconds Ago) {
    FakeAgent Ejected([](const ReceivedCall &Call) { Call.answer("back"); });
    FakeAgent Other([](const ReceivedCall &Call) { Call.answer("other"); });
    Fixture.add("back", "booking-core", Ejected);
    Fixture.add("other", "booking-core", Other);
    ejectTarget("back", Ago);
    const auto Caller = Fixture.call(Fixture.slotReservation());
    CHECK_TRUE(eventually([&] { return Caller->answered(); }));
    return Ejected.count();
  }
};

TEST(Call, DropsDuplicatesAndFramesOfOtherAttempts) {
  // Guards against answers that contain text of another request, or text twice.
  // This happens when frames of another attempt, or duplicates, arrive on the
  // stream of the live attempt and are matched by stream instead of by attempt
  // id and token index.
  FakeAgent Agent([](const ReceivedCall &Call) {
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
  Fixture.add("t1", "lm-desk", Agent);
  const auto Caller = Fixture.call(Fixture.completion(2));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "01"));
  CHECK_EQUAL(2.0, Fixture.Counters.FramesDropped.value());
}

TEST(Call, ResumesAtTheSameAgentAfterMissingTokens) {
  FakeAgent Agent([](const ReceivedCall &Call) {
    if (Call.Method == wire::Method::Resume)
      return sendFullAnswer(Call, 3);
    Call.accept();
    Call.token(0, "0");
    Call.token(2, "2");
  });
  Fixture.add("t1", "lm-desk", Agent);
  const auto Caller = Fixture.call(Fixture.completion(3));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "012"));
  CHECK_EQUAL(2u, Agent.count());
  CHECK_EQUAL(1u, Agent.calls()[1].Resume.first_token());
}

TEST(Call, ResumesWhenTheAttemptFinishesTooEarly) {
  FakeAgent Agent([](const ReceivedCall &Call) {
    if (Call.Method == wire::Method::Resume)
      return sendFullAnswer(Call, 3);
    Call.accept();
    Call.token(0, "0");
    Call.finish(3);
  });
  Fixture.add("t1", "lm-desk", Agent);
  const auto Caller = Fixture.call(Fixture.completion(3));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "012"));
}

TEST(Call, ContinuesOnAnotherTargetAfterDeliveredTokens) {
  // Guards against answers that stop in the middle. This happens when the agent
  // that streams an answer fails, the resume cannot reach it, and the answer is
  // bound to that target.
  FakeAgent First(sendPartialAnswer), Second(sendPartialAnswer);
  Fixture.add("t1", "lm-desk", First);
  Fixture.add("t2", "lm-desk", Second);
  const auto Caller = Fixture.call(Fixture.completion(4));
  CHECK_TRUE(
      eventually([&] { return Fixture.Counters.Tokens.value() == 2.0; }));
  FakeAgent &Failing = First.count() == 1 ? First : Second;
  FakeAgent &Other = First.count() == 1 ? Second : First;
  Failing.stop();
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "0123"));
  CHECK_EQUAL(1u, Other.count());
  STRCMP_EQUAL("01",
               Other.calls()[0].Run.completion().delivered_text().c_str());
}

// Guards against answers that stop in the middle because no target is expected
// to finish them in time. A started answer can no longer be refused and
// continues until its deadline.
TEST(Call, ContinuesStartedAnswerThatIsExpectedToEndLate) {
  FakeAgent First(sendPartialAnswer), Second(sendPartialAnswer);
  Fixture.add("t1", "lm-desk", First);
  Fixture.add("t2", "lm-desk", Second);
  const auto Caller = Fixture.call(Fixture.completion(4));
  CHECK_TRUE(
      eventually([&] { return Fixture.Counters.Tokens.value() == 2.0; }));
  // Reports of overloaded targets: one minute per token.
  route::TargetLoad Slow;
  Slow.PrefillTokensPerSecond = 1000;
  Slow.MaximumSequences = 8;
  Slow.DecodeTokensPerSecond = 8.0 / 60;
  Fixture.report("t1", Slow);
  Fixture.report("t2", Slow);
  (First.count() == 1 ? First : Second).stop();
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "0123"));
}

// Guards against a recovered engine that receives no work as long as another
// engine has better measurements, because the probe is sent to the other one.
TEST(Call, ProbesEjectedTargetEvenIfAnotherIsFaster) {
  const auto Answer = [](const ReceivedCall &Call) { sendFullAnswer(Call, 1); };
  FakeAgent Ejected(Answer), Faster(Answer);
  Fixture.add("back", "lm-desk", Ejected);
  Fixture.add("better", "lm-desk", Faster);
  route::TargetLoad Load;
  Load.PrefillTokensPerSecond = 8000;
  Load.MaximumSequences = 8;
  Load.DecodeTokensPerSecond = 80;
  Fixture.report("back", Load);
  Load.DecodeTokensPerSecond = 800;
  Fixture.report("better", Load);
  ejectTarget("back", std::chrono::seconds(1));
  for (unsigned Index = 1; Index <= 3; ++Index) {
    const auto Caller = Fixture.call(Fixture.completion(1));
    CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  }
  CHECK_EQUAL(1u, Ejected.count());
  CHECK_EQUAL(2u, Faster.count());
}

// Guards against the loss of non-repeatable work in a failed probe.
TEST(Call, DoesNotProbeWithNonRepeatableWork) {
  CHECK_EQUAL(0u, callsAtEjectedTarget(std::chrono::seconds(1)));
}

// Guards against a service that receives only non-repeatable work and therefore
// never uses a recovered target again.
TEST(Call, ProbesWithNonRepeatableWorkWhenOverdue) {
  CHECK_EQUAL(1u, callsAtEjectedTarget(std::chrono::seconds(10)));
}

TEST(Call, EndsEventStreamWithDone) {
  FakeAgent Agent([](const ReceivedCall &Call) { sendFullAnswer(Call, 2); });
  Fixture.add("t1", "lm-desk", Agent);
  const auto Caller = Fixture.call(Fixture.completion(2, true));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_EQUAL(4u, Caller->Events.size());
  STRCMP_EQUAL("[DONE]", Caller->Events.back().c_str());
}

TEST(Call, RetriesRefusedWorkOnAnotherTarget) {
  std::atomic<int> Runs{0};
  auto Script = [&](const ReceivedCall &Call) {
    if (Runs++ == 0)
      return Call.refuse(ResultCode::Draining);
    sendFullAnswer(Call, 1);
  };
  FakeAgent First(Script), Second(Script);
  Fixture.add("t1", "lm-desk", First);
  Fixture.add("t2", "lm-desk", Second);
  const auto Caller = Fixture.call(Fixture.completion(1));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK_TRUE(hasText(*Caller, "0"));
  CHECK_EQUAL(1u, First.count());
  CHECK_EQUAL(1u, Second.count());
}

TEST(Call, SendsNonRepeatableWorkOnce) {
  // Guards against two executions of a non-repeatable call. This happens when
  // the connection is lost after the call was sent, the lost answer is treated
  // as proof that the call did not run, and the entry retries it on another
  // target.
  FakeAgent First([](const ReceivedCall &Call) { Call.Answer->cancel(); });
  FakeAgent Second([](const ReceivedCall &Call) { Call.Answer->cancel(); });
  Fixture.add("t1", "booking-core", First);
  Fixture.add("t2", "booking-core", Second);
  const auto Caller = Fixture.call(Fixture.slotReservation());
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::OutcomeUnknown == Caller->Problem->Code);
  CHECK_EQUAL(1u, First.count() + Second.count());
}

TEST(Call, RetriesWorkThatWasNotProcessed) {
  std::atomic<int> Runs{0};
  auto Script = [&](const ReceivedCall &Call) {
    if (Runs++ == 0)
      return Call.Answer->refuse();
    Call.answer("held");
  };
  FakeAgent First(Script), Second(Script);
  Fixture.add("t1", "booking-core", First);
  Fixture.add("t2", "booking-core", Second);
  const auto Caller = Fixture.call(Fixture.slotReservation());
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  STRCMP_EQUAL("held", Caller->Answer.Body.c_str());
}

TEST(Call, RetriesKeyedCallAtTheSameHome) {
  std::atomic<int> Runs{0};
  FakeAgent Home([&](const ReceivedCall &Call) {
    if (Runs++ == 0)
      return Call.Answer->cancel();
    Call.answer("held");
  });
  FakeAgent Other([](const ReceivedCall &Call) { Call.answer("doubled"); });
  Fixture.add("t1", "booking-core", Home);
  Fixture.add("t2", "booking-core", Other);
  Fixture.makeHome("t1", "booking-core");
  const auto Caller = Fixture.call(Fixture.slotReservation("key-1"));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  STRCMP_EQUAL("held", Caller->Answer.Body.c_str());
  CHECK_EQUAL(0u, Other.count());
  const auto Calls = Home.calls();
  STRCMP_EQUAL("key-1", Calls[1].Run.idempotency_key().c_str());
  STRCMP_EQUAL(Calls[0].Run.fingerprint().c_str(),
               Calls[1].Run.fingerprint().c_str());
  CHECK_EQUAL(3u, Calls[0].Run.slice_epoch());
}

TEST(Call, RefusesKeyWithoutReachableHome) {
  FakeAgent Other([](const ReceivedCall &Call) { Call.answer("doubled"); });
  Fixture.add("t2", "booking-core", Other);
  Fixture.makeHome("t1", "booking-core");
  const auto Caller = Fixture.call(Fixture.slotReservation("key-1"));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::HomeUnreachable == Caller->Problem->Code);
  CHECK_TRUE(Caller->Problem->RetryAfter.has_value());
  CHECK_EQUAL(0u, Other.count());
}

TEST(Call, ReportsUnknownOutcomeOnceAnAttemptMayHaveRun) {
  // Guards against a caller that is told "not run" and repeats a call that has
  // run. This happens when the home's answer is lost, the home refuses the
  // retry because it is draining, and the refusal is taken as the result of the
  // whole request.
  std::atomic<int> Runs{0};
  FakeAgent Home([&](const ReceivedCall &Call) {
    if (Runs++ == 0)
      return Call.Answer->cancel();
    Call.refuse(ResultCode::Draining);
  });
  Fixture.add("t1", "booking-core", Home);
  Fixture.makeHome("t1", "booking-core");
  const auto Caller = Fixture.call(Fixture.slotReservation("key-1"));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::OutcomeUnknown == Caller->Problem->Code);
}

TEST(Call, CancelsAttemptAtDeadline) {
  FakeAgent Agent([](const ReceivedCall &Call) { Call.accept(); });
  Fixture.add("t1", "lm-desk", Agent);
  entry::CallerRequest Request = Fixture.completion(1);
  Request.Deadline = std::chrono::milliseconds(100);
  const auto Caller = Fixture.call(std::move(Request));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
  CHECK(ResultCode::DeadlineExceeded == Caller->Problem->Code);
  CHECK_TRUE(eventually([&] { return Agent.calls()[0].Ended->load(); }));
}

TEST(Call, CancelsAttemptWhenCallerDisconnects) {
  FakeAgent Agent([](const ReceivedCall &Call) {
    Call.accept();
    Call.token(0, "0");
  });
  Fixture.add("t1", "lm-desk", Agent);
  const auto Caller = Fixture.call(Fixture.completion(9, true));
  CHECK_TRUE(eventually([&] { return Caller->hasEvents(); }));
  Caller->disconnect();
  CHECK_TRUE(eventually([&] { return Agent.calls()[0].Ended->load(); }));
  CHECK_TRUE(eventually([&] { return Caller->answered(); }));
}

TEST(Call, CountsWorkRefusedByTheEntryAsDemand) {
  // Guards against a planner that sees little demand while callers are
  // rejected. This happens when only agents report demand: the entry itself
  // refuses work that no target can accept. Work that an agent refuses is
  // counted by the agent and must not be counted again.
  Fixture.publish();
  const entry::RefusedWork Totals(Fixture.Metrics, "lm-desk");
  const auto Early = Fixture.call(Fixture.completion(7));
  CHECK_TRUE(eventually([&] { return Early->answered(); }));
  CHECK_EQUAL(7, Totals.DecodeTokens.value());
  CHECK_TRUE(Totals.PrefillTokens.value() > 0);

  FakeAgent Agent(
      [](const ReceivedCall &Call) { Call.refuse(ResultCode::Overloaded); });
  Fixture.add("t1", "lm-desk", Agent);
  const auto Late = Fixture.call(Fixture.completion(7));
  CHECK_TRUE(eventually([&] { return Late->answered(); }));
  CHECK_EQUAL(7, Totals.DecodeTokens.value());
}
