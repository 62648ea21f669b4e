//===- TestNotices.cpp - No new requests for a draining target ------------===//
//
// Several ways to drain a target under load, while each link that carries the
// notice is cut or slow in turn.
//
//===----------------------------------------------------------------------===//

#include "DrainingFleet.h"

#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

/// The guaranteed limit and the additional allowance for a busy machine.
constexpr auto GuaranteedLimit = 4s + ListLag;
constexpr auto Allowance = 6s;

} // namespace

TEST_GROUP(Leaving) {
  Fleet m_Fleet{drainingFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  /// Calls \p SendNotice, which drains \p Target, and checks that the target
  /// then gets no new requests.
  template <typename Notice>
  void checkDraining(MixedCallers & Load, const char *Condition,
                     const std::string &Target, const char *Method,
                     Notice SendNotice) {
    const std::string Text =
        std::string(Condition) + ", " + Target + ", " + Method;
    CHECK_TRUE_TEXT(
        waitUntil(Limit, [&] { return receivedRequests(m_Fleet, Target) > 0; }),
        Text.c_str());
    const size_t Before = receivedRequests(m_Fleet, Target);
    const auto NoticeTime = steady_clock::now();
    SendNotice();
    const auto LastRequest =
        timeToLastRequest(m_Fleet, Load, Target, NoticeTime, Before);
    CHECK_TRUE_TEXT(LastRequest.has_value(), Text.c_str());
    CHECK_TRUE_TEXT(*LastRequest < GuaranteedLimit + Allowance, Text.c_str());
    CHECK_EQUAL_TEXT(0u, interruptedRequests(m_Fleet, Target), Text.c_str());
    UT_PRINT((Text + ": last new request " +
              std::to_string(LastRequest->count()) + " ms after the notice")
                 .c_str());
  }

  /// Applies each kind of notice to a different target and checks all
  /// responses.
  void checkEveryNotice(const char *Condition, bool RetiresService = true) {
    MixedCallers Load(m_Fleet, DrainingMix);
    CHECK_TRUE(Load.waitForSuccesses(30, Limit));
    checkDraining(Load, Condition, "lm-desk-1", "drain", [&] {
      auto [Code, Output] = m_Fleet.control({"drain", "lm-desk-1"});
      CHECK_EQUAL_TEXT(0, Code, Output.c_str());
    });
    checkDraining(Load, Condition, "lm-desk-2", "VM list",
                  [&] { m_Fleet.setVmState("lm-desk-2", "leaving"); });
    checkDraining(Load, Condition, "lm-desk-3", "SIGTERM",
                  [&] { m_Fleet.process("lm-desk-3").terminate(); });
    CHECK_EQUAL(0,
                m_Fleet.process("lm-desk-3").waitForExit(Limit).value_or(-1));
    if (RetiresService)
      checkDraining(Load, Condition, "booking-core-1", "retire", [&] {
        auto [Code, Output] = m_Fleet.control({"retire", "booking-core-1"});
        CHECK_EQUAL_TEXT(0, Code, Output.c_str());
      });
    const CallerTally Tally = Load.stop();
    CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
    CHECK_TEXT(Tally.Unreachable == 0, Tally.text().c_str());
    UT_PRINT((std::string(Condition) + ": " + Tally.text()).c_str());
  }
};

// Failure of each test: a draining target gets new requests, or a response is
// interrupted when it stops. Sequence: the notice arrives by one path while
// another path is broken. Cause: only one source of the notice is used.

TEST(Leaving, GetsNoNewWorkOnAHealthyNetwork) { checkEveryNotice("healthy"); }

TEST(Leaving, GetsNoNewWorkFromAnEntryThatIsCutOffFromTheStore) {
  m_Fleet.link("platform:entry-1", "cut");
  checkEveryNotice("entry-1 without store");
}

TEST(Leaving, GetsNoNewWorkThoughItsAgentIsCutOffFromTheStore) {
  for (const char *Id : {"lm-desk-1", "lm-desk-2", "lm-desk-3"})
    m_Fleet.link(std::string("platform:") + Id, "cut");
  checkEveryNotice("agents without store", /*RetiresService=*/false);
}

TEST(Leaving, RejectsSlotHoldsUnexecutedUntilItsSlicesMove) {
  // Failure: a draining service executes a slot hold, or a hold is lost.
  // Sequence: a service is retired while its agent is disconnected from the
  // store, so that its slices cannot move to another home.
  // Cause: the old home continues, or the new one starts, without proof of
  // ownership.
  m_Fleet.link("platform:booking-core-1", "cut");
  auto [Code, Output] = m_Fleet.control({"retire", "booking-core-1", "--wait"});
  CHECK_EQUAL_TEXT(0, Code, Output.c_str());
  const size_t Before = receivedRequests(m_Fleet, "booking-core-1");
  std::vector<std::string> Keys;
  const auto Hold = [&](const std::string &Key) {
    const std::string &Entry = m_Fleet.entries()[Keys.size() % 2];
    return call(m_Fleet.callers(Entry), "POST",
                "/v1/services/booking-core/slots/1", "{}",
                {{"Idempotency-Key", Key}});
  };
  size_t Rejected = 0;
  for (int Count = 0; Count < 40; ++Count) {
    Keys.push_back(freshKey());
    Answer Response = Hold(Keys.back());
    Rejected += Response.Status != 200;
    if (Response.Status != 200)
      STRCMP_EQUAL_TEXT("not-run", Response.executed().c_str(),
                        Response.Body.c_str());
  }
  CHECK_EQUAL(Before, receivedRequests(m_Fleet, "booking-core-1"));
  UT_PRINT(
      (std::to_string(Rejected) + " of 40 holds rejected, not run").c_str());
  m_Fleet.link("platform:booking-core-1", "pass");
  for (const std::string &Key : Keys) {
    CHECK_TRUE(waitUntil(Limit, [&] { return Hold(Key).Status == 200; }));
    CHECK_EQUAL(1, m_Fleet.executions(Key));
  }
  CHECK_EQUAL(Before, receivedRequests(m_Fleet, "booking-core-1"));
}

TEST(Leaving, GetsNoNewWorkOverASlowLink) {
  for (const char *Id :
       {"lm-desk-1", "lm-desk-2", "lm-desk-3", "booking-core-1"})
    m_Fleet.link(std::string("agent:") + Id, "delay", 100ms);
  checkEveryNotice("slow links");
}
