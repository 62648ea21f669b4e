//===- TestChangedGrace.cpp - Signals and settings around SIGTERM ---------===//
//
// The platform sends SIGKILL after the grace period of the settings that it
// read last, and the process cannot know which settings these are. It stops
// before the earliest possible SIGKILL and sends its last responses before
// that.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <fcntl.h>
#include <memory>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

/// Ends within the 5 s of GatewayFixture::waitUntil(), with a margin for a busy
/// machine.
constexpr double ShortGrace = 2;
/// Ends after the 5 s of GatewayFixture::waitUntil().
constexpr double LongGrace = 60;

/// Deadline of a stream that, if accepted, outlasts a stop with ShortGrace.
constexpr auto OutlastingDeadline = "X-Deadline-Ms: 4000\r\n";

} // namespace

/// A gateway with a caller that waits for a server that does not respond.
TEST_GROUP(ChangedGrace) {
  std::unique_ptr<GatewayFixture> Fixture;
  std::unique_ptr<KeepAliveCaller> PendingCaller;
  /// Of the settings file, while the gateway is stalled.
  int Writer = -1;

  void startWithGrace(double Grace) {
    Fixture = std::make_unique<GatewayFixture>(Grace);
    Fixture->configure();
    CHECK(Fixture->waitUntilReady());
    Listener &Silent = Fixture->addServer(
        "e1", "model", [](const proxy::Request &, const Caller &) {}, "decode");
    CHECK(Fixture->waitUntil([&] {
      return contains(Fixture->metrics(), "figlift_gateway_targets 1");
    }));
    PendingCaller = std::make_unique<KeepAliveCaller>(*Fixture);
    PendingCaller->send("POST", "/long/x");
    CHECK(Fixture->waitUntil([&] { return Silent.Requests.size() == 1; }));
  }
  void sendHangups() {
    for (int Count = 0; Count < 20; ++Count) {
      Fixture->sendHangup();
      Fixture->Loop.run_for(milliseconds(1));
    }
  }
  /// Stalls the gateway until resume() is called: its settings file is a FIFO
  /// without data.
  void stall() {
    const char *File = Fixture->settingsFile().c_str();
    LONGS_EQUAL(0, unlink(File));
    LONGS_EQUAL(0, mkfifo(File, 0600));
    Fixture->sendHangup();
    // Opens once there is a reader. A second writer would stall the process
    // forever.
    CHECK(Fixture->waitUntil([&] {
      if (Writer < 0)
        Writer = open(File, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return Writer >= 0;
    }));
    LONGS_EQUAL(0, unlink(File));
  }
  void resume() {
    const std::string Settings = settings::printSettings(Fixture->Settings);
    LONGS_EQUAL(Settings.size(),
                write(Writer, Settings.data(), Settings.size()));
    close(std::exchange(Writer, -1));
  }
  /// Starts a gateway with ShortGrace and returns its server, which responds at
  /// once.
  Listener &startWithServer() {
    startWithGrace(ShortGrace);
    Listener &Server = Fixture->addServer("s1", "plain", respondWith("one"));
    CHECK(Fixture->waitUntil([&] {
      return contains(Fixture->metrics(), "figlift_gateway_targets 2");
    }));
    return Server;
  }
  /// Opens connections on which one request has been answered.
  void openConnections(std::deque<KeepAliveCaller> & Connections,
                       unsigned Count) {
    for (unsigned I = 0; I < Count; ++I) {
      KeepAliveCaller &Connection = Connections.emplace_back(*Fixture);
      Connection.send("POST", "/unsafe/x");
      CHECK(Fixture->waitUntil(
          [&] { return contains(Connection.received(), "one"); }));
    }
  }
  void checkRejected(std::deque<KeepAliveCaller> & Connections) {
    for (KeepAliveCaller &Connection : Connections) {
      CHECK(Fixture->waitUntil(
          [&] { return Connection.received(), Connection.isClosed(); }));
      CHECK(contains(Connection.received(), "HTTP/1.1 503"));
    }
  }
  /// Sends a request on each connection to a gateway that is stalled, and
  /// SIGTERM after them, before it goes on.
  void terminateInAStall(std::deque<KeepAliveCaller> & Connections) {
    constexpr milliseconds StallTime{400};
    // One check of the file sees this change, so that the next check is 1 s
    // away.
    Fixture->writeGrace(ShortGrace + 0.1);
    CHECK(waitForReloads(1));
    stall();
    for (KeepAliveCaller &Connection : Connections)
      Connection.send("POST", "/long-unsafe/x");
    Fixture->Loop.run_for(StallTime);
    Fixture->sendTermination();
    resume();
  }
  bool waitForReloads(int Reloads) {
    return Fixture->waitUntil([&] {
      return contains(Fixture->metrics(), "figlift_gateway_reloads_total " +
                                              std::to_string(Reloads));
    });
  }
  /// Checks that the caller gets its final response and that the gateway stops
  /// within ShortGrace.
  void checkStops() {
    CHECK(Fixture->waitUntil(
        [&] { return PendingCaller->received(), PendingCaller->isClosed(); }));
    CHECK(contains(PendingCaller->received(), "HTTP/1.1 504"));
    CHECK(PendingCaller->received().ends_with("\r\n\r\n"));
    CHECK(Fixture->waitUntil([&] { return Fixture->hasStopped(); }));
  }
  void teardown() override {
    PendingCaller.reset();
    Fixture.reset();
  }
};

// Failure: callers get no final response, because SIGKILL comes first.
// Sequence: the settings get a shorter grace period, with a series of SIGHUP
// before SIGTERM and another series after it.
// Cause: the grace period is that of the settings at the start of the process.
TEST(ChangedGrace, UsesAShorterOneFromBeforeTermination) {
  startWithGrace(LongGrace);
  Fixture->writeGrace(ShortGrace);
  sendHangups();
  Fixture->sendTermination();
  sendHangups();
  checkStops();
}

// The same, when SIGTERM comes first.
TEST(ChangedGrace, UsesAShorterOneThatArrivesWhileStopping) {
  startWithGrace(LongGrace);
  Fixture->sendTermination();
  CHECK(Fixture->waitUntilReady(false));
  Fixture->writeGrace(ShortGrace);
  sendHangups();
  CHECK(isStoppingRejection(
      Fixture->request("POST", "/long/x", OutlastingDeadline)));
  checkStops();
}

// Failure: as above, and streams are accepted that SIGKILL interrupts.
// Sequence: the settings get a longer grace period right after SIGTERM, and
// SIGKILL is sent after the shorter one.
// Cause: the newest settings are applied.
TEST(ChangedGrace, KeepsTheShorterOneWhenALongerOneArrivesWhileStopping) {
  startWithGrace(ShortGrace);
  Fixture->sendTermination();
  CHECK(Fixture->waitUntilReady(false));
  Fixture->writeGrace(LongGrace);
  sendHangups();
  CHECK(isStoppingRejection(
      Fixture->request("POST", "/long/x", OutlastingDeadline)));
  checkStops();
}

// Failure: as above.
// Sequence: the file changes to a shorter grace period without a signal, right
// before SIGTERM.
// Cause: the file is checked once per second.
TEST(ChangedGrace, UsesAShorterOneThatWasNotReadYet) {
  startWithGrace(LongGrace);
  Fixture->writeGrace(ShortGrace);
  Fixture->sendTermination();
  checkStops();
}

// Failure: as above.
// Sequence: the same with a longer grace period. The platform may have read its
// settings before the change.
// Cause: the settings that are read because of SIGTERM replace the grace period
// that was active when SIGTERM came, so that the earlier SIGKILL is no longer
// taken into account.
TEST(ChangedGrace, KeepsTheShorterOneWhenALongerOneWasNotReadYet) {
  startWithGrace(ShortGrace);
  // One check of the file sees this change, so that the next check is 1 s away.
  Fixture->writeGrace(ShortGrace + 0.1);
  CHECK(waitForReloads(1));
  Fixture->writeGrace(LongGrace);
  Fixture->sendTermination();
  CHECK(Fixture->waitUntilReady(false));
  CHECK(isStoppingRejection(
      Fixture->request("POST", "/long/x", OutlastingDeadline)));
  checkStops();
}

// Failure: the time left to a stopping process starts again, or the process
// ends immediately.
// Cause: a second SIGTERM is treated like the first one or like SIGKILL.
TEST(ChangedGrace, IgnoresRepeatedTerminationSignals) {
  startWithGrace(ShortGrace);
  Fixture->addServer("s1", "plain", respondWith("one"));
  CHECK(Fixture->waitUntil([&] {
    return contains(Fixture->metrics(), "figlift_gateway_targets 2");
  }));
  const auto Start = BootClock::now();
  Fixture->sendTermination();
  CHECK(Fixture->waitUntilReady(false));
  for (int Count = 0; Count < 3; ++Count)
    Fixture->sendTermination();
  CHECK(contains(Fixture->request("GET", "/safe/x"), "one"));
  // Sends SIGTERM repeatedly until the gateway stops; none of these signals
  // changes the time of the stop.
  CHECK(Fixture->waitUntil([&] {
    Fixture->sendTermination();
    return Fixture->hasStopped();
  }));
  CHECK(BootClock::now() - Start < 2 * std::chrono::seconds(2));
  checkStops();
}

// Failure: a stream is accepted and interrupted by SIGKILL.
// Sequence: the process is stalled while SIGTERM arrives. When it resumes, a
// timer tick is due and the signal is pending.
// Cause: the tick runs first, and the time of the latest tick is used as the
// earliest time at which SIGTERM may have arrived.
TEST(ChangedGrace, IncludesTheTimeOfAStall) {
  constexpr milliseconds StallTime{1500};
  startWithGrace(ShortGrace);
  // One check of the file sees this change, so that the next check is 1 s away.
  Fixture->writeGrace(ShortGrace + 0.1);
  CHECK(waitForReloads(1));
  stall();
  Fixture->sendTermination();
  Fixture->Loop.run_for(StallTime);
  resume();
  CHECK(Fixture->waitUntilReady(false));
  // Less than 0.1 s of the two seconds is left.
  CHECK(isStoppingRejection(
      Fixture->request("POST", "/long/x", "X-Deadline-Ms: 600\r\n")));
  checkStops();
}

// Guards against: a process that was stalled reads a request before the SIGTERM
// that came meanwhile, passes it on, and gives it up at its end.
TEST(ChangedGrace, HandlesTerminationBeforeRequestsOfAStall) {
  Listener &Server = startWithServer();
  std::deque<KeepAliveCaller> Connections;
  openConnections(Connections, 1);
  terminateInAStall(Connections);
  checkRejected(Connections);
  LONGS_EQUAL(1, Server.Requests.size());
}

// Guards against: the same with more requests than one turn of the event loop
// reads, so that a later turn reads the signal.
TEST(ChangedGrace, HandlesTerminationBeforeManyRequestsOfAStall) {
  constexpr unsigned Requests = 400;
  Listener &Server = startWithServer();
  std::deque<KeepAliveCaller> Connections;
  openConnections(Connections, Requests);
  terminateInAStall(Connections);
  checkRejected(Connections);
  LONGS_EQUAL(Requests, Server.Requests.size());
}

// Failure: a process that is stopped right after its start does not end in time
// or does not send callers to other gateways.
// Sequence: SIGTERM arrives before the first configuration.
TEST(ChangedGrace, StopsBeforeItHasAConfiguration) {
  Fixture = std::make_unique<GatewayFixture>(ShortGrace);
  Listener &Server = Fixture->addServer("s1", "plain", respondWith("one"));
  Fixture->sendTermination();
  // This response shows that SIGTERM has been handled.
  CHECK(Fixture->waitUntil(
      [&] { return isStoppingRejection(Fixture->request("GET", "/safe/x")); }));
  LONGS_EQUAL(0, Server.Requests.size());
  Fixture->configure();
  CHECK(Fixture->waitUntil(
      [&] { return contains(Fixture->request("GET", "/safe/x"), "one"); }));
  CHECK(Fixture->waitUntil([&] { return Fixture->hasStopped(); }));
}
