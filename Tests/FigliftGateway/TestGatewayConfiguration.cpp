//===- TestGatewayConfiguration.cpp - Changes while a gateway serves ------===//
//
// Configurations, settings and limits that change, and a store that is slow or
// away.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

TEST_GROUP(GatewayConfiguration) {
  GatewayFixture Fixture;

  void startServing() {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
  /// Whether the configuration just written becomes active \p Within this time.
  bool appliesConfiguration(uint64_t Version, std::chrono::seconds Within) {
    const auto Start = std::chrono::steady_clock::now();
    const std::string Line = "figlift_gateway_configuration_version " +
                             std::to_string(Version) + "\n";
    return Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), Line);
    }) && std::chrono::steady_clock::now() - Start < Within;
  }
};

// Failure: a changed route is occasionally served as before the change.
// Sequence: an old row is read after a newer one from a store that lags behind.
TEST(GatewayConfiguration, NeverRevertsToAnOlderConfiguration) {
  Fixture.addServer("s1", "plain", respondWith("one"));
  Fixture.configure(5);
  CHECK(Fixture.waitUntilReady());
  Fixture.Store.put("op", "config",
                    R"({"version":3,"routes":[],"services":[]})");
  for (int Count = 0; Count < 20; ++Count)
    CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
}

// Failure: gateways with a slow link to the store keep an outdated
// configuration indefinitely, so that moved routes are served as before and new
// ones are unknown.
// Sequence: the configuration grows until its transfer takes longer than the
// timeout of a store call. Each read is aborted, starts again from the first
// byte and saturates the link, although the store responds and bytes arrive at
// the rate of the link.
// Cause: the timeout limits the whole response instead of the time without
// progress.
TEST(GatewayConfiguration, AppliesALargeConfigurationOverASlowLink) {
  Fixture.addServer("a", "plain", respondWith("one"));
  startServing();
  // About 0.9 MB at 5 Mbit/s.
  Fixture.AdditionalRoutes = 4400;
  Fixture.Store.BytesPerSecond = 625'000;
  Fixture.configure(2);
  CHECK(appliesConfiguration(2, std::chrono::seconds(3)));
  CHECK(contains(Fixture.request("GET", "/more-4400/x"), "one"));
}

// Failure: when configurations follow each other quickly, an earlier one stays
// active.
TEST(GatewayConfiguration, AppliesTheLastOfSeveralConfigurations) {
  startServing();
  for (uint64_t Version = 2; Version <= 5; ++Version)
    Fixture.configure(Version);
  CHECK(appliesConfiguration(5, std::chrono::seconds(2)));
}

// Failure: a configuration never arrives over a link that pauses occasionally.
TEST(GatewayConfiguration, AppliesAConfigurationOverALinkThatPauses) {
  Fixture.addServer("a", "plain", respondWith("one"));
  startServing();
  Fixture.AdditionalRoutes = 500;
  Fixture.Store.BytesPerSecond = 1'250'000;
  Fixture.Store.MidResponsePause = std::chrono::milliseconds(1300);
  Fixture.configure(2);
  CHECK(appliesConfiguration(2, std::chrono::seconds(6)));
}

// Failure: requests wait or fail during an outage of the store.
// Cause: a request depends on a call to the store.
TEST(GatewayConfiguration, ServesWhileTheStoreIsUnavailable) {
  Fixture.addServer("s1", "plain", respondWith("one"));
  startServing();
  Fixture.Store.Unavailable = true;
  for (int Count = 0; Count < 20; ++Count)
    CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
  CHECK(Fixture.waitUntilReady());
}

// Failure: changed settings have no effect until the next start.
// Sequence: the platform replaces the file and sends no signal.
// Cause: the file is read only on a signal.
TEST(GatewayConfiguration, AppliesSettingsThatChangeWithoutASignal) {
  startServing();
  Fixture.writeSettings("not settings");
  const std::string Changed = settings::printSettings(Fixture.Settings);
  Fixture.writeSettings(Changed);
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_reloads_total 1");
  }));
}

// Failure: SIGHUP terminates the process while its settings are changed.
// Sequence: SIGHUP is sent several times in a row.
// Cause: between two waits the signal has no handler, and its default action
// terminates the process.
TEST(GatewayConfiguration, SurvivesRepeatedHangups) {
  startServing();
  for (int Count = 0; Count < 50; ++Count) {
    Fixture.sendHangup();
    Fixture.Loop.run_for(std::chrono::milliseconds(1));
  }
  CHECK(Fixture.waitUntilReady());
}

// Failure: connections keep the limits that were in force when they were
// accepted, also those accepted before there was a configuration, and proper
// requests on them are answered 413.
TEST(GatewayConfiguration, OpenConnectionsFollowTheLimitsInForce) {
  constexpr size_t AboveBuiltInLimit = (4 << 20) + 1;
  Fixture.addServer("s1", "plain", respondWith("good"));
  KeepAliveCaller Earliest(Fixture);
  Fixture.MaximumBodyBytes = 100;
  startServing();
  KeepAliveCaller Early(Fixture);
  Early.send("POST", "/unsafe/x");
  CHECK(Fixture.waitUntil([&] { return contains(Early.received(), "good"); }));
  Fixture.MaximumBodyBytes = 2 * AboveBuiltInLimit;
  Fixture.configure(2);
  CHECK(appliesConfiguration(2, std::chrono::seconds(2)));
  for (KeepAliveCaller *Caller : {&Earliest, &Early}) {
    const size_t Before = Caller->received().size();
    Caller->sendBytes("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
                      "a1\r\nContent-Length: " +
                      std::to_string(AboveBuiltInLimit) + "\r\n\r\n");
    // A limit on the length is applied to the head.
    Fixture.Loop.run_for(std::chrono::milliseconds(50));
    LONGS_EQUAL(Before, Caller->received().size());
    CHECK_FALSE(Caller->isClosed());
  }
}
