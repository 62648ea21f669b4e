//===- TestRetryDecision.cpp - After the end of an attempt ------*- C++ -*-===//
//
// Every end of an attempt against every kind of request.
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
  /// Never spent by the tests that only look at decisions.
  RetryBudget Budget{{1.0, 100000}};
  RequestHistory Request;
  BootTime Now{std::chrono::seconds(100)};

  Decision after(const AttemptEnd &End) {
    return decide(Settings, Request, End, Budget, Now);
  }
  GiveUp givesUp(const AttemptEnd &End) {
    const Decision What = after(End);
    CHECK(std::holds_alternative<GiveUp>(What));
    const auto *Final = std::get_if<GiveUp>(&What);
    return Final ? *Final : GiveUp{};
  }
  void useNonRepeatable(bool Keyed) {
    Request.Repeatable = false;
    Request.Keyed = Keyed;
  }
  static std::vector<AttemptEnd> everyEnd() {
    std::vector<AttemptEnd> Ends{CallerGone{}, NothingSent{}};
    for (const StreamEnd End :
         {StreamEnd::Finished, StreamEnd::ResetByPeer,
          StreamEnd::ProvablyNotProcessed, StreamEnd::NeverSent,
          StreamEnd::ConnectionLost, StreamEnd::Cancelled})
      Ends.push_back(StreamBroke{End});
    for (const ResultCodeInfo &Info : resultCodeTable()) {
      Ends.push_back(AgentRefused{Info.Code, {}});
      Ends.push_back(TargetFailed{Info.Code});
    }
    return Ends;
  }
};

TEST(RetryDecision, ProofOfNotRunLetsAnyUnkeyedRequestGoElsewhere) {
  useNonRepeatable(false);
  for (const AttemptEnd &End :
       std::vector<AttemptEnd>{StreamBroke{StreamEnd::NeverSent},
                               StreamBroke{StreamEnd::ProvablyNotProcessed},
                               AgentRefused{ResultCode::Draining, {}},
                               AgentRefused{ResultCode::Overloaded, {}}})
    CHECK(std::holds_alternative<RetryElsewhere>(after(End)));
}

// Symptom: two vans drive to one pickup.
// Sequence: the agent hands the call to the target, then the link breaks in
// any of the ways a link can break; the entry sends the call again.
// Cause: a lost answer taken for a call that was not made.
TEST(RetryDecision, NonRepeatableWorkIsNeverRunAgainAfterHandOff) {
  useNonRepeatable(false);
  for (const AttemptEnd &End : everyEnd()) {
    if (!mayHaveRun(Request, End))
      continue;
    for (const bool Accepted : {false, true}) {
      Request.AcceptedSeen = Accepted;
      const Decision What = after(End);
      CHECK(!std::holds_alternative<RetryElsewhere>(What));
      CHECK(!std::holds_alternative<ContinueElsewhere>(What));
      CHECK(!std::holds_alternative<AskHomeAgain>(What));
      if (const auto *Final = std::get_if<GiveUp>(&What))
        CHECK(Final->Executed != Execution::NotRun);
    }
  }
}

// Symptom: a caller is told "not run", books again, and is billed twice.
// Sequence: the first attempt was handed over and lost, the next one is
// refused by every target.
// Cause: the code of the last attempt taken for that of the request.
TEST(RetryDecision, NotRunIsSaidOnlyWhenNoAttemptMayHaveRun) {
  for (const bool Repeatable : {false, true})
    for (const AttemptEnd &End : everyEnd()) {
      Request.Repeatable = Repeatable;
      Request.EarlierMayHaveRun = true;
      Request.Attempts = Settings.MaximumAttempts;
      const Decision What = after(End);
      if (const auto *Final = std::get_if<GiveUp>(&What)) {
        CHECK(Final->Executed == Execution::MayHaveRun);
        CHECK(resultCodeInfo(Final->Code).Executed != Execution::NotRun);
      }
    }
}

TEST(RetryDecision, RefusedResumeProvesNothingAboutItsRun) {
  useNonRepeatable(false);
  Request.AcceptedSeen = true;
  CHECK(std::holds_alternative<ResumeSame>(
      after(StreamBroke{StreamEnd::ConnectionLost})));
  Request.Resumes = 1;
  for (const AttemptEnd &End :
       std::vector<AttemptEnd>{AgentRefused{ResultCode::AnswerNoLongerHeld, {}},
                               AgentRefused{ResultCode::Draining, {}}}) {
    const GiveUp Final = givesUp(End);
    CHECK(Final.Code == ResultCode::OutcomeUnknown);
    CHECK(Final.Executed == Execution::MayHaveRun);
  }
  // A resume that never left may be tried again.
  CHECK(std::holds_alternative<ResumeSame>(
      after(StreamBroke{StreamEnd::NeverSent})));
}

TEST(RetryDecision, KeyedWorkGoesOnlyToItsHome) {
  useNonRepeatable(true);
  for (const AttemptEnd &End : everyEnd()) {
    const Decision What = after(End);
    CHECK(!std::holds_alternative<RetryElsewhere>(What));
    CHECK(!std::holds_alternative<ContinueElsewhere>(What));
  }
  CHECK(std::holds_alternative<AskHomeAgain>(
      after(AgentRefused{ResultCode::HomeMoved, {}})));
  CHECK(std::holds_alternative<AskHomeAgain>(
      after(StreamBroke{StreamEnd::ConnectionLost})));
  Request.Attempts = Settings.MaximumAttempts;
  CHECK(givesUp(StreamBroke{StreamEnd::NeverSent}).Code ==
        ResultCode::HomeUnreachable);
  CHECK(givesUp(StreamBroke{StreamEnd::ConnectionLost}).Code ==
        ResultCode::OutcomeUnknown);
}

// Symptom: the caller's text stops in the middle, or begins again.
// Sequence: the engine dies after 12 tokens were delivered.
// Cause: a new attempt that starts at token 0, or none at all.
TEST(RetryDecision, RepeatableAnswerContinuesAfterDeliveredTokens) {
  Request.TokensDelivered = 12;
  Request.AcceptedSeen = true;
  const Decision What = after(TargetFailed{});
  CHECK(std::holds_alternative<ContinueElsewhere>(What));
  LONGS_EQUAL(12, std::get<ContinueElsewhere>(What).FirstToken);
  CHECK(std::holds_alternative<ResumeSame>(
      after(StreamBroke{StreamEnd::ConnectionLost})));
  Request.Resumes = Settings.MaximumResumes;
  CHECK(std::holds_alternative<ContinueElsewhere>(
      after(StreamBroke{StreamEnd::ConnectionLost})));
}

// Symptom: answers end with TargetFailed a second after their engine crashed,
// a moment before it is back.
// Sequence: an engine crashes and restarts, the link to the other is cut; each
// attempt fails at once, on a machine that is busy.
// Cause: runs were counted, however little time they had taken.
TEST(RetryDecision, BegunAnswerOutlivesARestart) {
  Request.TokensDelivered = 12;
  Request.Deadline = Now + std::chrono::seconds(30);
  Request.Runs = 3 * Settings.MaximumRuns;
  Request.LastToken = Now - Settings.RestartTime / 2;
  CHECK(std::holds_alternative<ContinueElsewhere>(after(TargetFailed{})));
  Request.LastToken = Now - Settings.RestartTime;
  CHECK(givesUp(TargetFailed{}).Code == ResultCode::TargetFailed);
}

// Symptom: answers stop in the middle although an engine is free.
// Sequence: an engine with many sequences crashes and spends the budget; the
// targets that are left restart or drain for a moment.
// Cause: an answer that has begun ended like one that can still be refused.
TEST(RetryDecision, BegunAnswerGoesOnUntilItsDeadline) {
  while (Budget.spend()) {
  }
  Request.TokensDelivered = 12;
  Request.Deadline = Now + std::chrono::seconds(10);
  Request.Runs = Settings.MaximumRuns - 2;
  Request.Attempts = 10 * Settings.MaximumAttempts;
  const std::vector<AttemptEnd> NotRun{
      StreamBroke{StreamEnd::NeverSent}, AgentRefused{ResultCode::NotReady, {}},
      AgentRefused{ResultCode::Overloaded, {}}, NothingSent{}};
  CHECK(std::holds_alternative<ContinueElsewhere>(after(TargetFailed{})));
  for (const AttemptEnd &End : NotRun)
    CHECK(std::holds_alternative<ContinueElsewhere>(after(End)));
  ++Request.Runs;
  CHECK(givesUp(TargetFailed{}).Code == ResultCode::TargetFailed);
  for (const AttemptEnd &End : NotRun)
    CHECK(std::holds_alternative<ContinueElsewhere>(after(End)));
  Request.Deadline = Now;
  for (const AttemptEnd &End : NotRun)
    CHECK(givesUp(End).Code == ResultCode::DeadlineExceeded);
}

// Failure: a completion with a minute left ends with an unknown outcome, as the
// links of three agents that stood still were given up one after the other.
TEST(RetryDecision, RepeatableWorkOutlivesLinksThatAreLostTogether) {
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.EarlierMayHaveRun = true;
  Request.Attempts = Settings.MaximumAttempts;
  Request.LinksLost = Now - Settings.RestartTime + milliseconds(1);
  const std::vector<AttemptEnd> Lost{StreamBroke{StreamEnd::ConnectionLost},
                                     StreamBroke{StreamEnd::NeverSent},
                                     NothingSent{}};
  for (const AttemptEnd &End : Lost)
    CHECK(std::holds_alternative<RetryElsewhere>(after(End)));
  Request.LinksLost = Now - Settings.RestartTime;
  for (const AttemptEnd &End : Lost)
    CHECK(givesUp(End).Executed == Execution::MayHaveRun);
}

// Failure: as above, for more requests than the budget has retries.
TEST(RetryDecision, RepeatableWorkWaitsForTheBudgetWhenLinksAreLost) {
  while (Budget.spend()) {
  }
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.LinksLost = Now;
  CHECK(std::holds_alternative<WaitForBudget>(
      after(StreamBroke{StreamEnd::ConnectionLost})));
  Request.EarlierMayHaveRun = true;
  const NothingSent Waited{ResultCode::RetryBudgetSpent, {}};
  CHECK(std::holds_alternative<WaitForBudget>(after(Waited)));
  Budget.earn();
  CHECK(std::holds_alternative<RetryElsewhere>(after(Waited)));
  Request.LinksLost = Now - Settings.RestartTime;
  CHECK(givesUp(Waited).Executed == Execution::MayHaveRun);
}

// Failure: a prompt under which engines crash gets one after the other.
TEST(RetryDecision, AnswersOfAgentsKeepTheBoundOnAttempts) {
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.EarlierMayHaveRun = true;
  Request.Attempts = Settings.MaximumAttempts;
  CHECK(givesUp(TargetFailed{}).Code == ResultCode::TargetFailed);
  CHECK(givesUp(StreamBroke{StreamEnd::ResetByPeer}).Code ==
        ResultCode::OutcomeUnknown);
}

// Failure: what has not run waits for a target that may never come, though its
// caller could go elsewhere.
TEST(RetryDecision, WorkThatHasNotRunIsRefusedAtOnceForWantOfATarget) {
  Request.Deadline = Now + std::chrono::seconds(57);
  Request.LinksLost = Now;
  CHECK(givesUp(NothingSent{}).Executed == Execution::NotRun);
}

TEST(RetryDecision, CallersFaultsAreNotRetried) {
  for (const ResultCode Code :
       {ResultCode::InvalidInput, ResultCode::UnknownModel,
        ResultCode::KeyReusedForOtherRequest, ResultCode::KeyTooFarAhead}) {
    const GiveUp Final = givesUp(AgentRefused{Code, {}});
    CHECK(Final.Code == Code);
    CHECK(Final.Executed == Execution::NotRun);
  }
}

TEST(RetryDecision, DeadlineEndsRetries) {
  Request.Deadline = Now + milliseconds(5);
  const GiveUp Soon =
      givesUp(AgentRefused{ResultCode::Overloaded, milliseconds(80)});
  CHECK(Soon.Code == ResultCode::Overloaded);
  CHECK(Soon.RetryAfter == milliseconds(80));
  Request.Deadline = Now;
  CHECK(givesUp(AgentRefused{}).Code == ResultCode::DeadlineUnreachable);
  CHECK(givesUp(StreamBroke{}).Code == ResultCode::DeadlineExceeded);
}

// Symptom: a rolling drain makes requests fail although engines are free.
// Sequence: failures elsewhere have spent the budget; a drained target
// refuses a request.
// Cause: planned refusals paid from the budget meant for failures.
TEST(RetryDecision, PlannedRefusalsCostNoBudget) {
  while (Budget.spend()) {
  }
  CHECK(std::holds_alternative<RetryElsewhere>(
      after(AgentRefused{ResultCode::Draining, {}})));
  CHECK(std::holds_alternative<RetryElsewhere>(
      after(StreamBroke{StreamEnd::NeverSent})));
  const GiveUp Final = givesUp(AgentRefused{ResultCode::Overloaded, {}});
  CHECK(Final.Code == ResultCode::RetryBudgetSpent);
  CHECK(Final.Executed == Execution::NotRun);
  CHECK(Final.RetryAfter.has_value());
  CHECK(givesUp(TargetFailed{}).Code == ResultCode::TargetFailed);
}

TEST(RetryDecision, DelaysGrowAndStayBounded) {
  milliseconds Last{0};
  Settings.MaximumAttempts = 20;
  for (Request.Attempts = 1; Request.Attempts < 20; ++Request.Attempts) {
    const Decision What = after(AgentRefused{ResultCode::Draining, {}});
    const milliseconds Delay = std::get<RetryElsewhere>(What).Delay;
    CHECK(Delay >= Last && Delay <= Settings.MaximumDelay);
    Last = Delay;
  }
  CHECK(Last == Settings.MaximumDelay);
}
