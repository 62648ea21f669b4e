//===- TestRetryRules.cpp - Whether a failed send is retried --------------===//
//
// Covers each outcome of a send with requests that may and may not be retried.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/RetryRules.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(RetryRules) {
  RetryOptions Options;
  RequestProgress Progress{false, 1, 1, 1, false, Milliseconds(500)};
  bool HasBudget = true;
  int BudgetCalls = 0;

  NextStep next(const SendOutcome &Outcome) {
    return decideNext(Options, Progress, Outcome, [this] {
      ++BudgetCalls;
      return HasBudget;
    });
  }
  bool retries(const SendOutcome &Outcome) {
    return std::holds_alternative<Retry>(next(Outcome));
  }
  unsigned status(const SendOutcome &Outcome) {
    const auto Next = next(Outcome);
    const auto *Final = std::get_if<GiveUp>(&Next);
    return Final ? Final->Status : 0;
  }
};

// Guards against: a lost connection is treated as a rejection, an unsafe
// request is retried, and holds two slots.
TEST(RetryRules, SendsUnsafeWorkOnce) {
  CHECK(!retries(ConnectionLost{}));
  CHECK(!retries(TimedOut{}));
  LONGS_EQUAL(OutcomeUnknownStatus, status(ConnectionLost{}));
  LONGS_EQUAL(TimedOutStatus, status(TimedOut{}));
  LONGS_EQUAL(0, BudgetCalls);
}

// Guards against: a send fails while the process is stopping, the request is
// retried without a new check of its end, and its answer is cut or delayed
// until the process exits.
TEST(RetryRules, DoesNotRetryBeyondProcessStop) {
  Progress = {true, 0, 2, 1, false, Milliseconds(500)};
  CHECK(retries(Rejected{}));
  Progress.EndsBeforeStop = false;
  LONGS_EQUAL(NotRunStatus, status(Rejected{}));
  Progress.Runs = 1;
  LONGS_EQUAL(OutcomeUnknownStatus, status(ConnectionLost{}));
}

TEST(RetryRules, RetriesUnsafeWorkProvenNotRun) {
  Progress.Runs = 0;
  CHECK(retries(Rejected{}));
  CHECK(retries(NotSent{}));
}

// Guards against: the first run is interrupted, the second send is rejected,
// and the caller gets "not run" because only the last send counts.
TEST(RetryRules, ReportsNotRunOnlyIfNoSendMayHaveRun) {
  Progress.Sends = Options.MaximumSends;
  Progress.Runs = 0;
  LONGS_EQUAL(NotRunStatus, status(Rejected{}));
  Progress.Runs = 1;
  LONGS_EQUAL(OutcomeUnknownStatus, status(Rejected{}));
}

TEST(RetryRules, RetriesUpToMaximumOfRoute) {
  Progress.Repeatable = true;
  Progress.MaximumRuns = 2;
  CHECK(retries(ConnectionLost{}));
  Progress.Runs = 2;
  CHECK(!retries(ConnectionLost{}));
}

// If a service fails every request, a bound on retries lets it recover; without
// one each request arrives as often as its route allows.
TEST(RetryRules, RespectsRetryBudget) {
  Progress.Repeatable = true;
  Progress.MaximumRuns = 2;
  HasBudget = false;
  CHECK(std::holds_alternative<ForwardFailure>(next(ServerFailed{500})));
  LONGS_EQUAL(1, BudgetCalls);
}

TEST(RetryRules, DoesNotRetryWithoutTimeLeft) {
  Progress.Runs = 0;
  Progress.TimeLeft = Milliseconds(10);
  CHECK(!retries(NotSent{}));
}

// Guards against: an interrupted stream looks complete to its caller.
TEST(RetryRules, ClosesConnectionOfInterruptedStream) {
  Progress.AnswerBegun = true;
  CHECK(std::holds_alternative<CloseConnection>(next(ConnectionLost{})));
}

// Failure: a request ran and failed, and its caller takes the status of the
// failure for the promise that it has not.
TEST(RetryRules, ForwardsNoStatusThatPromises) {
  for (const unsigned Status : {408U, 421U, 429U, 503U})
    LONGS_EQUAL(OutcomeUnknownStatus, status(ServerFailed{Status}));
}

TEST(RetryRules, ForwardsServerFailure) {
  CHECK(std::holds_alternative<ForwardFailure>(next(ServerFailed{500})));
}
