//===- TestServerCrashes.cpp - A gateway whose servers end ----------------===//
//
// What a gateway takes for the end of a server, and what it does not.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {
const std::string Crashes = "figlift_gateway_server_crashes_total ";
} // namespace

TEST_GROUP(ServerCrashes) { GatewayScene Scene; };

TEST(ServerCrashes, AreToldWhenAServerRefusesConnections) {
  Scene.server("s1", "plain", [&](const proxy::Request &, const Caller &) {
    Scene.crash("s1");
  });
  Scene.configure();
  CHECK(Scene.becomesReady());
  CHECK(has(Scene.ask("POST", "/unsafe/x"), "HTTP/1.1 502"));
  CHECK(Scene.until([&] { return has(Scene.metrics(), Crashes + "1"); }));
}

// Failure: where something else takes a server's connections, no crash of it is
// known.
TEST(ServerCrashes, AreToldWhenTheListDropsAServerThatBrokeOff) {
  const auto BreaksOff = [&](const proxy::Request &, const Caller &To) {
    To->abort();
  };
  Scene.server("s1", "plain", BreaksOff);
  Scene.configure();
  CHECK(Scene.becomesReady());
  Scene.ask("POST", "/unsafe/x");
  Scene.Store.remove("servers", "s1");
  CHECK(Scene.until([&] { return has(Scene.metrics(), Crashes + "1"); }));
}

// Failure: a server that leaves by plan is taken for one that crashed.
TEST(ServerCrashes, AreNotTakenFromServersThatLeave) {
  Scene.server("s1", "plain",
               [&](const proxy::Request &, const Caller &To) { To->abort(); });
  Scene.configure();
  CHECK(Scene.becomesReady());
  Scene.ask("POST", "/unsafe/x");
  Scene.list("s1", "draining");
  Scene.Loop.run_for(std::chrono::milliseconds(200));
  Scene.Store.remove("servers", "s1");
  CHECK(Scene.until(
      [&] { return has(Scene.metrics(), "figlift_gateway_targets 0"); }));
  CHECK(has(Scene.metrics(), Crashes + "0"));
}

// Failure: a server that breaks off an answer now and then is taken for one
// that has ended.
TEST(ServerCrashes, AreNotTakenFromAnswersThatBreakOff) {
  Scene.server("s1", "plain",
               [&](const proxy::Request &, const Caller &To) { To->abort(); });
  Scene.configure();
  CHECK(Scene.becomesReady());
  for (int Each = 0; Each < 5; ++Each)
    CHECK(has(Scene.ask("POST", "/unsafe/x"), "HTTP/1.1 502"));
  // Longer than both looks at the server take.
  Scene.Loop.run_for(std::chrono::milliseconds(300));
  CHECK(has(Scene.metrics(), Crashes + "0"));
}
