//===- TestRetryDecision.cpp - Decision after an attempt --------*- C++ -*-===//
//
// Combines the ends of an attempt with the kinds of requests.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/RetryDecision.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::retry;
using std::chrono::milliseconds;
using wire::StreamEnd;

TEST_GROUP(RetryDecision) {
  RetrySettings Settings;
  /// Large enough not to limit the tests that only check decisions.
  RetryBudget Budget{{1.0, 100000}};
  RequestHistory Request;
  BootTime Now{std::chrono::seconds(100)};

  Decision after(const AttemptEnd &End) {
    return decide(Settings, Request, End, Budget, Now);
  }
  GiveUp expectGiveUp(const AttemptEnd &End) {
    const Decision Next = after(End);
    CHECK(std::holds_alternative<GiveUp>(Next));
    const auto *Final = std::get_if<GiveUp>(&Next);
    return Final ? *Final : GiveUp{};
  }
  void useNonRepeatable(bool Keyed) {
    Request.Repeatable = false;
    Request.Keyed = Keyed;
  }
  static std::vector<AttemptEnd> allAttemptEnds() {
    std::vector<AttemptEnd> Ends{CallerDisconnected{}, NothingSent{}};
    for (const StreamEnd End :
         {StreamEnd::Finished, StreamEnd::ResetByPeer,
          StreamEnd::ProvablyNotProcessed, StreamEnd::NeverSent,
          StreamEnd::ConnectionLost, StreamEnd::Cancelled})
      Ends.push_back(StreamInterrupted{End});
    for (const ResultCodeInfo &Info : resultCodeTable()) {
      Ends.push_back(AgentRefused{Info.Code, {}});
      Ends.push_back(TargetFailed{Info.Code});
    }
    return Ends;
  }
};

TEST(RetryDecision, UnkeyedRequestIsRetriedAfterProofOfNotRun) {
  useNonRepeatable(false);
  for (const AttemptEnd &End : std::vector<AttemptEnd>{
           StreamInterrupted{StreamEnd::NeverSent},
           StreamInterrupted{StreamEnd::ProvablyNotProcessed},
           AgentRefused{ResultCode::Draining, {}},
           AgentRefused{ResultCode::Overloaded, {}}})
    CHECK(std::holds_alternative<RetryElsewhere>(after(End)));
}

// Guards against running non-repeatable work twice: the agent hands the call to
// the target, the link is lost in any of the possible ways, and the entry takes
// the missing answer for a call that was not made and retries it.
TEST(RetryDecision, NonRepeatableWorkIsNotRetriedAfterHandOff) {
  useNonRepeatable(false);
  for (const AttemptEnd &End : allAttemptEnds()) {
    if (!mayHaveRun(Request, End))
      continue;
    for (const bool Accepted : {false, true}) {
      Request.AcceptedSeen = Accepted;
      const Decision Next = after(End);
      CHECK(!std::holds_alternative<RetryElsewhere>(Next));
      CHECK(!std::holds_alternative<ContinueElsewhere>(Next));
      CHECK(!std::holds_alternative<RetryAtHome>(Next));
      if (const auto *Final = std::get_if<GiveUp>(&Next))
        CHECK(Final->Executed != Execution::NotRun);
    }
  }
}

// Guards against a false "not run", after which the caller sends the request
// again and it runs twice: the first attempt is handed over and its answer is
// lost, the next one is refused by every target, and the code of that last
// attempt is returned for the whole request.
TEST(RetryDecision, NotRunIsReturnedOnlyIfNoAttemptMayHaveRun) {
  for (const bool Repeatable : {false, true})
    for (const AttemptEnd &End : allAttemptEnds()) {
      Request.Repeatable = Repeatable;
      Request.EarlierMayHaveRun = true;
      Request.Attempts = Settings.MaximumAttempts;
      const Decision Next = after(End);
      if (const auto *Final = std::get_if<GiveUp>(&Next)) {
        CHECK(Final->Executed == Execution::MayHaveRun);
        CHECK(resultCodeInfo(Final->Code).Executed != Execution::NotRun);
      }
    }
}

TEST(RetryDecision, RefusedResumeDoesNotProveNotRun) {
  useNonRepeatable(false);
  Request.AcceptedSeen = true;
  CHECK(std::holds_alternative<ResumeAttempt>(
      after(StreamInterrupted{StreamEnd::ConnectionLost})));
  Request.Resumes = 1;
  for (const AttemptEnd &End :
       std::vector<AttemptEnd>{AgentRefused{ResultCode::AnswerNoLongerHeld, {}},
                               AgentRefused{ResultCode::Draining, {}}}) {
    const GiveUp Final = expectGiveUp(End);
    CHECK(Final.Code == ResultCode::OutcomeUnknown);
    CHECK(Final.Executed == Execution::MayHaveRun);
  }
  // A resume that was never sent may be retried.
  CHECK(std::holds_alternative<ResumeAttempt>(
      after(StreamInterrupted{StreamEnd::NeverSent})));
}

TEST(RetryDecision, KeyedWorkGoesOnlyToItsHome) {
  useNonRepeatable(true);
  for (const AttemptEnd &End : allAttemptEnds()) {
    const Decision Next = after(End);
    CHECK(!std::holds_alternative<RetryElsewhere>(Next));
    CHECK(!std::holds_alternative<ContinueElsewhere>(Next));
  }
  CHECK(std::holds_alternative<RetryAtHome>(
      after(AgentRefused{ResultCode::HomeMoved, {}})));
  CHECK(std::holds_alternative<RetryAtHome>(
      after(StreamInterrupted{StreamEnd::ConnectionLost})));
  Request.Attempts = Settings.MaximumAttempts;
  CHECK(expectGiveUp(StreamInterrupted{StreamEnd::NeverSent}).Code ==
        ResultCode::HomeUnreachable);
  CHECK(expectGiveUp(StreamInterrupted{StreamEnd::ConnectionLost}).Code ==
        ResultCode::OutcomeUnknown);
}

// Guards against answers that are truncated or start over: the engine crashes
// after 12 tokens were delivered, and the next attempt starts at token 0 or is
// not made.
TEST(RetryDecision, RepeatableAnswerContinuesAfterDeliveredTokens) {
  Request.TokensDelivered = 12;
  Request.AcceptedSeen = true;
  const Decision Next = after(TargetFailed{});
  CHECK(std::holds_alternative<ContinueElsewhere>(Next));
  LONGS_EQUAL(12, std::get<ContinueElsewhere>(Next).FirstToken);
  CHECK(std::holds_alternative<ResumeAttempt>(
      after(StreamInterrupted{StreamEnd::ConnectionLost})));
  Request.Resumes = Settings.MaximumResumes;
  CHECK(std::holds_alternative<ContinueElsewhere>(
      after(StreamInterrupted{StreamEnd::ConnectionLost})));
}

// Guards against answers that end with TargetFailed a second after a crash,
// shortly before the engine has restarted: one engine restarts and the link to
// the other is lost, so attempts fail immediately and reach the limit on runs,
// which does not consider how little time has passed.
TEST(RetryDecision, StartedAnswerSurvivesAnEngineRestart) {
  Request.TokensDelivered = 12;
  Request.Deadline = Now + std::chrono::seconds(30);
  Request.Runs = 3 * Settings.MaximumRuns;
  Request.LastToken = Now - Settings.RestartTime / 2;
  CHECK(std::holds_alternative<ContinueElsewhere>(after(TargetFailed{})));
  Request.LastToken = Now - Settings.RestartTime;
  CHECK(expectGiveUp(TargetFailed{}).Code == ResultCode::TargetFailed);
}

// Guards against answers that are truncated although an engine is free: the
// failures of an engine with many sequences spend the budget while the other
// targets restart or drain. An answer that has started can no longer be
// refused, so it must not end like one that can.
TEST(RetryDecision, StartedAnswerIsRetriedUntilItsDeadline) {
  while (Budget.spend()) {
  }
  Request.TokensDelivered = 12;
  Request.Deadline = Now + std::chrono::seconds(10);
  Request.Runs = Settings.MaximumRuns - 2;
  Request.Attempts = 10 * Settings.MaximumAttempts;
  const std::vector<AttemptEnd> NotRun{StreamInterrupted{StreamEnd::NeverSent},
                                       AgentRefused{ResultCode::NotReady, {}},
                                       AgentRefused{ResultCode::Overloaded, {}},
                                       NothingSent{}};
  CHECK(std::holds_alternative<ContinueElsewhere>(after(TargetFailed{})));
  for (const AttemptEnd &End : NotRun)
    CHECK(std::holds_alternative<ContinueElsewhere>(after(End)));
  ++Request.Runs;
  CHECK(expectGiveUp(TargetFailed{}).Code == ResultCode::TargetFailed);
  for (const AttemptEnd &End : NotRun)
    CHECK(std::holds_alternative<ContinueElsewhere>(after(End)));
  Request.Deadline = Now;
  for (const AttemptEnd &End : NotRun)
    CHECK(expectGiveUp(End).Code == ResultCode::DeadlineExceeded);
}

// Guards against an unknown outcome for a completion with a minute left until
// its deadline: the links to three stalled agents are lost one after the other,
// and each loss uses up an attempt.
TEST(RetryDecision, RepeatableWorkSurvivesConsecutiveLostLinks) {
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.EarlierMayHaveRun = true;
  Request.Attempts = Settings.MaximumAttempts;
  Request.LinksLostSince = Now - Settings.RestartTime + milliseconds(1);
  const std::vector<AttemptEnd> LostLinkEnds{
      StreamInterrupted{StreamEnd::ConnectionLost},
      StreamInterrupted{StreamEnd::NeverSent}, NothingSent{}};
  for (const AttemptEnd &End : LostLinkEnds)
    CHECK(std::holds_alternative<RetryElsewhere>(after(End)));
  Request.LinksLostSince = Now - Settings.RestartTime;
  for (const AttemptEnd &End : LostLinkEnds)
    CHECK(expectGiveUp(End).Executed == Execution::MayHaveRun);
}

// Guards against an unknown outcome for a slot hold while its home stalls: the
// key is at no other agent, and each try to reach the home uses up an attempt.
TEST(RetryDecision, KeyedWorkWaitsForItsHome) {
  useNonRepeatable(true);
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.EarlierMayHaveRun = true;
  Request.Attempts = 3 * Settings.MaximumAttempts;
  Request.LinksLostSince = Now - Settings.RestartTime + milliseconds(1);
  const std::vector<AttemptEnd> LostHomeEnds{
      StreamInterrupted{StreamEnd::ConnectionLost},
      StreamInterrupted{StreamEnd::NeverSent},
      NothingSent{ResultCode::HomeUnreachable, {}}};
  for (const AttemptEnd &End : LostHomeEnds)
    CHECK(std::holds_alternative<RetryAtHome>(after(End)));
  Request.LinksLostSince = Now - Settings.RestartTime;
  for (const AttemptEnd &End : LostHomeEnds)
    CHECK(expectGiveUp(End).Code == ResultCode::OutcomeUnknown);
  // A hold that no home has seen is refused, so that its caller may go on.
  Request.EarlierMayHaveRun = false;
  Request.LinksLostSince = Now;
  CHECK(expectGiveUp(NothingSent{ResultCode::HomeUnreachable, {}}).Executed ==
        Execution::NotRun);
}

// As above, with more requests than the budget has retries.
TEST(RetryDecision, RepeatableWorkWaitsForBudgetWhenLinksAreLost) {
  while (Budget.spend()) {
  }
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.LinksLostSince = Now;
  CHECK(std::holds_alternative<WaitForBudget>(
      after(StreamInterrupted{StreamEnd::ConnectionLost})));
  Request.EarlierMayHaveRun = true;
  const NothingSent BudgetSpent{ResultCode::RetryBudgetSpent, {}};
  CHECK(std::holds_alternative<WaitForBudget>(after(BudgetSpent)));
  Budget.earn();
  CHECK(std::holds_alternative<RetryElsewhere>(after(BudgetSpent)));
  Request.LinksLostSince = Now - Settings.RestartTime;
  CHECK(expectGiveUp(BudgetSpent).Executed == Execution::MayHaveRun);
}

// Guards against a prompt that crashes one engine after the other: only lost
// links extend the limit on attempts, not answers from agents.
TEST(RetryDecision, AgentAnswersDoNotExtendTheAttemptLimit) {
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.EarlierMayHaveRun = true;
  Request.Attempts = Settings.MaximumAttempts;
  CHECK(expectGiveUp(TargetFailed{}).Code == ResultCode::TargetFailed);
  CHECK(expectGiveUp(StreamInterrupted{StreamEnd::ResetByPeer}).Code ==
        ResultCode::OutcomeUnknown);
}

// Guards against holding a request that has not run, until a target becomes
// available, although its caller could send it elsewhere.
TEST(RetryDecision, WorkThatHasNotRunIsRefusedAtOnceWithoutATarget) {
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.LinksLostSince = Now;
  CHECK(expectGiveUp(NothingSent{}).Executed == Execution::NotRun);
}

TEST(RetryDecision, CallerErrorsAreNotRetried) {
  for (const ResultCode Code :
       {ResultCode::InvalidInput, ResultCode::UnknownModel,
        ResultCode::KeyReusedForOtherRequest, ResultCode::KeyTooFarAhead}) {
    const GiveUp Final = expectGiveUp(AgentRefused{Code, {}});
    CHECK(Final.Code == Code);
    CHECK(Final.Executed == Execution::NotRun);
  }
}

TEST(RetryDecision, DeadlineEndsRetries) {
  Request.Deadline = Now + milliseconds(5);
  const GiveUp BeforeDeadline =
      expectGiveUp(AgentRefused{ResultCode::Overloaded, milliseconds(80)});
  CHECK(BeforeDeadline.Code == ResultCode::Overloaded);
  CHECK(BeforeDeadline.RetryAfter == milliseconds(80));
  Request.Deadline = Now;
  CHECK(expectGiveUp(AgentRefused{}).Code == ResultCode::DeadlineUnreachable);
  CHECK(expectGiveUp(StreamInterrupted{}).Code == ResultCode::DeadlineExceeded);
}

// Guards against requests that fail during a rolling drain although engines are
// free: failures of other requests have spent the budget, a draining target
// refuses a request, and its retry is charged to the same budget.
TEST(RetryDecision, PlannedRefusalsCostNoBudget) {
  while (Budget.spend()) {
  }
  CHECK(std::holds_alternative<RetryElsewhere>(
      after(AgentRefused{ResultCode::Draining, {}})));
  CHECK(std::holds_alternative<RetryElsewhere>(
      after(StreamInterrupted{StreamEnd::NeverSent})));
  const GiveUp Final = expectGiveUp(AgentRefused{ResultCode::Overloaded, {}});
  CHECK(Final.Code == ResultCode::RetryBudgetSpent);
  CHECK(Final.Executed == Execution::NotRun);
  CHECK(Final.RetryAfter.has_value());
  CHECK(expectGiveUp(TargetFailed{}).Code == ResultCode::TargetFailed);
}

TEST(RetryDecision, DelaysGrowAndStayBounded) {
  milliseconds Last{0};
  Settings.MaximumAttempts = 20;
  for (Request.Attempts = 1; Request.Attempts < 20; ++Request.Attempts) {
    const Decision Next = after(AgentRefused{ResultCode::Draining, {}});
    const milliseconds Delay = std::get<RetryElsewhere>(Next).Delay;
    CHECK(Delay >= Last && Delay <= Settings.MaximumDelay);
    Last = Delay;
  }
  CHECK(Last == Settings.MaximumDelay);
}
