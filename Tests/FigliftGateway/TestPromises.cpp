//===- TestPromises.cpp - Statuses that promise "not run" -----------------===//
//
// Servers run a request, fail, and answer with a status that callers take for a
// promise. Only the statement that the request was not run proves it.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

/// The server runs the request and fails.
Listener::Behaviour failWith(unsigned Status) {
  return [Status](const proxy::Request &Request, const Caller &To) {
    respondSigned(Request, To, Status, "out of memory");
  };
}

} // namespace

TEST_GROUP(Promises) {
  GatewayFixture Fixture;

  void start() {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
};

// Failure: a request that ran and failed is answered "not run", and its caller
// sends it again.
TEST(Promises, StatusOfAFailureIsNone) {
  Fixture.addServer("s1", "plain", failWith(503));
  Fixture.addServer("e1", "model", failWith(503), "decode");
  start();
  for (const unsigned Status : {503U, 429U, 408U}) {
    Fixture.setBehaviour("s1", failWith(Status));
    const std::string Answer = Fixture.request("POST", "/unsafe/x");
    STRCMP_CONTAINS("HTTP/1.1 502", Answer.c_str());
    CHECK(!contains(Answer, "X-Response-Signature"));
  }
  const std::string Stream =
      Fixture.request("POST", "/once/x", "X-Token-Count: 40,8\r\n");
  STRCMP_CONTAINS("HTTP/1.1 502", Stream.c_str());
}

// Failure: a request that may be repeated fails although another server would
// run it.
TEST(Promises, RepeatableRequestIsSentAgainAfterAFailure) {
  Fixture.addServer("s1", "plain", failWith(503));
  Fixture.addServer("s2", "plain", respondWith("ran"));
  start();
  for (unsigned I = 0; I < 4; ++I)
    STRCMP_CONTAINS("ran", Fixture.request("GET", "/safe/x").c_str());
}

// Failure: a refusal of another server at the same address costs its caller a
// retry that is safe.
TEST(Promises, MisdirectedRequestHasNotRun) {
  Fixture.addServer("s1", "plain", failWith(421));
  start();
  STRCMP_CONTAINS("HTTP/1.1 503", Fixture.request("POST", "/unsafe/x").c_str());
}

// Failure: a failure that promises nothing no longer reaches the caller as its
// server sent it.
TEST(Promises, OtherFailuresAreForwarded) {
  Fixture.addServer("s1", "plain", failWith(500));
  start();
  const std::string Answer = Fixture.request("POST", "/unsafe/x");
  STRCMP_CONTAINS("HTTP/1.1 500", Answer.c_str());
  STRCMP_CONTAINS("X-Response-Signature", Answer.c_str());
}
