//===- TestGracefulStops.cpp - Every planned stop is graceful -------------===//
//
// SIGTERM to an entry and an agent in every phase of their lives: exit status
// 0 in bounded time, and no request lost.
//
//===----------------------------------------------------------------------===//

#include "Support/Fleet.h"
#include "Support/WaitUntil.h"

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using std::chrono::seconds;

namespace {

/// With nothing to wait for.
constexpr seconds StopLimit{15};
constexpr seconds Limit{20};
constexpr unsigned LongTokens = 400;

FleetOptions stopFleet() {
  FleetOptions Options = smallFleet();
  for (TargetOptions &Target : Options.Targets)
    Target.StandInFlags =
        Target.IsEngine ? std::vector<std::string>{"--decode-step", "8ms"}
                        : std::vector<std::string>{"--service-time", "1500ms"};
  return Options;
}

} // namespace

TEST_GROUP(GracefulStops) {
  Fleet m_Fleet{stopFleet()};
  std::vector<std::string> m_All{"entry-1", "entry-2", "lm-desk-1", "lm-desk-2",
                                 "booking-core-1"};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  void stops(const std::string &Name, const char *Phase) {
    m_Fleet.process(Name).terminate();
    const std::optional<int> Code =
        m_Fleet.process(Name).waitForExit(StopLimit);
    const std::string Text =
        Name + " " + Phase + ": " + m_Fleet.process(Name).output();
    CHECK_TEXT(Code.has_value(), Text.c_str());
    CHECK_EQUAL_TEXT(0, *Code, Text.c_str());
  }
};

// Symptom: a process that hangs, crashes or exits with an error when it is
// stopped. Sequence: the platform's store goes down, every process is stopped,
// started again without a configuration, and stopped again at once. Cause: a
// stop that waits for the store, or for parts that never began.
TEST(GracefulStops, WithTheStoreDownAndBeforeAConfiguration) {
  m_Fleet.platformFault("down");
  for (const std::string &Name : m_All)
    stops(Name, "with the store down");
  for (const std::string &Name : m_All)
    m_Fleet.restart(Name);
  for (const std::string &Name : m_All)
    stops(Name, "before it has a configuration");
  m_Fleet.platformFault("none");
  for (const std::string &Name : m_All) {
    m_Fleet.restart(Name);
    stops(Name, "just started");
  }
}

// Symptom: as above. Sequence: a store that answers late; a store that takes
// requests and never answers. Cause: a stop that waits for an answer.
TEST(GracefulStops, WithASlowOrSilentStore) {
  m_Fleet.platformFault("slow", std::chrono::milliseconds(400));
  stops("entry-1", "with a slow store");
  stops("lm-desk-1", "with a slow store");
  m_Fleet.platformFault("none");
  m_Fleet.link("platform:entry-2", "freeze");
  m_Fleet.link("platform:lm-desk-2", "freeze");
  m_Fleet.link("platform:booking-core-1", "freeze");
  stops("entry-2", "with a silent store");
  stops("lm-desk-2", "with a silent store");
  stops("booking-core-1", "with a silent store");
}

// Symptom: as above. Sequence: an agent starts while its target cannot be
// reached, and is stopped while it still recovers. Cause: a stop that waits
// for the recovery.
TEST(GracefulStops, WhileAnAgentRecovers) {
  for (const std::string Target : {"lm-desk-1", "booking-core-1"})
    for (const std::string Mode : {"cut", "freeze"}) {
      m_Fleet.link("target:" + Target, Mode);
      stops(Target, "while its target cannot be reached");
      m_Fleet.restart(Target);
      stops(Target, ("recovering, " + Mode).c_str());
      m_Fleet.link("target:" + Target, "pass");
      m_Fleet.restart(Target);
    }
}

// Symptom: requests cut by an impatient second SIGTERM. Sequence: each process
// is told to stop again and again while a stream and a slot hold run through
// it. Cause: a second signal that ends the process at once.
TEST(GracefulStops, ASecondSignalCutsNothing) {
  const std::string Entry = m_Fleet.callers("entry-1");
  const std::string Key = freshKey();
  std::atomic<bool> Begun{false};
  Answer Stream;
  Answer Hold;
  std::thread Streaming([&] {
    Stream = call(Entry, "POST", "/v1/completions",
                  completionBody("desk", "patience", LongTokens), {}, Limit,
                  [&](size_t) { Begun = true; });
  });
  std::thread Holding([&] {
    Hold = call(Entry, "POST", "/v1/services/booking-core/slots/1", "{}",
                {{"Idempotency-Key", Key}});
  });
  const bool Runs = waitUntil(Limit, [&] {
    return Begun && m_Fleet.book("booking-core-1").value("running", 0) == 1;
  });
  for (const std::string &Name : m_All)
    for (int Times = 0; Times < 3; ++Times)
      m_Fleet.process(Name).terminate();
  Streaming.join();
  Holding.join();
  CHECK_TRUE(Runs);
  CHECK_TRUE(Stream.isStreamComplete());
  CHECK_EQUAL(expectedText("patience", LongTokens), Stream.streamedText());
  CHECK_EQUAL_TEXT(200, Hold.Status, Hold.Body.c_str());
  CHECK_EQUAL(1, m_Fleet.executions(Key));
  for (const std::string &Name : m_All)
    stops(Name, "signalled again");
}
