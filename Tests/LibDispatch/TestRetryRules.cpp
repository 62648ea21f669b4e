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
  RequestProgress Progress{false, 1, false, Milliseconds(500)};
  /// Sends before the one that ends.
  SendHistory Earlier;
  bool HasBudget = true;
  int BudgetCalls = 0;

  void addEarlier(const SendOutcome &Outcome) {
    Earlier.end(Earlier.begin(SendPurpose::Execute, "s0"), Outcome);
  }
  NextStep next(const SendOutcome &Outcome) {
    SendHistory History = Earlier;
    History.end(History.begin(SendPurpose::Execute, "s1"), Outcome);
    return decideNext(Options, Progress, History, Outcome, [this] {
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
    return Final ? Final->Status.code() : 0;
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
  Progress = {true, 2, false, Milliseconds(500)};
  CHECK(retries(Rejected{}));
  Progress.EndsBeforeStop = false;
  LONGS_EQUAL(NotRunStatus, status(Rejected{}));
  LONGS_EQUAL(OutcomeUnknownStatus, status(ConnectionLost{}));
}

TEST(RetryRules, RetriesUnsafeWorkProvenNotRun) {
  CHECK(retries(Rejected{}));
  CHECK(retries(NotSent{}));
}

// Failure: a caller is rejected although a server is available.
// Cause: connections refused at the addresses of crashed servers use up the
// sends of the request.
TEST(RetryRules, DoNotCountFailedConnects) {
  for (unsigned Count = 0; Count < 20; ++Count)
    addEarlier(NotSent{.ConnectFailed = true});
  CHECK(retries(NotSent{.ConnectFailed = true}));
  CHECK(retries(Rejected{}));
  for (unsigned Count = 1; Count < Options.MaximumSends; ++Count)
    addEarlier(Rejected{});
  LONGS_EQUAL(NotRunStatus, status(Rejected{}));
}

// Failure: a service whose servers have no free connection gets more sends than
// the maximum.
TEST(RetryRules, CountSendsWithoutAFreeConnection) {
  for (unsigned Count = 1; Count < Options.MaximumSends; ++Count)
    addEarlier(NotSent{});
  LONGS_EQUAL(NotRunStatus, status(NotSent{}));
}

// Guards against: the first run is interrupted, the second send is rejected,
// and the caller gets "not run" because only the last send counts.
TEST(RetryRules, ReportsNotRunOnlyIfNoSendMayHaveRun) {
  Options.MaximumSends = 2;
  addEarlier(Rejected{});
  LONGS_EQUAL(NotRunStatus, status(Rejected{}));
  Earlier = {};
  addEarlier(ConnectionLost{});
  LONGS_EQUAL(OutcomeUnknownStatus, status(Rejected{}));
}

// Failure: a send that got no connection takes away what an earlier one may
// have done.
TEST(RetryRules, SendWithoutConnectionProvesNothingOfEarlierOnes) {
  Progress.Repeatable = true;
  Progress.MaximumRuns = 2;
  HasBudget = false;
  addEarlier(ConnectionLost{});
  LONGS_EQUAL(OutcomeUnknownStatus, status(NotSent{}));
  HasBudget = true;
  Options.MaximumSends = 9;
  addEarlier(NotSent{});
  CHECK(!retries(ConnectionLost{}));
}

// Failure: a rejection is taken as proof for all sends, and a request that may
// run once is sent again after one that may have run.
TEST(RetryRules, RejectionProvesNothingOfEarlierSends) {
  Options.MaximumSends = 9;
  addEarlier(ConnectionLost{});
  CHECK(!retries(Rejected{}));
  LONGS_EQUAL(OutcomeUnknownStatus, status(Rejected{}));
}

TEST(RetryRules, RetriesUpToMaximumOfRoute) {
  Progress.Repeatable = true;
  Progress.MaximumRuns = 2;
  CHECK(retries(ConnectionLost{}));
  addEarlier(ConnectionLost{});
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
