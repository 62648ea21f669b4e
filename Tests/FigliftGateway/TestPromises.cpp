//===- TestPromises.cpp - Statuses that promise "not run" -----------------===//
//
// Servers run a request, fail, and answer with a status that callers take for a
// promise. Only the statement that the request was not run proves it.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace figlift;
using namespace figlift::testing;

namespace {

/// The server runs the request and fails.
Listener::Behaviour failWith(unsigned Status) {
  return [Status](const proxy::Request &Request, const Caller &To) {
    respondSigned(Request, To, Status, "out of memory");
  };
}

/// The server begins to run a request that it was asked to prefill.
void beginRun(const proxy::Request &Request, const Caller &To) {
  proxy::ResponseHead Head;
  Head.Status = 200;
  Head.Headers.add("Content-Type", "text/event-stream");
  Head.Headers.add(
      "X-Attempt-Id",
      std::string(Request.Head.Headers.find("X-Attempt-Id").value_or("")));
  Head.Headers.add("X-Response-Signature", "s");
  To->beginStream(Head);
}

/// The same, and finds nothing left to do.
void runInsteadOfPrefill(const proxy::Request &Request, const Caller &To) {
  beginRun(Request, To);
  To->endStream();
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

// Guards against: a caller resumes a stream of which nothing is left; a server
// answers the prefill with the empty rest, which counts as a failed prefill. It
// is sent to one server after another, and the caller is told "not run".
TEST(Promises, PrefillWithNothingLeftIsTheAnswer) {
  const std::vector<std::string> Engines = {"p1", "p2", "p3"};
  std::vector<Listener *> Servers;
  for (const std::string &Id : Engines)
    Servers.push_back(
        &Fixture.addServer(Id, "model", runInsteadOfPrefill, "prefill"));
  Listener &Decode =
      Fixture.addServer("d1", "model", respondWith("id: 9\n\n"), "decode");
  start();
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 4\n");
  }));
  const std::string Answer = Fixture.request(
      "POST", "/stream/x", PromptHeaders + "Last-Event-Id: 8\r\n");
  STRCMP_CONTAINS("HTTP/1.1 200", Answer.c_str());
  CHECK(isCompleteStream(Answer));
  LONGS_EQUAL(1, Servers[0]->Requests.size() + Servers[1]->Requests.size() +
                     Servers[2]->Requests.size());
  LONGS_EQUAL(0, Decode.Requests.size());
}

// Guards against: the same where the server breaks off, for a stream that may
// run only once.
TEST(Promises, PrefillThatRanIsNone) {
  Listener &Prefill = Fixture.addServer(
      "p1", "model",
      [&](const proxy::Request &Request, const Caller &To) {
        beginRun(Request, To);
        // The head must be sent before the connection is aborted.
        auto Timer = std::make_shared<boost::asio::steady_timer>(Fixture.Loop);
        Timer->expires_after(std::chrono::milliseconds(20));
        Timer->async_wait([Timer, To](const auto &) { To->abort(); });
      },
      "prefill");
  Listener &Decode =
      Fixture.addServer("d1", "model", respondWith("id: 1\n\n"), "decode");
  start();
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 2\n");
  }));
  const std::string Answer = Fixture.request("POST", "/once/x", PromptHeaders);
  CHECK(!contains(Answer, "HTTP/1.1 503"));
  CHECK(!contains(Answer, "HTTP/1.1 200"));
  LONGS_EQUAL(1, Prefill.Requests.size());
  LONGS_EQUAL(0, Decode.Requests.size());
}
