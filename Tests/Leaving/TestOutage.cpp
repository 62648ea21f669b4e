//===- TestOutage.cpp - A long outage of the platform ---------------------===//
//
// During an outage of the platform, requests continue, planned stops are
// graceful, and an operator can drain a target. Afterwards the fleet recovers.
//
//===----------------------------------------------------------------------===//

#include "DrainingFleet.h"

#include "Support/FullService.h"
#include "Support/WaitUntil.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// A large multiple of the timeouts below, like a long outage in production.
constexpr auto OutageTime = 8s;
constexpr size_t CallsMeasured = 100;

FleetOptions shortTimeoutFleet() {
  FleetOptions Options = drainingFleet();
  const json Platform = {{"timeout", "200ms"},
                         {"pollInterval", "200ms"},
                         {"vmListInterval", "200ms"}};
  Options.EntrySettings = {{"platform", Platform},
                           {"lease", {{"duration", "1s"}, {"margin", "300ms"}}},
                           {"limits", {{"isolationBound", "2s"}}}};
  Options.AgentSettings = {{"platform", Platform},
                           {"limits", {{"isolationBound", "2s"}}}};
  return Options;
}

} // namespace

TEST_GROUP(Outage) {
  Fleet m_Fleet{shortTimeoutFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  /// Correct responses per second over many calls.
  double goodput(MixedCallers & Load) {
    const auto Begin = steady_clock::now();
    CHECK_TRUE(Load.waitForSuccesses(CallsMeasured, 3 * Limit));
    const std::chrono::duration<double> Elapsed = steady_clock::now() - Begin;
    return CallsMeasured / Elapsed.count();
  }

  std::string stateOf(const std::string &Target) {
    const json Status =
        m_Fleet.getJson(m_Fleet.callers("entry-1"), "/operator/v1/status");
    for (const json &Row : Status.value("targets", json::array()))
      if (Row["id"] == Target)
        return Row["state"];
    return "";
  }
  bool reachesState(const std::string &Target, const std::string &State) {
    return waitUntil(Limit, [&] { return stateOf(Target) == State; });
  }
};

TEST(Outage, KeepsServingStopsGracefullyAndRecovers) {
  // Failure: while the store is down, requests stop or a planned stop
  // interrupts some of them, or effects of the outage remain after it.
  // Sequence: the platform is down for many timeouts under load, while a
  // target's agent and an entry are stopped.
  // Cause: a step of a request or of a stop depends on the store.
  MixedCallers Load(m_Fleet, DrainingMix);
  CHECK_TRUE(Load.waitForSuccesses(50, Limit));
  const double Before = goodput(Load);
  m_Fleet.platformFault("down");
  const auto End = steady_clock::now() + OutageTime;
  double During = goodput(Load);
  for (const char *Stopped : {"lm-desk-4", "entry-2"}) {
    m_Fleet.process(Stopped).terminate();
    CHECK_EQUAL_TEXT(
        0, m_Fleet.process(Stopped).waitForExit(2 * Limit).value_or(-1),
        Stopped);
  }
  do
    During = std::min(During, goodput(Load));
  while (steady_clock::now() < End);
  m_Fleet.platformFault("none");
  for (const char *Restarted : {"lm-desk-4", "entry-2"})
    m_Fleet.restart(Restarted);
  CHECK_TRUE(reachesState("lm-desk-4", "serving"));
  const double After = goodput(Load);
  for (const char *Command : {"drain", "undrain"}) {
    auto [Code, Output] = m_Fleet.control({Command, "lm-desk-4", "--wait=20s"});
    CHECK_EQUAL_TEXT(0, Code, Output.c_str());
  }
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
  const std::string Leftover = fullServiceProblem(m_Fleet);
  CHECK_TEXT(Leftover.empty(), Leftover.c_str());
  UT_PRINT(("goodput before " + std::to_string(Before) + "/s, lowest during " +
            std::to_string(During) + "/s, after " + std::to_string(After) +
            "/s; " + Tally.text())
               .c_str());
}

TEST(Outage, LetsAnOperatorDrainATarget) {
  // Failure: a target cannot be drained during an outage, or it stays drained
  // forever after it.
  // Sequence: drain while the store is down, then drain and undrain after the
  // store has been restored.
  // Cause: the desired state is stored only in the table, or no later record
  // overrides it.
  MixedCallers Load(m_Fleet, DrainingMix);
  const bool Started = Load.waitForSuccesses(30, Limit);
  CHECK_TEXT(Started, m_Fleet.logs().c_str());
  m_Fleet.platformFault("down");
  const size_t Before = receivedRequests(m_Fleet, "lm-desk-1");
  const auto NoticeTime = steady_clock::now();
  auto [Code, Output] = m_Fleet.control({"drain", "lm-desk-1"});
  CHECK_EQUAL_TEXT(5, Code, Output.c_str());
  CHECK_TEXT(Output.find("asked to drain all the same") != std::string::npos,
             Output.c_str());
  CHECK_TRUE(timeToLastRequest(m_Fleet, Load, "lm-desk-1", NoticeTime, Before)
                 .has_value());
  CHECK_TRUE(reachesState("lm-desk-1", "drained"));
  // The operator undrains and drains again.
  m_Fleet.control({"undrain", "lm-desk-1"});
  CHECK_TRUE(reachesState("lm-desk-1", "serving"));
  m_Fleet.control({"drain", "lm-desk-1"});
  CHECK_TRUE(reachesState("lm-desk-1", "drained"));
  m_Fleet.platformFault("none");
  for (const char *Command : {"drain", "undrain"}) {
    auto [Recorded, Text] =
        m_Fleet.control({Command, "lm-desk-1", "--wait=20s"});
    CHECK_EQUAL_TEXT(0, Recorded, Text.c_str());
  }
  CHECK_TRUE(reachesState("lm-desk-1", "serving"));
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
}

// Failure: retryable completions end with an unknown outcome when agents stall
// in turn and their links are closed.
TEST(Outage, LosesNoCompletionWhenAgentsStall) {
  MixedCallers Load(m_Fleet, DrainingMix);
  CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  m_Fleet.platformFault("down");
  for (const char *Agent : {"lm-desk-1", "lm-desk-2", "lm-desk-3", "lm-desk-1",
                            "lm-desk-2", "lm-desk-3"}) {
    m_Fleet.process(Agent).pause();
    CHECK_TRUE(Load.waitForSuccesses(60, Limit));
    CHECK_TRUE(waitUntil(Limit, [&] { return stateOf(Agent) != "serving"; }));
    m_Fleet.process(Agent).resume();
    CHECK_TRUE(reachesState(Agent, "serving"));
  }
  m_Fleet.platformFault("none");
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
}

// Failure: retryable completions end with an unknown outcome long before their
// deadline.
// Sequence: all agents stall one after the other and resume.
// Cause: each attempt of a request is sent over a link that is about to be
// closed, so that all attempts are used up within 1 s.
TEST(Outage, LosesNoCompletionWhenAllAgentsStall) {
  const std::array Agents = {"lm-desk-1", "lm-desk-2", "lm-desk-3",
                             "lm-desk-4"};
  const auto WaitFor = [](milliseconds Time) {
    const auto End = steady_clock::now() + Time;
    return waitUntil(Limit, [&] { return steady_clock::now() >= End; });
  };
  MixedCallers Load(m_Fleet, DrainingMix);
  CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  m_Fleet.platformFault("down");
  for (int Round = 0; Round < 4; ++Round) {
    for (const char *Agent : Agents) {
      m_Fleet.process(Agent).pause();
      CHECK_TRUE(WaitFor(300ms));
    }
    CHECK_TRUE(WaitFor(2200ms));
    for (const char *Agent : Agents)
      m_Fleet.process(Agent).resume();
    CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  }
  m_Fleet.platformFault("none");
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
}

// Failure: slot holds with a key end with an unknown outcome long before their
// deadline, so that their callers do not know whether they have a slot.
// Sequence: the agents of the services stall for longer than the heartbeat
// timeout and resume.
// Cause: attempts at the home of a key are used up while its link is down,
// though the key may be sent there again at any time.
TEST(Outage, LosesNoHoldWhenItsHomeStalls) {
  const std::array Homes = {"booking-core-1", "booking-core-2"};
  constexpr auto StallTime = 3500ms;
  CallerMix Holds = DrainingMix;
  Holds.HoldingThreads = 4;
  MixedCallers Load(m_Fleet, Holds);
  CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  m_Fleet.platformFault("down");
  for (const char *Home : Homes)
    m_Fleet.process(Home).pause();
  const auto End = steady_clock::now() + StallTime;
  CHECK_TRUE(waitUntil(Limit, [&] { return steady_clock::now() >= End; }));
  for (const char *Home : Homes)
    m_Fleet.process(Home).resume();
  CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  m_Fleet.platformFault("none");
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
}
