//===- TestOutage.cpp - A long outage of the platform ---------------------===//
//
// Requests go on, planned stops stay graceful, an operator can still empty a
// machine; afterwards everything catches up.
//
//===----------------------------------------------------------------------===//

#include "LeavingFleet.h"

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

/// Many times the timeouts below, as a long outage is to the usual ones.
constexpr auto OutageTime = 8s;
constexpr size_t CallsMeasured = 100;

FleetOptions hurriedFleet() {
  FleetOptions Options = leavingFleet();
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
  Fleet m_Fleet{hurriedFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  /// Right answers each second, over many calls.
  double goodput(MixedCallers & Load) {
    const auto Begin = steady_clock::now();
    CHECK_TRUE(Load.waitForSuccesses(CallsMeasured, 3 * Limit));
    const std::chrono::duration<double> Took = steady_clock::now() - Begin;
    return CallsMeasured / Took.count();
  }

  std::string stateOf(const std::string &Target) {
    const json Status =
        m_Fleet.getJson(m_Fleet.callers("entry-1"), "/operator/v1/status");
    for (const json &Each : Status.value("targets", json::array()))
      if (Each["id"] == Target)
        return Each["state"];
    return "";
  }
  bool reaches(const std::string &Target, const std::string &State) {
    return waitUntil(Limit, [&] { return stateOf(Target) == State; });
  }
};

TEST(Outage, KeepsServingAndStopsGracefullyAndCatchesUp) {
  // Symptom: requests stop, or a planned stop cuts some, as long as the store
  // is down; or leftovers of the outage stay after it. Sequence: the platform
  // is down for many timeouts under load; a target's agent and an entry are
  // stopped meanwhile. Cause: a step of a request or a stop that needs the
  // store.
  MixedCallers Load(m_Fleet, LeavingMix);
  CHECK_TRUE(Load.waitForSuccesses(50, Limit));
  const double Before = goodput(Load);
  m_Fleet.platformFault("down");
  const auto End = steady_clock::now() + OutageTime;
  double During = goodput(Load);
  for (const char *Leaving : {"lm-desk-4", "entry-2"}) {
    m_Fleet.process(Leaving).terminate();
    CHECK_EQUAL_TEXT(
        0, m_Fleet.process(Leaving).waitForExit(2 * Limit).value_or(-1),
        Leaving);
  }
  do
    During = std::min(During, goodput(Load));
  while (steady_clock::now() < End);
  m_Fleet.platformFault("none");
  for (const char *Back : {"lm-desk-4", "entry-2"})
    m_Fleet.restart(Back);
  CHECK_TRUE(reaches("lm-desk-4", "serving"));
  const double After = goodput(Load);
  for (const char *Wish : {"drain", "undrain"}) {
    auto [Code, Output] = m_Fleet.control({Wish, "lm-desk-4", "--wait=20s"});
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

TEST(Outage, LetsAnOperatorEmptyAMachineAllTheSame) {
  // Symptom: in an outage a machine can't be emptied; or it stays empty for
  // ever after it. Sequence: drain while the table is down; the table returns;
  // drain again, then undrain. Cause: a wish that only the table can carry,
  // or one that no later record takes back.
  MixedCallers Load(m_Fleet, LeavingMix);
  const bool Begun = Load.waitForSuccesses(30, Limit);
  CHECK_TEXT(Begun, m_Fleet.logs().c_str());
  m_Fleet.platformFault("down");
  const size_t Before = taken(m_Fleet, "lm-desk-1");
  const auto Told = steady_clock::now();
  auto [Code, Output] = m_Fleet.control({"drain", "lm-desk-1"});
  CHECK_EQUAL_TEXT(5, Code, Output.c_str());
  CHECK_TEXT(Output.find("asked to drain all the same") != std::string::npos,
             Output.c_str());
  CHECK_TRUE(lastNewWork(m_Fleet, Load, "lm-desk-1", Told, Before).has_value());
  CHECK_TRUE(reaches("lm-desk-1", "drained"));
  // The operator thinks better of it, twice.
  m_Fleet.control({"undrain", "lm-desk-1"});
  CHECK_TRUE(reaches("lm-desk-1", "serving"));
  m_Fleet.control({"drain", "lm-desk-1"});
  CHECK_TRUE(reaches("lm-desk-1", "drained"));
  m_Fleet.platformFault("none");
  for (const char *Wish : {"drain", "undrain"}) {
    auto [Recorded, Text] = m_Fleet.control({Wish, "lm-desk-1", "--wait=20s"});
    CHECK_EQUAL_TEXT(0, Recorded, Text.c_str());
  }
  CHECK_TRUE(reaches("lm-desk-1", "serving"));
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
}

// Failure: completions that may be repeated end with an unknown outcome, as
// agents stand still in turn and their links are given up.
TEST(Outage, LosesNoCompletionWhenAgentsStandStill) {
  MixedCallers Load(m_Fleet, LeavingMix);
  CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  m_Fleet.platformFault("down");
  for (const char *Each : {"lm-desk-1", "lm-desk-2", "lm-desk-3", "lm-desk-1",
                           "lm-desk-2", "lm-desk-3"}) {
    m_Fleet.process(Each).pause();
    CHECK_TRUE(Load.waitForSuccesses(60, Limit));
    CHECK_TRUE(waitUntil(Limit, [&] { return stateOf(Each) != "serving"; }));
    m_Fleet.process(Each).resume();
    CHECK_TRUE(reaches(Each, "serving"));
  }
  m_Fleet.platformFault("none");
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
}

// Failure: completions that may be repeated end with an unknown outcome, with
// nearly all of their time left.
// Sequence: all agents stand still, one after the other, and go on. Cause: the
// attempts of a request went from one link that was about to be given up to the
// next, and were used up within a second.
TEST(Outage, LosesNoCompletionWhenAllAgentsStandStill) {
  const std::array Engines = {"lm-desk-1", "lm-desk-2", "lm-desk-3",
                              "lm-desk-4"};
  const auto Passes = [](milliseconds Time) {
    const auto End = steady_clock::now() + Time;
    return waitUntil(Limit, [&] { return steady_clock::now() >= End; });
  };
  MixedCallers Load(m_Fleet, LeavingMix);
  CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  m_Fleet.platformFault("down");
  for (int Times = 0; Times < 4; ++Times) {
    for (const char *Each : Engines) {
      m_Fleet.process(Each).pause();
      CHECK_TRUE(Passes(300ms));
    }
    CHECK_TRUE(Passes(2200ms));
    for (const char *Each : Engines)
      m_Fleet.process(Each).resume();
    CHECK_TRUE(Load.waitForSuccesses(30, Limit));
  }
  m_Fleet.platformFault("none");
  const CallerTally Tally = Load.stop();
  CHECK_TEXT(Tally.Faults.empty(), Tally.text().c_str());
}
