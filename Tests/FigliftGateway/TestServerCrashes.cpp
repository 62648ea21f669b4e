//===- TestServerCrashes.cpp - Detection of crashed servers ---------------===//
//
// Which events a gateway counts as the crash of a server, and which not.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {
const std::string CrashMetric = "figlift_gateway_server_crashes_total ";
} // namespace

TEST_GROUP(ServerCrashes) { GatewayFixture Fixture; };

TEST(ServerCrashes, AreDetectedByRefusedConnections) {
  Fixture.addServer("s1", "plain", [&](const proxy::Request &, const Caller &) {
    Fixture.crash("s1");
  });
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  CHECK(contains(Fixture.request("POST", "/unsafe/x"), "HTTP/1.1 502"));
  CHECK(Fixture.waitUntil(
      [&] { return contains(Fixture.metrics(), CrashMetric + "1"); }));
}

// Failure: a crash is not detected when another process accepts connections at
// the server's address.
TEST(ServerCrashes, AreDetectedByRemovalAfterALostConnection) {
  const auto AbortConnection = [&](const proxy::Request &, const Caller &To) {
    To->abort();
  };
  Fixture.addServer("s1", "plain", AbortConnection);
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  Fixture.request("POST", "/unsafe/x");
  Fixture.Store.remove("servers", "s1");
  CHECK(Fixture.waitUntil(
      [&] { return contains(Fixture.metrics(), CrashMetric + "1"); }));
}

// Failure: a server that shuts down as planned is counted as crashed.
TEST(ServerCrashes, AreNotCountedForDrainingServers) {
  Fixture.addServer(
      "s1", "plain",
      [&](const proxy::Request &, const Caller &To) { To->abort(); });
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  Fixture.request("POST", "/unsafe/x");
  Fixture.setServerState("s1", "draining");
  Fixture.Loop.run_for(std::chrono::milliseconds(200));
  Fixture.Store.remove("servers", "s1");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 0");
  }));
  CHECK(contains(Fixture.metrics(), CrashMetric + "0"));
}

// Failure: a server that occasionally aborts a connection before its response
// is counted as crashed.
TEST(ServerCrashes, AreNotCountedForLostConnections) {
  Fixture.addServer(
      "s1", "plain",
      [&](const proxy::Request &, const Caller &To) { To->abort(); });
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  for (int Attempt = 0; Attempt < 5; ++Attempt)
    CHECK(contains(Fixture.request("POST", "/unsafe/x"), "HTTP/1.1 502"));
  // Longer than both probes of the server take.
  Fixture.Loop.run_for(std::chrono::milliseconds(300));
  CHECK(contains(Fixture.metrics(), CrashMetric + "0"));
}
