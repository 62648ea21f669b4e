//===- TestServerLimits.cpp - Rate limits announced by servers ------------===//
//
// Servers that announce how many requests per second they accept.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

/// Responds immediately and announces \p Limit.
Listener::Behaviour announceLimit(const std::string &Limit) {
  return [Limit](const proxy::Request &, const Caller &To) {
    proxy::ResponseHead Head;
    Head.Status = 200;
    Head.Headers.add("X-Attempt-Id", "a1");
    Head.Headers.add("X-Response-Signature", "s");
    Head.Headers.add("Server-Limit", Limit);
    To->respond(Head, "good");
  };
}

} // namespace

TEST_GROUP(ServerLimits) {
  GatewayFixture Fixture;

  void startServing() {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
  /// Sends about 50 requests per second for \p Time and returns the number of
  /// successful responses.
  unsigned sendRequests(std::chrono::milliseconds Time) {
    unsigned Successes = 0;
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      Successes += contains(Fixture.request("GET", "/safe/x"), "good") ? 1 : 0;
      Fixture.Loop.run_for(std::chrono::milliseconds(15));
    }
    return Successes;
  }
};

// Failure: an overloaded server gets more requests than the limit that it
// announces, for example 167 requests in 4 s at a limit of 26 per second that
// the gateways have already forwarded for 3 s.
// Cause: no gateway reads the limit, so routing sends the server as much as
// before.
TEST(ServerLimits, AreKept) {
  Listener &Limited = Fixture.addServer("s1", "plain", announceLimit("5.0"));
  startServing();
  // By its measured speed, the server would still get nearly all requests.
  sendRequests(std::chrono::milliseconds(500));
  Listener &Other = Fixture.addServer("s2", "plain", respondWith("good"));
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 2");
  }));
  const size_t Before = Limited.Requests.size();
  const unsigned Successes = sendRequests(std::chrono::milliseconds(2000));
  // Ten requests in two seconds, a tenth more, and one that was already due.
  CHECK(Limited.Requests.size() - Before <= 12);
  CHECK(Successes > 60);
  CHECK(Other.Requests.size() > 50);
}

// Failure: a recovered server stays limited to its rate under overload.
TEST(ServerLimits, AreLifted) {
  Listener &Server = Fixture.addServer("s1", "plain", announceLimit("0"));
  startServing();
  sendRequests(std::chrono::milliseconds(300));
  CHECK(contains(Fixture.metrics(), "figlift_gateway_limited_servers 1"));
  const size_t Before = Server.Requests.size();
  CHECK(contains(Fixture.request("GET", "/safe/x"), "HTTP/1.1 503"));
  LONGS_EQUAL(Before, Server.Requests.size());
  Server.setBehaviour(respondWith("good"));
  // The gateway sends a request to a limited server at least every 4 s.
  CHECK(Fixture.waitUntil(
      [&] { return contains(Fixture.request("GET", "/safe/x"), "good"); }));
  CHECK(contains(Fixture.metrics(), "figlift_gateway_limited_servers 0"));
  CHECK(sendRequests(std::chrono::milliseconds(300)) > 8);
}

// Failure: an invalid header value is applied as a limit.
TEST(ServerLimits, AreNotTakenFromInvalidValues) {
  Listener &Server = Fixture.addServer("s1", "plain", announceLimit("-1"));
  startServing();
  for (const char *Text : {"-1", "five", "1e300", "", "nan"}) {
    Server.setBehaviour(announceLimit(Text));
    CHECK(contains(Fixture.request("GET", "/safe/x"), "good"));
    CHECK(contains(Fixture.metrics(), "figlift_gateway_limited_servers 0"));
  }
}
