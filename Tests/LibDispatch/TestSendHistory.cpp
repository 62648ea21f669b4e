//===- TestSendHistory.cpp - Everything that one request was sent ---------===//
//
// What may have run, and what its caller may be told.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/SendHistory.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(SendHistory) {
  SendHistory History;

  SendHistory::SendNumber send(SendPurpose Purpose = SendPurpose::Execute) {
    return History.begin(Purpose, "s1");
  }
  void sendAndEnd(const SendOutcome &Outcome,
                  SendPurpose Purpose = SendPurpose::Execute) {
    History.end(send(Purpose), Outcome);
  }
  unsigned status(MissingAnswer Reason = MissingAnswer::Lost) {
    return History.errorStatus(Reason).code();
  }
};

TEST(SendHistory, RequestThatWasNeverSentHasNotRun) {
  LONGS_EQUAL(NotRunStatus, status());
  CHECK(History.notRunBasis() == NotRunBasis::NeverSent);
}

// Failure: a canceled send, which has no outcome, counts as not run.
TEST(SendHistory, SendMayHaveRunUntilTheContraryIsProven) {
  const auto Number = send();
  LONGS_EQUAL(OutcomeUnknownStatus, status());
  LONGS_EQUAL(TimedOutStatus, status(MissingAnswer::TimedOut));
  History.end(Number, Rejected{});
  LONGS_EQUAL(NotRunStatus, status());
  CHECK(History.notRunBasis() == NotRunBasis::Rejected);
}

// Failure: any outcome but the two proofs counts as one.
TEST(SendHistory, OnlyTwoOutcomesProveThatNothingRan) {
  for (const SendOutcome &Outcome :
       {SendOutcome(ServerFailed{503}), SendOutcome(ConnectionLost{}),
        SendOutcome(TimedOut{})}) {
    History = {};
    sendAndEnd(Outcome);
    LONGS_EQUAL(1, History.executions());
    CHECK(!History.notRunBasis());
  }
  History = {};
  sendAndEnd(NotSent{});
  sendAndEnd(Rejected{});
  LONGS_EQUAL(0, History.executions());
  LONGS_EQUAL(1, History.arrivals(SendPurpose::Execute));
}

// Failure: the proof of one send is taken for another.
TEST(SendHistory, ProofHoldsForItsSendOnly) {
  sendAndEnd(ConnectionLost{});
  sendAndEnd(NotSent{});
  sendAndEnd(Rejected{});
  LONGS_EQUAL(1, History.executions());
  LONGS_EQUAL(OutcomeUnknownStatus, status());
}

// Failure: a late word about a send replaces what was known of it.
TEST(SendHistory, FirstOutcomeStays) {
  const auto Number = send();
  History.end(Number, TimedOut{});
  History.end(Number, Rejected{});
  LONGS_EQUAL(1, History.executions());
}

TEST(SendHistory, PrefillIsNoRun) {
  sendAndEnd(ConnectionLost{}, SendPurpose::Prefill);
  LONGS_EQUAL(NotRunStatus, status());
  CHECK(History.notRunBasis() == NotRunBasis::OnlyPrefilled);
  LONGS_EQUAL(1, History.arrivals(SendPurpose::Prefill));
  LONGS_EQUAL(0, History.arrivals(SendPurpose::Execute));
}

TEST(SendHistory, DescribesEachSend) {
  History.recordConnection(send(), 17, 2);
  History.end(0, Rejected{});
  CHECK(History.hasUsed(17));
  CHECK(!History.hasUsed(18));
  STRCMP_EQUAL("run s1 17/2 rejected, not run", History.describe().c_str());
}
