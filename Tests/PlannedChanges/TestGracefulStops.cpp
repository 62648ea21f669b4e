//===- TestGracefulStops.cpp - Every planned stop is graceful -------------===//
//
// SIGTERM to entries and agents in every phase of their execution. They must
// exit with status 0 within a time limit and lose no request.
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

/// For a stop without requests in flight.
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
  std::vector<std::string> m_ProcessNames{"entry-1", "entry-2", "lm-desk-1",
                                          "lm-desk-2", "booking-core-1"};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  void checkStop(const std::string &Name, const char *Phase) {
    m_Fleet.process(Name).terminate();
    const std::optional<int> Code =
        m_Fleet.process(Name).waitForExit(StopLimit);
    const std::string Text =
        Name + " " + Phase + ": " + m_Fleet.process(Name).output();
    CHECK_TEXT(Code.has_value(), Text.c_str());
    CHECK_EQUAL_TEXT(0, *Code, Text.c_str());
  }
};

// Failure: a process hangs, crashes or exits with an error when it is stopped.
// Sequence: the platform's store goes down. Every process is stopped, restarted
// without a configuration, and stopped again immediately.
// Cause: the stop waits for the store or for components that have not started.
TEST(GracefulStops, WithTheStoreDownAndBeforeAConfiguration) {
  m_Fleet.platformFault("down");
  for (const std::string &Name : m_ProcessNames)
    checkStop(Name, "with the store down");
  for (const std::string &Name : m_ProcessNames)
    m_Fleet.restart(Name);
  for (const std::string &Name : m_ProcessNames)
    checkStop(Name, "before it has a configuration");
  m_Fleet.platformFault("none");
  for (const std::string &Name : m_ProcessNames) {
    m_Fleet.restart(Name);
    checkStop(Name, "just started");
  }
}

// Failure: as above.
// Sequence: the store responds late, or accepts requests and never responds.
// Cause: the stop waits for a response.
TEST(GracefulStops, WithASlowOrSilentStore) {
  m_Fleet.platformFault("slow", std::chrono::milliseconds(400));
  checkStop("entry-1", "with a slow store");
  checkStop("lm-desk-1", "with a slow store");
  m_Fleet.platformFault("none");
  m_Fleet.link("platform:entry-2", "freeze");
  m_Fleet.link("platform:lm-desk-2", "freeze");
  m_Fleet.link("platform:booking-core-1", "freeze");
  checkStop("entry-2", "with a silent store");
  checkStop("lm-desk-2", "with a silent store");
  checkStop("booking-core-1", "with a silent store");
}

// Failure: as above.
// Sequence: an agent starts while its target is unreachable and is stopped
// during recovery.
// Cause: the stop waits for the recovery.
TEST(GracefulStops, WhileAnAgentRecovers) {
  for (const std::string Target : {"lm-desk-1", "booking-core-1"})
    for (const std::string Mode : {"cut", "freeze"}) {
      m_Fleet.link("target:" + Target, Mode);
      checkStop(Target, "while its target cannot be reached");
      m_Fleet.restart(Target);
      checkStop(Target, ("recovering, " + Mode).c_str());
      m_Fleet.link("target:" + Target, "pass");
      m_Fleet.restart(Target);
    }
}

// Failure: requests are interrupted by a second SIGTERM.
// Sequence: each process gets SIGTERM repeatedly while it handles a stream and
// a slot hold.
// Cause: a second signal ends the process immediately.
TEST(GracefulStops, ASecondSignalInterruptsNothing) {
  const std::string Entry = m_Fleet.callers("entry-1");
  const std::string Key = freshKey();
  std::atomic<bool> Started{false};
  Answer Stream;
  Answer Hold;
  std::thread StreamThread([&] {
    Stream = call(Entry, "POST", "/v1/completions",
                  completionBody("desk", "patience", LongTokens), {}, Limit,
                  [&](size_t) { Started = true; });
  });
  std::thread HoldThread([&] {
    Hold = call(Entry, "POST", "/v1/services/booking-core/slots/1", "{}",
                {{"Idempotency-Key", Key}});
  });
  const bool BothRunning = waitUntil(Limit, [&] {
    return Started && m_Fleet.book("booking-core-1").value("running", 0) == 1;
  });
  for (const std::string &Name : m_ProcessNames)
    for (int Count = 0; Count < 3; ++Count)
      m_Fleet.process(Name).terminate();
  StreamThread.join();
  HoldThread.join();
  CHECK_TRUE(BothRunning);
  CHECK_TRUE(Stream.isStreamComplete());
  CHECK_EQUAL(expectedText("patience", LongTokens), Stream.streamedText());
  CHECK_EQUAL_TEXT(200, Hold.Status, Hold.Body.c_str());
  CHECK_EQUAL(1, m_Fleet.executions(Key));
  for (const std::string &Name : m_ProcessNames)
    checkStop(Name, "signalled again");
}
