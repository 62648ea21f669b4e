//===- TestNotices.cpp - No new work for a target that leaves -------------===//
//
// Three ways to tell that a target leaves, under load, with every link on
// which the notice could come cut or slow in turn.
//
//===----------------------------------------------------------------------===//

#include "LeavingFleet.h"

#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

/// What is promised, and what a busy machine may add to it.
constexpr auto Promise = 4s + ListLag;
constexpr auto Allowance = 6s;

} // namespace

TEST_GROUP(Leaving) {
  Fleet m_Fleet{leavingFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  /// \p Tell makes \p Target leave; then nothing new may reach it.
  template <typename Notice>
  void leaves(MixedCallers & Load, const char *Hardship,
              const std::string &Target, const char *By, Notice Tell) {
    const std::string Text = std::string(Hardship) + ", " + Target + ", " + By;
    CHECK_TRUE_TEXT(
        waitUntil(Limit, [&] { return taken(m_Fleet, Target) > 0; }),
        Text.c_str());
    const size_t Before = taken(m_Fleet, Target);
    const auto Told = steady_clock::now();
    Tell();
    const auto Last = lastNewWork(m_Fleet, Load, Target, Told, Before);
    CHECK_TRUE_TEXT(Last.has_value(), Text.c_str());
    CHECK_TRUE_TEXT(*Last < Promise + Allowance, Text.c_str());
    CHECK_EQUAL_TEXT(0u, cut(m_Fleet, Target), Text.c_str());
    UT_PRINT((Text + ": last new request " + std::to_string(Last->count()) +
              " ms after the notice")
                 .c_str());
  }

  /// Every notice to a target of its own, then a check of every answer.
  void leaveByEveryNotice(const char *Hardship, bool RetiresService = true) {
    MixedCallers Load(m_Fleet, LeavingMix);
    CHECK_TRUE(Load.waitForSuccesses(30, Limit));
    leaves(Load, Hardship, "lm-desk-1", "drain", [&] {
      auto [Code, Output] = m_Fleet.control({"drain", "lm-desk-1"});
      CHECK_EQUAL_TEXT(0, Code, Output.c_str());
    });
    leaves(Load, Hardship, "lm-desk-2", "VM list",
           [&] { m_Fleet.setVmState("lm-desk-2", "leaving"); });
    leaves(Load, Hardship, "lm-desk-3", "SIGTERM",
           [&] { m_Fleet.process("lm-desk-3").terminate(); });
    CHECK_EQUAL(0,
                m_Fleet.process("lm-desk-3").waitForExit(Limit).value_or(-1));
    if (RetiresService)
      leaves(Load, Hardship, "booking-core-1", "retire", [&] {
        auto [Code, Output] = m_Fleet.control({"retire", "booking-core-1"});
        CHECK_EQUAL_TEXT(0, Code, Output.c_str());
      });
    const CallerTally Tally = Load.stop();
    CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
    CHECK_TEXT(Tally.Unreachable == 0, Tally.text().c_str());
    UT_PRINT((std::string(Hardship) + ": " + Tally.text()).c_str());
  }
};

// Symptom of each: a target that was said to leave is given new work, or an
// answer is cut when it leaves. Sequence: the notice comes by one way while
// another is broken. Cause: trust in one source of the notice alone.

TEST(Leaving, GetsNoNewWorkOnAHealthyNetwork) { leaveByEveryNotice("healthy"); }

TEST(Leaving, GetsNoNewWorkFromAnEntryThatIsCutOffFromTheStore) {
  m_Fleet.link("platform:entry-1", "cut");
  leaveByEveryNotice("entry-1 without store");
}

TEST(Leaving, GetsNoNewWorkThoughItsAgentIsCutOffFromTheStore) {
  for (const char *Id : {"lm-desk-1", "lm-desk-2", "lm-desk-3"})
    m_Fleet.link(std::string("platform:") + Id, "cut");
  leaveByEveryNotice("agents without store", /*RetiresService=*/false);
}

TEST(Leaving, RefusesSlotHoldsUnrunUntilItsSlicesCanMove) {
  // Symptom: a slot is held at a service that leaves, or a hold is lost.
  // Sequence: a service is retired while its agent is cut off from the store,
  // so that its slices can't be given to another home. Cause: a home that
  // goes on, or a successor that begins, without proof.
  m_Fleet.link("platform:booking-core-1", "cut");
  auto [Code, Output] = m_Fleet.control({"retire", "booking-core-1", "--wait"});
  CHECK_EQUAL_TEXT(0, Code, Output.c_str());
  const size_t Before = taken(m_Fleet, "booking-core-1");
  std::vector<std::string> Keys;
  const auto Hold = [&](const std::string &Key) {
    const std::string &Entry = m_Fleet.entries()[Keys.size() % 2];
    return call(m_Fleet.callers(Entry), "POST",
                "/v1/services/booking-core/slots/1", "{}",
                {{"Idempotency-Key", Key}});
  };
  size_t Refused = 0;
  for (int Count = 0; Count < 40; ++Count) {
    Keys.push_back(freshKey());
    Answer Got = Hold(Keys.back());
    Refused += Got.Status != 200;
    if (Got.Status != 200)
      STRCMP_EQUAL_TEXT("not-run", Got.executed().c_str(), Got.Body.c_str());
  }
  CHECK_EQUAL(Before, taken(m_Fleet, "booking-core-1"));
  UT_PRINT((std::to_string(Refused) + " of 40 holds refused, not run").c_str());
  m_Fleet.link("platform:booking-core-1", "pass");
  for (const std::string &Key : Keys) {
    CHECK_TRUE(waitUntil(Limit, [&] { return Hold(Key).Status == 200; }));
    CHECK_EQUAL(1, m_Fleet.executions(Key));
  }
  CHECK_EQUAL(Before, taken(m_Fleet, "booking-core-1"));
}

TEST(Leaving, GetsNoNewWorkOverASlowLink) {
  for (const char *Id :
       {"lm-desk-1", "lm-desk-2", "lm-desk-3", "booking-core-1"})
    m_Fleet.link(std::string("agent:") + Id, "delay", 100ms);
  leaveByEveryNotice("slow links");
}
