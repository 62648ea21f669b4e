//===- TestWholePath.cpp - One request of each kind, end to end -----------===//
//
// Real processes behind the fault proxy: an operator's records reach entries
// and agents, callers get their whole answers, a slot hold runs once.
//
//===----------------------------------------------------------------------===//

#include "Support/Fleet.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::test;

TEST_GROUP(WholePath) {
  Fleet m_Fleet{smallFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }
};

TEST(WholePath, ServesBothKindsOfCompletion) {
  std::string LongPrompt(24000, 'r');
  Answer Decision = call(m_Fleet.callers("entry-1"), "POST", "/v1/completions",
                         completionBody("desk", LongPrompt, 1));
  CHECK_EQUAL(200, Decision.Status);
  CHECK_TRUE(Decision.isStreamComplete());
  CHECK_EQUAL(expectedText(LongPrompt, 1), Decision.streamedText());

  Answer Reply = call(m_Fleet.callers("entry-2"), "POST", "/v1/completions",
                      completionBody("desk", "When does the lift open?", 60));
  CHECK_EQUAL(200, Reply.Status);
  CHECK_TRUE(Reply.isStreamComplete());
  CHECK_EQUAL(expectedText("When does the lift open?", 60),
              Reply.streamedText());
}

TEST(WholePath, RunsASlotHoldOnceForTwoEqualCalls) {
  Headers WithKey{{"Idempotency-Key", freshKey()}};
  Answer First = call(m_Fleet.callers("entry-1"), "POST",
                      "/v1/services/booking-core/slots/7", "{}", WithKey);
  Answer Second = call(m_Fleet.callers("entry-2"), "POST",
                       "/v1/services/booking-core/slots/7", "{}", WithKey);
  CHECK_EQUAL_TEXT(200, First.Status, First.Body.c_str());
  CHECK_EQUAL(200, Second.Status);
  CHECK_EQUAL(First.Body, Second.Body);
  CHECK_EQUAL(1, m_Fleet.executions(WithKey.begin()->second));
}

TEST(WholePath, StopsGracefully) {
  CHECK_TRUE(m_Fleet.stopGracefully(std::chrono::seconds(15)));
}
