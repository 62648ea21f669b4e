//===- TestRetriesWhileStopping.cpp - Servers that fail during a stop -----===//
//
// A forwarded request gets a complete response, even if its server loses the
// connection or does not respond while the gateway is stopping.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

/// Longer than the gateway waits here for a response before it tries another
/// server.
constexpr milliseconds SlowResponseTime{800};

} // namespace

TEST_GROUP(RetriesWhileStopping) {
  GatewayFixture Fixture{3};
  /// Requests at servers that have not been answered.
  std::vector<Caller> PendingRequests;

  Listener::Behaviour holdRequests() {
    return [this](const proxy::Request &, const Caller &To) {
      PendingRequests.push_back(To);
    };
  }
  /// Applies \p Continuation after \p Time.
  Listener::Behaviour respondAfter(milliseconds Time,
                                   Listener::Behaviour Continuation) {
    return [this, Time, Continuation](const proxy::Request &Request,
                                      const Caller &To) {
      auto Timer = std::make_shared<boost::asio::steady_timer>(Fixture.Loop);
      Timer->expires_after(Time);
      Timer->async_wait([Timer, Request, To, Continuation](const auto &) {
        Continuation(Request, To);
      });
    };
  }
  void startServing(int Targets) {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(),
                      "figlift_gateway_targets " + std::to_string(Targets));
    }));
  }
  void stop() {
    Fixture.sendTermination();
    CHECK(Fixture.waitUntilReady(false));
  }
};

// Failure: a caller gets an error although another server could answer within
// the remaining time.
// Sequence: a server loses the connection after SIGTERM.
TEST(RetriesWhileStopping, RetriesACompleteResponseThatFits) {
  Listener &One = Fixture.addServer("s1", "plain", holdRequests());
  Listener &Two = Fixture.addServer("s2", "plain", holdRequests());
  startServing(2);
  KeepAliveCaller Connection(Fixture);
  Connection.send("GET", "/safe/x");
  CHECK(Fixture.waitUntil([&] { return PendingRequests.size() == 1; }));
  One.setBehaviour(respondWith("one"));
  Two.setBehaviour(respondWith("one"));
  stop();
  PendingRequests.at(0)->abort();
  CHECK(Fixture.waitUntil(
      [&] { return contains(Connection.received(), "one"); }));
  LONGS_EQUAL(2, One.Requests.size() + Two.Requests.size());
}

// Failure: a stream is interrupted by the end of the process.
// Sequence: an engine loses the connection after SIGTERM, before its first
// event. The request is retried at another engine, whose stream lasts longer.
// Cause: a retry is not checked for whether it ends in time.
TEST(RetriesWhileStopping, RetriesNoStreamThatMayOutlastIt) {
  Listener &One = Fixture.addServer("e1", "model", holdRequests(), "decode");
  Listener &Two = Fixture.addServer("e2", "model", holdRequests(), "decode");
  startServing(2);
  KeepAliveCaller Connection(Fixture);
  Connection.send("POST", "/stream/x");
  CHECK(Fixture.waitUntil([&] { return PendingRequests.size() == 1; }));
  One.setBehaviour(streamFor(Fixture.Loop, milliseconds(6000)));
  Two.setBehaviour(streamFor(Fixture.Loop, milliseconds(6000)));
  // Shorter than the route's timeout.
  Fixture.writeGrace(1.5);
  stop();
  PendingRequests.at(0)->abort();
  CHECK(Fixture.waitUntil([&] { return !Connection.received().empty(); }));
  CHECK(contains(Connection.received(), "HTTP/1.1 502"));
  LONGS_EQUAL(1, One.Requests.size() + Two.Requests.size());
}

// Failure: a caller gets an error although its server would have responded.
// Sequence: a server responds later than expected while the gateway is
// stopping, and the request may no longer start at another server.
// Cause: the first attempt is canceled before this is checked.
TEST(RetriesWhileStopping, WaitsForASlowServerWhenNoRetryMayStart) {
  const auto SlowStream =
      respondAfter(SlowResponseTime, streamFor(Fixture.Loop, milliseconds(20)));
  Listener &One = Fixture.addServer("e1", "model", SlowStream, "decode");
  Listener &Two = Fixture.addServer("e2", "model", SlowStream, "decode");
  startServing(2);
  KeepAliveCaller Connection(Fixture);
  Connection.send("POST", "/stream/x");
  CHECK(Fixture.waitUntil(
      [&] { return One.Requests.size() + Two.Requests.size() == 1; }));
  // The remaining time is shorter than the route's timeout and longer than the
  // server needs.
  Fixture.writeGrace(2.3);
  stop();
  CHECK(Fixture.waitUntil(
      [&] { return isCompleteStream(Connection.received()); }));
  CHECK(contains(Connection.received(), "HTTP/1.1 200"));
  LONGS_EQUAL(1, One.Requests.size() + Two.Requests.size());
}

// Failure: as above, also without a stop.
// Sequence: the slow server is the only one of its service.
// Cause: the attempt is canceled before another server has been found, and
// there is none.
TEST(RetriesWhileStopping, WaitsForASlowServerThatIsTheOnlyOne) {
  Listener &Only = Fixture.addServer(
      "s1", "plain", respondAfter(SlowResponseTime, respondWith("one")));
  startServing(1);
  KeepAliveCaller Connection(Fixture);
  Connection.send("GET", "/safe/x");
  CHECK(Fixture.waitUntil([&] { return Only.Requests.size() == 1; }));
  stop();
  CHECK(Fixture.waitUntil([&] { return !Connection.received().empty(); }));
  CHECK(contains(Connection.received(), "one"));
  LONGS_EQUAL(1, Only.Requests.size());
}

// Failure: a stream is interrupted although its engine continues it.
// Sequence: the only engine of a service pauses within a resumable stream.
// Cause: as above.
TEST(RetriesWhileStopping, WaitsForAPauseOfTheOnlyEngine) {
  const auto PauseWithinStream = [this](const proxy::Request &Request,
                                        const Caller &To) {
    beginStream(Request, To);
    To->writeStream("id: 1\n\n");
    respondAfter(SlowResponseTime,
                 [](const proxy::Request &, const Caller &PausedCaller) {
                   PausedCaller->writeStream("id: 2\n\n");
                   PausedCaller->endStream();
                 })(Request, To);
  };
  Listener &Only =
      Fixture.addServer("e1", "model", PauseWithinStream, "decode");
  startServing(1);
  KeepAliveCaller Connection(Fixture);
  Connection.send("POST", "/stream/x");
  CHECK(Fixture.waitUntil(
      [&] { return contains(Connection.received(), "id: 1\n"); }));
  stop();
  CHECK(Fixture.waitUntil([&] {
    return Connection.received(),
           isCompleteStream(Connection.received()) || Connection.isClosed();
  }));
  CHECK(contains(Connection.received(), "id: 2\n"));
  CHECK(isCompleteStream(Connection.received()));
  LONGS_EQUAL(1, Only.Requests.size());
}
