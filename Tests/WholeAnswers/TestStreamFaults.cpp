//===- TestStreamFaults.cpp - Whole answers under faults ------------------===//
//
// Many streams run through two entries to two engines while a link, an
// engine, an agent or an entry fails. Every caller must get exactly the text
// that is due to its own prompt.
//
//===----------------------------------------------------------------------===//

#include "StreamBurst.h"
#include "Support/WaitUntil.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned Streams = 24;
constexpr unsigned Tokens = 300;
constexpr seconds Limit{20};

FleetOptions streamFleet() {
  FleetOptions Options = smallFleet();
  Options.Targets.pop_back();
  for (TargetOptions &Target : Options.Targets)
    Target.StandInFlags = {"--decode-step", "8ms", "--decode-per-sequence",
                           "0ms"};
  Options.AgentSettings = {{"target", {{"timeout", "1500ms"}}}};
  return Options;
}

} // namespace

TEST_GROUP(StreamFaults) {
  Fleet m_Fleet{streamFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  /// Sum of a metric over the entries.
  double metric(const std::string &Name) {
    double Sum = 0;
    for (const std::string &Entry : m_Fleet.entries()) {
      const std::string Text =
          "\n" + call(m_Fleet.callers(Entry), "GET", "/metrics").Body;
      const size_t At = Text.find("\n" + Name + " ");
      if (At != std::string::npos)
        Sum += std::stod(Text.substr(At + Name.size() + 2));
    }
    return Sum;
  }

  size_t runsAtFirst() { return m_Fleet.book("lm-desk-1")["requests"].size(); }

  /// Starts streams of which several run at the first target. An entry keeps
  /// away from a target that has failed, and prefers one with known speeds
  /// while it has room; a fault at the other would meet no stream.
  std::unique_ptr<StreamBurst> startBurst(unsigned Length) {
    std::unique_ptr<StreamBurst> Burst;
    const bool IsSpread = waitUntil(Limit, [&] {
      const size_t Before = runsAtFirst();
      Burst = std::make_unique<StreamBurst>(
          m_Fleet, Streams, Length, m_Fleet.entries(), StreamBurst::Keys::None);
      return Burst->waitUntilAllRun(Limit) &&
             runsAtFirst() >= Before + Streams / 8;
    });
    CHECK_TRUE(IsSpread);
    return Burst;
  }

  /// Streams run, \p Break happens, every answer is whole; \p Mend follows.
  template <typename Fault, typename Repair>
  void prove(const std::string &Name, Fault Break, Repair Mend,
             unsigned Length = Tokens) {
    const auto Burst = startBurst(Length);
    Break();
    const std::string Problems = Burst->problems();
    UT_PRINT((Name + ": resumes " +
              std::to_string(metric("entry_resumes_total")) +
              " continuations " +
              std::to_string(metric("entry_continuations_total")))
                 .c_str());
    Mend();
    CHECK_EQUAL_TEXT(std::string(), Problems, Name.c_str());
  }

  bool serving(const std::string &Target) {
    nlohmann::json State = m_Fleet.getJson(m_Fleet.admin(Target), "/status");
    return State.is_object() && State.value("state", "") == "serving" &&
           State.value("entries", 0u) == m_Fleet.entries().size();
  }

  /// A fault of a link lasts until all answers have come.
  void proveLink(const std::string &Link, const std::string &Mode,
                 milliseconds Delay = {}) {
    prove(
        Link + " " + Mode, [&] { m_Fleet.link(Link, Mode, Delay); },
        [&] { m_Fleet.link(Link, "pass"); });
    CHECK_TRUE(waitUntil(Limit, [&] { return serving("lm-desk-1"); }));
  }
};

// Symptom: answers that stop, or go on with a hole, or with another prompt's
// text. Sequence: the link between entries and an agent breaks, stalls or
// loses one direction while streams run. Cause: frames are lost or come late,
// and the rest must be fetched from the token that is missing.
TEST(StreamFaults, SurviveAFaultyLinkToTheAgent) {
  proveLink("agent:lm-desk-1", "cut");
  proveLink("agent:lm-desk-1", "freeze");
  proveLink("agent:lm-desk-1", "drop-up");
  proveLink("agent:lm-desk-1", "drop-down");
  proveLink("agent:lm-desk-1", "delay", milliseconds(300));
}

// Symptom: work is done twice. Sequence: the link to an agent breaks for a
// moment in mid-stream and is there again. Cause: the answer is continued on
// another engine although its agent holds it.
TEST(StreamFaults, ResumeAfterAMomentaryCut) {
  prove(
      "momentary cut",
      [&] {
        m_Fleet.link("agent:lm-desk-1", "cut");
        m_Fleet.link("agent:lm-desk-1", "pass");
      },
      [] {});
  CHECK_TRUE(metric("entry_resumes_total") > 0);
}

// Symptom: answers that end early. Sequence: the agent loses its engine's
// answer in mid-stream. Cause: what the engine still produces cannot be had;
// another engine has to continue after the delivered tokens.
TEST(StreamFaults, SurviveAFaultyLinkToTheEngine) {
  proveLink("target:lm-desk-1", "cut");
  proveLink("target:lm-desk-1", "freeze");
  proveLink("target:lm-desk-1", "drop-down");
  proveLink("target:lm-desk-1", "delay", milliseconds(300));
}

// Symptom: answers that end early. Sequence: an engine crashes while it
// decodes, and comes back empty. Cause: its sequences are lost; the other
// engine continues each after the tokens that its caller has.
TEST(StreamFaults, ContinueOnAnotherEngineAfterACrash) {
  prove(
      "engine crash",
      [&] {
        call(m_Fleet.target("lm-desk-1"), "POST", "/control/crash",
             R"({"restart_after": "1s"})");
      },
      [] {});
  CHECK_TRUE(metric("entry_continuations_total") > 0);
}

// Symptom: answers that end early. Sequence: the agent is killed in mid-stream
// and started again. Cause: held answers die with it, while its engine goes on
// with sequences that nobody reads.
TEST(StreamFaults, ContinueElsewhereWhenAnAgentIsKilled) {
  prove(
      "agent kill", [&] { m_Fleet.process("lm-desk-1").kill(); },
      [&] {
        CHECK_TRUE(m_Fleet.process("lm-desk-1").waitForExit(Limit));
        m_Fleet.restart("lm-desk-1");
      });
  CHECK_TRUE(waitUntil(Limit, [&] { return serving("lm-desk-1"); }));
}

// Symptom: one answer's text in another. Sequence: an agent stands still past
// the heartbeat's limit, the answers go on elsewhere, and it wakes up with
// frames of the old attempts. Cause: late frames of attempts given up.
TEST(StreamFaults, IgnoreFramesOfAnAgentThatWakesUpLate) {
  prove(
      "agent pause",
      [&] {
        m_Fleet.process("lm-desk-1").pause();
        CHECK_TRUE(waitUntil(
            Limit, [&] { return metric("entry_continuations_total") > 0; }));
        m_Fleet.process("lm-desk-1").resume();
      },
      [] {});
  CHECK_TRUE(waitUntil(Limit, [&] { return serving("lm-desk-1"); }));
}

// Symptom: answers that end early. Sequence: an entry stands still for longer
// than the heartbeat's limit and goes on. Cause: its links are given up by the
// agents meanwhile; the answers are held there and resumed.
TEST(StreamFaults, ResumeAfterAnEntryStoodStill) {
  prove(
      "entry pause",
      [&] {
        m_Fleet.process("entry-1").pause();
        CHECK_TRUE(waitUntil(Limit, [&] {
          nlohmann::json State =
              m_Fleet.getJson(m_Fleet.admin("lm-desk-1"), "/status");
          return State.is_object() && State.value("entries", 2u) == 1;
        }));
        m_Fleet.process("entry-1").resume();
      },
      [] {}, 4 * Tokens);
  CHECK_TRUE(metric("entry_resumes_total") > 0);
}

// Symptom: as above, all at once. Sequence: one engine crashes, the link to
// the other's agent is cut for a moment, then delays. Cause: the attempts of a
// request fail one after another.
TEST(StreamFaults, SurviveSeveralFaultsAtOnce) {
  prove(
      "several",
      [&] {
        call(m_Fleet.target("lm-desk-1"), "POST", "/control/crash",
             R"({"restart_after": "200ms"})");
        m_Fleet.link("agent:lm-desk-2", "cut");
        m_Fleet.link("agent:lm-desk-2", "delay", milliseconds(100));
      },
      [&] { m_Fleet.link("agent:lm-desk-2", "pass"); });
}
