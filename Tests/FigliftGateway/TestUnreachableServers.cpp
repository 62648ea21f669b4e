//===- TestUnreachableServers.cpp - Servers that refuse connections -------===//
//
// The list of servers holds entries of crashed servers, and of writers that
// list what is no server. Connections to them are refused at once.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

constexpr unsigned DeadEntries = 60;
/// Nobody listens at this port.
constexpr uint16_t DiscardPort = 9;

} // namespace

TEST_GROUP(UnreachableServers) {
  GatewayFixture Fixture;

  /// Some entries have port 0, to which no connection is possible.
  void listDead(const std::string &Service, const std::string &Stage = "") {
    for (unsigned I = 0; I < DeadEntries; ++I)
      Fixture.listServer("dead-" + std::to_string(I), Service,
                         {"127.0.0.1", I % 3 == 0 ? uint16_t{0} : DiscardPort},
                         Stage);
  }
  void start(unsigned Targets) {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(),
                      "figlift_gateway_targets " + std::to_string(Targets));
    }));
  }
  void checkServed(unsigned Requests) {
    for (unsigned I = 0; I < Requests; ++I) {
      STRCMP_CONTAINS("HTTP/1.1 200",
                      Fixture.request("POST", "/unsafe/x").c_str());
      STRCMP_CONTAINS("HTTP/1.1 200",
                      Fixture.request("GET", "/safe/x").c_str());
    }
  }
};

// Failure: callers are rejected although a server is available.
// Cause: refused connections use up the sends of a request.
TEST(UnreachableServers, LeaveEachRequestServedByTheOneThatLives) {
  listDead("plain");
  Fixture.addServer("s1", "plain", respondWith("ran"));
  start(DeadEntries + 1);
  checkServed(10);
}

// Failure: streams are rejected although an engine is available.
TEST(UnreachableServers, LeaveEachStreamServedByTheEngineThatLives) {
  listDead("model", "decode");
  Fixture.addServer(
      "e1", "model",
      [](const proxy::Request &Request, const Caller &To) {
        beginStream(Request, To);
        To->writeStream("id: 1\n\n");
        To->endStream();
      },
      "decode");
  start(DeadEntries + 1);
  for (unsigned I = 0; I < 10; ++I)
    STRCMP_CONTAINS("id: 1",
                    Fixture
                        .request("POST", "/stream/x",
                                 "X-Token-Count: 40,8\r\nX-Prompt-Prefix: " +
                                     std::to_string(I) + "a1:40\r\n")
                        .c_str());
}

// Failure: a server that starts again gets no work at once, as its address was
// avoided.
TEST(UnreachableServers, GetWorkAtOnceAfterARestart) {
  Fixture.addServer("s1", "plain", respondWith("ran"));
  start(1);
  checkServed(1);
  Fixture.crash("s1");
  for (unsigned I = 0; I < 10; ++I)
    STRCMP_CONTAINS("HTTP/1.1 503",
                    Fixture.request("POST", "/unsafe/x").c_str());
  Fixture.restartAs("s1", "s2");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 1") &&
           !Fixture.Store.value("servers", "s2").empty();
  }));
  checkServed(5);
}
