//===- TestStreamFaults.cpp - Complete responses under faults -------------===//
//
// Many streams run through two entries to two engines while a link, an engine,
// an agent or an entry fails. Every caller must get exactly the text for its
// own prompt.
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
      const size_t Position = Text.find("\n" + Name + " ");
      if (Position != std::string::npos)
        Sum += std::stod(Text.substr(Position + Name.size() + 2));
    }
    return Sum;
  }

  size_t requestsAtFirstTarget() {
    return m_Fleet.book("lm-desk-1")["requests"].size();
  }

  /// Starts streams until several of them run at the first target. An entry
  /// avoids a target that has failed and prefers a target with known speeds
  /// while it has capacity, so that the first target may get no stream at all
  /// and a fault there would have no effect.
  std::unique_ptr<StreamBurst> startBurst(unsigned Length) {
    std::unique_ptr<StreamBurst> Burst;
    const bool IsSpread = waitUntil(Limit, [&] {
      const size_t Before = requestsAtFirstTarget();
      Burst = std::make_unique<StreamBurst>(m_Fleet, Streams, Length,
                                            m_Fleet.entries(),
                                            StreamBurst::KeyMode::None);
      return Burst->waitUntilAllStarted(Limit) &&
             requestsAtFirstTarget() >= Before + Streams / 8;
    });
    CHECK_TRUE(IsSpread);
    return Burst;
  }

  /// Starts streams, calls \p InjectFault, and after the last response calls \p
  /// RemoveFault and checks that every response is complete.
  template <typename Fault, typename Repair>
  void checkFault(const std::string &Name, Fault InjectFault,
                  Repair RemoveFault, unsigned Length = Tokens) {
    const auto Burst = startBurst(Length);
    InjectFault();
    const std::string Problems = Burst->problems();
    UT_PRINT((Name + ": resumes " +
              std::to_string(metric("entry_resumes_total")) +
              " continuations " +
              std::to_string(metric("entry_continuations_total")))
                 .c_str());
    RemoveFault();
    CHECK_EQUAL_TEXT(std::string(), Problems, Name.c_str());
  }

  bool isServing(const std::string &Target) {
    nlohmann::json State = m_Fleet.getJson(m_Fleet.admin(Target), "/status");
    return State.is_object() && State.value("state", "") == "serving" &&
           State.value("entries", 0u) == m_Fleet.entries().size();
  }

  /// Applies a fault to a link until all responses have arrived.
  void checkLinkFault(const std::string &Link, const std::string &Mode,
                      milliseconds Delay = {}) {
    checkFault(
        Link + " " + Mode, [&] { m_Fleet.link(Link, Mode, Delay); },
        [&] { m_Fleet.link(Link, "pass"); });
    CHECK_TRUE(waitUntil(Limit, [&] { return isServing("lm-desk-1"); }));
  }
};

// Failure: responses end early, have a gap, or continue with the text of
// another prompt.
// Sequence: the link between the entries and an agent is cut, stalls or loses
// one direction during streams.
// Cause: frames are lost or late, and the response is not resumed at the first
// missing token.
TEST(StreamFaults, SurviveAFaultyLinkToTheAgent) {
  checkLinkFault("agent:lm-desk-1", "cut");
  checkLinkFault("agent:lm-desk-1", "freeze");
  checkLinkFault("agent:lm-desk-1", "drop-up");
  checkLinkFault("agent:lm-desk-1", "drop-down");
  checkLinkFault("agent:lm-desk-1", "delay", milliseconds(300));
}

// Failure: a response is computed twice.
// Sequence: the link to an agent is cut for a moment during streams.
// Cause: the response is continued at another engine although the agent holds
// it.
TEST(StreamFaults, ResumeAfterAMomentaryCut) {
  checkFault(
      "momentary cut",
      [&] {
        m_Fleet.link("agent:lm-desk-1", "cut");
        m_Fleet.link("agent:lm-desk-1", "pass");
      },
      [] {});
  CHECK_TRUE(metric("entry_resumes_total") > 0);
}

// Failure: responses end early.
// Sequence: the agent loses the connection to its engine during streams.
// Cause: further tokens of the engine cannot be read, so another engine has to
// continue after the delivered tokens.
TEST(StreamFaults, SurviveAFaultyLinkToTheEngine) {
  checkLinkFault("target:lm-desk-1", "cut");
  checkLinkFault("target:lm-desk-1", "freeze");
  checkLinkFault("target:lm-desk-1", "drop-down");
  checkLinkFault("target:lm-desk-1", "delay", milliseconds(300));
}

// Failure: responses end early.
// Sequence: an engine crashes during decode and restarts without state.
// Cause: its sequences are lost, so the other engine has to continue each after
// the tokens that the caller has received.
TEST(StreamFaults, ContinueOnAnotherEngineAfterACrash) {
  checkFault(
      "engine crash",
      [&] {
        call(m_Fleet.target("lm-desk-1"), "POST", "/control/crash",
             R"({"restart_after": "1s"})");
      },
      [] {});
  CHECK_TRUE(metric("entry_continuations_total") > 0);
}

// Failure: responses end early.
// Sequence: an agent is killed during streams and restarted.
// Cause: the responses that it holds are lost, while its engine continues with
// sequences that are no longer read.
TEST(StreamFaults, ContinueElsewhereWhenAnAgentIsKilled) {
  checkFault(
      "agent kill", [&] { m_Fleet.process("lm-desk-1").kill(); },
      [&] {
        CHECK_TRUE(m_Fleet.process("lm-desk-1").waitForExit(Limit));
        m_Fleet.restart("lm-desk-1");
      });
  CHECK_TRUE(waitUntil(Limit, [&] { return isServing("lm-desk-1"); }));
}

// Failure: a response contains text of another one.
// Sequence: an agent is stalled for longer than the heartbeat timeout, the
// responses continue at another engine, and the agent resumes with frames of
// the old attempts.
// Cause: late frames of abandoned attempts are accepted.
TEST(StreamFaults, IgnoreLateFramesOfAStalledAgent) {
  checkFault(
      "agent pause",
      [&] {
        m_Fleet.process("lm-desk-1").pause();
        CHECK_TRUE(waitUntil(
            Limit, [&] { return metric("entry_continuations_total") > 0; }));
        m_Fleet.process("lm-desk-1").resume();
      },
      [] {});
  CHECK_TRUE(waitUntil(Limit, [&] { return isServing("lm-desk-1"); }));
}

// Failure: responses end early.
// Sequence: an entry is stalled for longer than the heartbeat timeout and then
// resumes.
// Cause: the agents have closed its links, so the entry has to resume the
// responses that the agents hold.
TEST(StreamFaults, ResumeAfterAnEntryStalled) {
  checkFault(
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

// Failure: as above, with several faults at once.
// Sequence: one engine crashes, and the link to the other engine's agent is cut
// for a moment and then delayed.
// Cause: several attempts of a request fail one after another.
TEST(StreamFaults, SurviveSeveralFaultsAtOnce) {
  checkFault(
      "several",
      [&] {
        call(m_Fleet.target("lm-desk-1"), "POST", "/control/crash",
             R"({"restart_after": "200ms"})");
        m_Fleet.link("agent:lm-desk-2", "cut");
        m_Fleet.link("agent:lm-desk-2", "delay", milliseconds(100));
      },
      [&] { m_Fleet.link("agent:lm-desk-2", "pass"); });
}
