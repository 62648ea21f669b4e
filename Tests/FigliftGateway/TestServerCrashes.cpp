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
const std::string SuspectMetric = "figlift_gateway_suspected_requests ";
} // namespace

TEST_GROUP(ServerCrashes) {
  GatewayFixture Fixture;

  /// Starts "s1", which aborts each connection except for /unsafe/good, and
  /// waits until requests have fingerprints.
  void startAborting() {
    Fixture.addServer("s1", "plain",
                      [&](const proxy::Request &Request, const Caller &To) {
                        if (Request.Head.Target != "/unsafe/good")
                          return To->abort();
                        respondSigned(Request, To, 200, "good");
                      });
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return Fixture.Store.value("figlift-gateways", "#secret") != "";
    }));
  }
  void removeServer() {
    Fixture.Store.remove("servers", "s1");
    CHECK(Fixture.waitUntil(
        [&] { return contains(Fixture.metrics(), CrashMetric + "1"); }));
  }
};

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

// Failure: a request that is sent to a server after its end, while something
// still accepts connections at its address, counts as a cause of the crash.
TEST(ServerCrashes, AreNotCausedByRequestsThatWereSentAfterwards) {
  startAborting();
  Fixture.request("POST", "/unsafe/x");
  Fixture.Loop.run_for(std::chrono::milliseconds(100));
  Fixture.request("POST", "/unsafe/y");
  removeServer();
  CHECK(contains(Fixture.metrics(), SuspectMetric + "1"));
}

// Failure: a request that crashes a server is not suspected, as the server had
// closed another connection shortly before.
TEST(ServerCrashes, MayBeCausedByRequestsSentAfterALostConnection) {
  startAborting();
  Fixture.request("POST", "/unsafe/x");
  CHECK(contains(Fixture.request("POST", "/unsafe/good"), "good"));
  Fixture.request("POST", "/unsafe/y");
  removeServer();
  CHECK(contains(Fixture.metrics(), SuspectMetric + "2"));
}
