//===- TestStoppingGateway.cpp - From SIGTERM to the end of a gateway -----===//
//
// Callers use their connections until the process has ended. Requests that the
// gateway accepts end before the process does; it rejects the others
// immediately.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

/// Longer than the time left to any gateway here after SIGTERM.
constexpr milliseconds LongStream{6000};

} // namespace

/// A gateway with a grace period of 2 s.
TEST_GROUP(StoppingGateway) {
  GatewayFixture Fixture{2};

  void setup() override {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
};

// Failure: a response is interrupted by a planned stop.
// Sequence: seconds after SIGTERM, a caller sends a request on a keep-alive
// connection. The request is forwarded to a server, and the process ends.
// Cause: requests are accepted until the process ends.
TEST(StoppingGateway, RejectsRequestsThatCannotEndInTime) {
  Listener &Server = Fixture.addServer("s1", "plain", respondWith("one"));
  CHECK(Fixture.waitUntil(
      [&] { return contains(Fixture.request("GET", "/safe/x"), "one"); }));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
  std::string Response;
  CHECK(Fixture.waitUntil([&] {
    Response = Fixture.request("GET", "/safe/x");
    return !contains(Response, "one");
  }));
  const size_t RequestsBefore = Server.Requests.size();
  CHECK(contains(Response, "HTTP/1.1 503"));
  CHECK(contains(Response, "Retry-After"));
  CHECK(contains(Response, "Connection: close"));
  LONGS_EQUAL(RequestsBefore, Server.Requests.size());
}

// Failure: a caller's connection is closed without a response during a planned
// stop.
// Cause: the process ends while a server has not responded.
TEST(StoppingGateway, RespondsBeforeItEnds) {
  Listener &Server = Fixture.addServer(
      "s1", "plain", [](const proxy::Request &, const Caller &) {});
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  KeepAliveCaller Unsafe(Fixture);
  Unsafe.send("POST", "/long-unsafe/x");
  CHECK(Fixture.waitUntil([&] { return Server.Requests.size() == 1; }));
  Fixture.sendTermination();
  CHECK(contains(Fixture.request("GET", "/long-safe/x"), "HTTP/1.1 504"));
  CHECK(Fixture.waitUntil(
      [&] { return contains(Unsafe.received(), "HTTP/1.1 504"); }));
  // The metrics tell them apart until the process has ended.
  const std::string Metrics = Fixture.metrics();
  for (const char *Labels :
       {R"({came="before",repeatable="no",outcome="given-up"} 1)",
        R"({came="after",repeatable="yes",outcome="given-up"} 1)"})
    CHECK(contains(
        Metrics,
        std::string("figlift_gateway_requests_ended_while_stopping_total") +
            Labels));
}

// Guards against: a request that may run only once is taken after SIGTERM, as
// others of its route were short, and has no answer when the process ends.
TEST(StoppingGateway, AcceptsNoUnsafeRequestThatMayOutlastIt) {
  Listener &Server = Fixture.addServer("s1", "plain", respondWith("one"));
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  for (int Count = 0; Count < 5; ++Count)
    CHECK(contains(Fixture.request("POST", "/long-unsafe/x"), "one"));
  Server.setBehaviour([](const proxy::Request &, const Caller &) {});
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  CHECK(isStoppingRejection(Fixture.request("POST", "/long-unsafe/x")));
  LONGS_EQUAL(5, Server.Requests.size());
}

// A deadline before the end of the process limits the duration, so a rejection
// would only cost the caller another attempt.
TEST(StoppingGateway, AcceptsAnUnsafeRequestWithADeadlineBeforeItsEnd) {
  Fixture.addServer("s1", "plain", respondWith("one"));
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  CHECK(contains(
      Fixture.request("POST", "/long-unsafe/x", "X-Deadline-Ms: 800\r\n"),
      "one"));
}

// Guards against: a request that may be repeated is taken because it is usually
// short, although the last ones of its route outlast the remaining time.
TEST(StoppingGateway, AcceptsASafeRequestByTheLongestRecentOne) {
  Listener &Server = Fixture.addServer("s1", "plain", respondWith("one"));
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  CHECK(contains(Fixture.request("GET", "/long-safe/x"), "one"));
  // This one has no answer within its deadline.
  Server.setBehaviour([](const proxy::Request &, const Caller &) {});
  CHECK(contains(
      Fixture.request("GET", "/long-safe/x", "X-Deadline-Ms: 1200\r\n"),
      "HTTP/1.1 504"));
  Server.setBehaviour(respondWith("one"));
  const size_t RequestsBefore = Server.Requests.size();
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  CHECK(isStoppingRejection(Fixture.request("GET", "/long-safe/x")));
  LONGS_EQUAL(RequestsBefore, Server.Requests.size());
  // Nothing is known of the other route but the plan.
  CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
}

// Failure: a stream is interrupted by a planned stop.
// Sequence: a gateway that has just started gets SIGTERM. A caller then
// requests a stream that lasts longer than the remaining time.
// Cause: the stream is admitted by the mean duration of the route's streams,
// which is zero until the first one has ended. This mean may be 0 to 1.7 s,
// as for 14 interrupted streams, while streams of that route last 3.4 s on
// average and up to 10 s.
TEST(StoppingGateway, AcceptsNoStreamThatMayOutlastIt) {
  Listener &Engine = Fixture.addServer(
      "e1", "model", streamFor(Fixture.Loop, LongStream), "decode");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  CHECK(isStoppingRejection(Fixture.request("POST", "/long/x")));
  LONGS_EQUAL(0, Engine.Requests.size());
}

// The same with a correct mean: streams of 0.1 s have ended before, and the
// next one is longer.
TEST(StoppingGateway, AcceptsNoStreamBecauseEarlierOnesWereShort) {
  Listener &Engine = Fixture.addServer(
      "e1", "model", streamFor(Fixture.Loop, milliseconds(100)), "decode");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  for (int Count = 0; Count < 5; ++Count)
    CHECK(isCompleteStream(Fixture.request("POST", "/long/x")));
  Engine.setBehaviour(streamFor(Fixture.Loop, LongStream));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  CHECK(isStoppingRejection(Fixture.request("POST", "/long/x")));
  LONGS_EQUAL(5, Engine.Requests.size());
}

// Failure: as above, for a request that arrives before SIGTERM.
// Sequence: SIGTERM arrives during the prefill. The decode starts after it and
// outlasts the process.
// Cause: whether the request ends in time is checked only when it arrives.
TEST(StoppingGateway, StartsNoDecodeThatMayOutlastIt) {
  Caller PrefillRequest;
  Listener &PrefillEngine = Fixture.addServer(
      "e1", "model",
      [&](const proxy::Request &, const Caller &To) { PrefillRequest = To; },
      "prefill");
  Listener &DecodeEngine = Fixture.addServer(
      "e2", "model", streamFor(Fixture.Loop, LongStream), "decode");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 2");
  }));
  KeepAliveCaller Connection(Fixture);
  Connection.send("POST", "/long/x", PromptHeaders);
  CHECK(Fixture.waitUntil([&] { return PrefillEngine.Requests.size() == 1; }));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  completePrefill(PrefillEngine.Requests.at(0), PrefillRequest);
  CHECK(Fixture.waitUntil([&] { return !Connection.received().empty(); }));
  CHECK(contains(Connection.received(), "HTTP/1.1 503"));
  CHECK(contains(Connection.received(), "Retry-After"));
  LONGS_EQUAL(0, DecodeEngine.Requests.size());
}

// A deadline before the end of the process limits the duration of a stream, so
// a rejection would only cost the caller another attempt.
TEST(StoppingGateway, AcceptsAStreamWithADeadlineBeforeItsEnd) {
  Fixture.addServer("e1", "model", streamFor(Fixture.Loop, milliseconds(200)),
                    "decode");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntilReady(false));
  CHECK(isCompleteStream(
      Fixture.request("POST", "/long/x", "X-Deadline-Ms: 800\r\n")));
}

// A stream that started before SIGTERM continues until the process ends.
TEST(StoppingGateway, FinishesAStreamThatHasStarted) {
  Listener &Engine = Fixture.addServer(
      "e1", "model", streamFor(Fixture.Loop, milliseconds(1000)), "decode");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  KeepAliveCaller Connection(Fixture);
  Connection.send("POST", "/long/x");
  CHECK(Fixture.waitUntil(
      [&] { return contains(Connection.received(), "id: 1\n"); }));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntil(
      [&] { return isCompleteStream(Connection.received()); }));
  LONGS_EQUAL(1, Engine.Requests.size());
}

// Failure: a second status line appears among the events of a stream.
// Sequence: a resumable stream without prompt headers has started. Its server
// loses the connection, and there is no other server.
// Cause: a rejection by the planner for service requests is sent as if the
// response had not started.
TEST(StoppingGateway, WritesNoRejectionIntoAStream) {
  Fixture.addServer(
      "e1", "model",
      [&](const proxy::Request &Request, const Caller &To) {
        beginStream(Request, To);
        To->writeStream("id: 1\n\n");
        // The bytes must be sent before the connection is aborted.
        auto Timer = std::make_shared<boost::asio::steady_timer>(Fixture.Loop);
        Timer->expires_after(milliseconds(20));
        Timer->async_wait([Timer, To](const auto &) { To->abort(); });
      },
      "decode");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  KeepAliveCaller Connection(Fixture);
  Connection.send("POST", "/stream/x");
  CHECK(Fixture.waitUntil([&] {
    const std::string &Response = Connection.received();
    return Connection.isClosed() || contains(Response, "HTTP/1.1 5");
  }));
  CHECK(contains(Connection.received(), "id: 1\n"));
  LONGS_EQUAL(0, Connection.received().rfind("HTTP/1.1"));
}

// Failure: a caller sends its next request on a connection that is being
// closed.
// Sequence: a request is at a server when SIGTERM arrives and is answered after
// it, at the latest when the process ends.
// Cause: only requests that arrive after SIGTERM mark their connection to be
// closed.
TEST(StoppingGateway, AnnouncesTheCloseInEachResponse) {
  Listener &Server = Fixture.addServer(
      "s1", "plain", [](const proxy::Request &, const Caller &) {});
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1");
  }));
  KeepAliveCaller Connection(Fixture);
  Connection.send("POST", "/unsafe/x");
  CHECK(Fixture.waitUntil([&] { return Server.Requests.size() == 1; }));
  Fixture.sendTermination();
  CHECK(Fixture.waitUntil([&] { return !Connection.received().empty(); }));
  CHECK(contains(Connection.received(), "HTTP/1.1 504"));
  CHECK(contains(Connection.received(), "Connection: close"));
}
