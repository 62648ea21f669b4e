//===- TestCrashingRequests.cpp - Requests that crash servers -------------===//
//
// A gateway whose servers crash while they execute one request and restart.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <boost/asio/steady_timer.hpp>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

const std::string CrashingPath = "/unsafe/poison";

} // namespace

TEST_GROUP(CrashingRequests) {
  GatewayFixture Fixture;
  /// Servers that crashed while executing CrashingPath.
  unsigned Crashes = 0;
  unsigned Restarts = 0;

  void crashAndRestart(const std::string &Id) {
    ++Crashes;
    Fixture.crash(Id);
    const auto Timer = std::make_shared<boost::asio::steady_timer>(
        Fixture.Loop, std::chrono::milliseconds(100));
    Timer->async_wait([this, Timer, Id](const auto &) {
      const std::string NewId = "again" + std::to_string(++Restarts);
      Fixture.restartAs(Id, NewId);
      crashOnRequest(NewId);
    });
  }
  void crashOnRequest(const std::string &Id) {
    Fixture.setBehaviour(
        Id, [this, Id](const proxy::Request &Request, const Caller &To) {
          if (Request.Head.Target == CrashingPath)
            return crashAndRestart(Id);
          respondSigned(Request, To, 200, "good");
        });
  }
  void startServing() {
    for (const char *Id : {"s1", "s2", "s3", "s4"}) {
      Fixture.addServer(Id, "plain", [](const auto &, const auto &) {});
      crashOnRequest(Id);
    }
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 4") &&
             Fixture.Store.value("figlift-gateways", "#secret") != "";
    }));
  }
};

// Failure: callers repeat a request that crashes servers, and it crashes one
// server after another. In a fleet of eight, one such request crashes 16 to 19
// engines, one per second, and a third of all prompts are rejected, late or
// lost.
// Sequence: each repetition has a new attempt id and may reach another gateway.
// Cause: the gateway keeps no record of a request beyond its own attempt.
TEST(CrashingRequests, AreRejectedAfterTheThirdServer) {
  startServing();
  for (int Attempt = 0; Attempt < 12; ++Attempt) {
    Fixture.request("POST", CrashingPath);
    Fixture.Loop.run_for(std::chrono::milliseconds(150));
  }
  LONGS_EQUAL(3, Crashes);
  const std::string Rejection = Fixture.request("POST", CrashingPath);
  CHECK(contains(Rejection, "HTTP/1.1 503"));
  CHECK(contains(Rejection, "Retry-After"));
  CHECK(contains(Fixture.request("POST", "/unsafe/x"), "good"));
}
