//===- TestInvariantChecker.cpp - Invariant checker tests -----------------===//
//
// For each guarantee: sequences that keep it pass, and violations are reported.
//
//===----------------------------------------------------------------------===//

#include "InvariantCheckerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::soak;

TEST_GROUP_BASE(InvariantChecker, InvariantCheckerFixture){};

TEST(InvariantChecker, LimitedServerGetsNoExcessRequests) {
  recordExecution("a");
  Checker.recordLimit("s1", 2, "a", Now);
  // 1.5 times the 8 requests of four seconds, plus a slack of 5.
  Now += seconds(3);
  for (int I = 0; I < 17; ++I)
    recordExecution("b" + std::to_string(I));
  expectNoViolation();
  recordExecution("c");
  expectViolation("LIMIT");
}

TEST(InvariantChecker, ServerThatAskedForAPauseGetsAtMostTwoRequests) {
  recordExecution("a");
  Checker.recordBackoff("s1", "a", milliseconds(3000), Now);
  // These may have been on their way.
  Now += milliseconds(1000);
  for (const char *Id : {"b", "c", "d"})
    recordExecution(Id);
  Now += milliseconds(1000);
  recordExecution("e");
  recordExecution("f");
  expectNoViolation();
  recordExecution("g");
  expectViolation("BACKOFF");
}

TEST(InvariantChecker, PauseEndsAtItsEndAndWithTheProcess) {
  recordExecution("a");
  Checker.recordBackoff("s1", "a", milliseconds(3000), Now);
  Now += milliseconds(3000);
  for (const char *Id : {"b", "c", "d"})
    recordExecution(Id);
  Checker.recordBackoff("s1", "d", milliseconds(3000), Now);
  Checker.recordRestart("g1", Now);
  Now += milliseconds(2000);
  for (const char *Id : {"e", "f", "g"})
    recordExecution(Id);
  expectNoViolation();
}

// Failure: a gateway is blamed for a pause of which it cannot know, as the
// answer was lost with its link.
TEST(InvariantChecker, PauseWhoseAnswerWasLostDoesNotCount) {
  askForPauseBeforeLoss("s1-1", milliseconds(50));
  expectNoViolation();
}

// Failure: a fault of a link excuses a pause that the gateway has read before.
TEST(InvariantChecker, PauseThatWasAskedForBeforeALossCounts) {
  askForPauseBeforeLoss("s1-1", milliseconds(150));
  expectViolation("BACKOFF");
}

// Failure: a fault of a link excuses the pauses of all servers.
TEST(InvariantChecker, PauseOfAnotherServerThanThatOfTheLossCounts) {
  askForPauseBeforeLoss("s10-1", milliseconds(50));
  expectViolation("BACKOFF");
}

// An outage of the store does not excuse requests during a pause.
TEST(InvariantChecker, PauseHoldsDuringAnOutageOfTheStore) {
  recordExecution("a");
  Checker.recordBackoff("s1", "a", milliseconds(3000), Now);
  Now += milliseconds(2000);
  Checker.recordFault(InvariantChecker::AllGateways, Now);
  for (const char *Id : {"b", "c", "d"})
    recordExecution(Id);
  expectViolation("BACKOFF");
}

TEST(InvariantChecker, ServerThatSaysItShutsDownGetsNoRequests) {
  recordExecution("a");
  Checker.recordLeavingResponse("s1", "a");
  recordOutcome("a", 200, "answer to a");
  Now += milliseconds(2500);
  recordExecution("b");
  expectNoViolation();
  Now += milliseconds(200);
  recordExecution("c");
  expectViolation("DRAIN");
}

TEST(InvariantChecker, CrashingRequestIsSentToFewServers) {
  const auto Send = [&](const std::string &Id) {
    Checker.recordRequest(
        {Id, "g1", "plain", Repeatable::No, Now, seconds(10), "x"});
    recordArrival(Id);
  };
  for (const char *Id : {"a", "b", "c"}) {
    Send(Id);
    Checker.recordCrash(Id, Now);
  }
  // These may have been in flight.
  for (const char *Id : {"d", "e", "f", "g"})
    Send(Id);
  Now += seconds(4);
  for (const char *Id : {"h", "i", "j"})
    Send(Id);
  expectNoViolation();
  Send("k");
  expectViolation("BUDGET");
}

TEST(InvariantChecker, CrashingPartIsSentToFewServers) {
  const auto Send = [&](const std::string &Id) {
    Checker.recordRequest(
        {Id, "g1", "model", Repeatable::No, Now, seconds(10), "", "dead"});
    recordArrival(Id);
  };
  for (const char *Id : {"a", "b", "c", "d", "e"}) {
    Send(Id);
    Checker.recordCrash(Id, Now);
  }
  Now += seconds(4);
  for (const char *Id : {"h", "i", "j"})
    Send(Id);
  expectNoViolation();
  Send("k");
  expectViolation("BUDGET");
}

TEST(InvariantChecker, UnrepeatableRequestIsExecutedOnce) {
  recordRequest("a", Repeatable::Yes);
  recordArrival("a");
  recordArrival("a");
  recordExecution("b");
  expectNoViolation();
  recordArrival("b");
  expectViolation("TWICE");
}

TEST(InvariantChecker, RejectedRequestIsNotExecutedLater) {
  recordRequest("a", Repeatable::No);
  Checker.recordArrival({"a", "s1", "plain", false, true}, Now);
  recordOutcome("a", 503);
  expectNoViolation();
  recordArrival("a");
  expectViolation("REFUSED");
}

TEST(InvariantChecker, ExecutedRequestIsNotRejected) {
  recordExecution("a");
  recordOutcome("a", 503);
  expectViolation("REFUSED");
}

TEST(InvariantChecker, UnknownRequestIsReported) {
  recordArrival("unknown");
  expectViolation("UNASKED");
}

TEST(InvariantChecker, DrainingServerGetsNoRequestsAfterTheBound) {
  Checker.recordDrain("s1", Now);
  Now += seconds(2);
  recordRequest("a", Repeatable::Yes);
  recordArrival("a");
  expectNoViolation();
  Now += seconds(1);
  // A disconnected gateway does not know of the drain yet.
  Checker.recordFault("g1", Now);
  recordArrival("a");
  expectNoViolation();
  Now += seconds(4);
  recordArrival("a");
  expectViolation("DRAIN");
}

TEST(InvariantChecker, ServersThatAreListedAgainAreUsedByEachGateway) {
  const auto SendUnserved = [&](unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      recordRequest("unserved", Repeatable::Yes);
  };
  Checker.expectUse("plain", Now);
  SendUnserved(100);
  Now += seconds(4);
  SendUnserved(18);
  recordRequest("a", Repeatable::Yes);
  recordArrival("a");
  SendUnserved(19);
  Checker.recordFault("g1", Now);
  SendUnserved(100);
  expectNoViolation();
  Now += seconds(4);
  SendUnserved(20);
  expectViolation("USED");
}

TEST(InvariantChecker, ConfigurationIsActiveAfterTheBound) {
  Checker.recordConfiguration(1, "moving-1", Now);
  Checker.recordConfiguration(2, "moving-2", Now);
  Now += seconds(1);
  recordRequest("a", Repeatable::Yes, InvariantChecker::MovingService);
  recordArrival("a", "moving-1");
  expectNoViolation();
  Now += seconds(3);
  recordRequest("b", Repeatable::Yes, InvariantChecker::MovingService);
  recordArrival("b", "moving-1");
  expectViolation("CONFIG");
}

TEST(InvariantChecker, RouteUsesOnlyConfiguredServices) {
  Checker.recordConfiguration(1, "moving-1", Now);
  recordRequest("a", Repeatable::Yes, InvariantChecker::MovingService);
  Checker.recordArrival({"a", "s1", "moving-0", false, true}, Now);
  expectNoViolation();
  recordArrival("a", "moving-0");
  expectViolation("ROUTE");
}

TEST(InvariantChecker, GatewayNeverReturnsToAnOlderVersion) {
  Checker.recordConfiguration(1, "moving-1", Now);
  Checker.recordConfiguration(2, "moving-2", Now);
  recordRequest("a", Repeatable::Yes, InvariantChecker::MovingService);
  recordArrival("a", "moving-2");
  Now += seconds(1);
  recordRequest("b", Repeatable::Yes, InvariantChecker::MovingService);
  recordArrival("b", "moving-1");
  expectViolation("CONFIG");
}

TEST(InvariantChecker, RetriesStayWithinTheBudget) {
  for (int I = 0; I < 100; ++I)
    recordRequest("a" + std::to_string(I), Repeatable::Yes);
  // A ratio of 0.05 of 100 requests, plus a base of 10.
  for (int I = 0; I < 15; ++I) {
    recordArrival("a" + std::to_string(I));
    recordArrival("a" + std::to_string(I));
  }
  expectNoViolation();
  recordArrival("a0");
  expectViolation("BUDGET");
}

TEST(InvariantChecker, OrdersComeFromOneLeaseHolder) {
  Checker.recordOrder({"s1", "g1", 1}, Now);
  Now += seconds(4);
  Checker.recordOrder({"s1", "g2", 2}, Now);
  expectNoViolation();
  Now += seconds(1);
  Checker.recordOrder({"s1", "g1", 3}, Now);
  expectViolation("ONE");
}

TEST(InvariantChecker, OlderFencingTokenIsReported) {
  Checker.recordOrder({"s1", "g1", 5}, Now);
  Now += seconds(10);
  Checker.recordOrder({"s1", "g2", 4}, Now);
  expectViolation("ONE");
}

TEST(InvariantChecker, ExistingRouteIsNotDenied) {
  recordRequest("a", Repeatable::Yes);
  recordOutcome("a", 404);
  expectViolation("DENIED");
}
