//===- TestRestartedServers.cpp - Engines that restart unlisted -----------===//
//
// An engine restarts under its id and at its address with another software
// version, and the store lists its earlier start for longer than a read takes.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/RawServer.h"
#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds HeartbeatInterval{100};
/// From the end of a process until its successor listens.
constexpr milliseconds RestartTime{200};

/// One event, and the end of the stream if it is \p Whole.
RawResponse stream(const std::string &Head, bool Whole, ConnectionEnd End) {
  const std::string Event = contains(Head, "\r\nLast-Event-Id: ")
                                ? "id: 2\ndata: two\n\n"
                                : "id: 1\ndata: one\n\n";
  // 17 bytes.
  return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptOf(Head) +
              "\r\nX-Response-Signature: s\r\nTransfer-Encoding: "
              "chunked\r\n\r\n11\r\n" +
              Event + "\r\n" + (Whole ? "0\r\n\r\n" : ""),
          End};
}

RawResponse completeStream(const std::string &Head) {
  return stream(Head, true, ConnectionEnd::None);
}

} // namespace

TEST_GROUP(RestartedServers) {
  GatewayFixture Fixture;
  RawServer Engine{Fixture.Loop, completeStream};

  void setup() override {
    list();
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 1");
    }));
  }
  /// Writes an entry of the current start and version.
  void list() { Fixture.listServer("d1", "model", Engine.address(), "decode"); }
  void waitFor(milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    Fixture.waitUntil([&] { return std::chrono::steady_clock::now() > End; });
  }
  std::string request(const std::string &AttemptId, const std::string &Fields) {
    return Fixture.exchange(
        Fixture.Settings.Listen.Callers,
        "GET /stream/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "X-Attempt-Id: " +
            AttemptId + "\r\n" + PromptHeaders + Fields + "\r\n");
  }
  std::string resume(const std::string &AttemptId) {
    return request(AttemptId, "Last-Event-Id: 1\r\nResumes: a1\r\n");
  }
  /// The process of the engine ends, and a process of another software version
  /// answers at its address.
  void restartUnlisted() {
    Engine.endProcess();
    waitFor(RestartTime);
    Engine.startProcess();
    Engine.Requests.clear();
  }
  void checkRefused(const std::string &Answer) {
    CHECK(contains(Answer, "HTTP/1.1 503"));
    CHECK(contains(Answer, "Retry-After"));
    LONGS_EQUAL(0, Engine.Requests.size());
  }
  /// Writes entries of the listed start until a new stream is served.
  void waitUntilServed() {
    auto NextWrite = std::chrono::steady_clock::now();
    unsigned Attempts = 0;
    CHECK(Fixture.waitUntil([&] {
      const auto Now = std::chrono::steady_clock::now();
      if (Now >= NextWrite) {
        list();
        NextWrite = Now + HeartbeatInterval;
      }
      return isCompleteStream(request("w" + std::to_string(++Attempts), ""));
    }));
  }
};

// Failure: an engine ends under a stream and restarts with another version, and
// the stream goes on there, as the list names the version of before.
TEST(RestartedServers, BoundStreamDoesNotReachAnotherVersion) {
  Engine.setBehaviour([&](const std::string &Head) {
    return stream(Head, false, ConnectionEnd::None);
  });
  KeepAliveCaller Caller(Fixture);
  Caller.sendBytes("GET /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n" +
                   PromptHeaders + "\r\n");
  CHECK(Fixture.waitUntil(
      [&] { return contains(Caller.received(), "data: one"); }));
  Engine.setBehaviour(completeStream);
  restartUnlisted();
  checkRefused(resume("a2"));
  checkRefused(request("a3", ""));
  Fixture.SoftwareVersion = "v2";
  Fixture.ListedStartTime += 5000;
  waitUntilServed();
  Engine.Requests.clear();
  checkRefused(resume("a4"));
}

// Failure: an engine restarts while this gateway has no request there, and a
// stream is sent to another version than the list names.
TEST(RestartedServers, IdleConnectionsTellOfARestart) {
  CHECK(isCompleteStream(request("a1", "")));
  restartUnlisted();
  checkRefused(resume("a2"));
  checkRefused(request("a3", ""));
}

// Failure: an engine whose address refused connections for a moment, and which
// did not restart, gets no streams any more.
TEST(RestartedServers, LaterEntriesOfTheSameStartConfirm) {
  CHECK(isCompleteStream(request("a1", "")));
  restartUnlisted();
  checkRefused(resume("a2"));
  waitUntilServed();
  CHECK(isCompleteStream(resume("a4")));
}

// Failure: an engine that may have restarted gets no work at all, although work
// that is not resumed does not depend on its version.
TEST(RestartedServers, OtherRequestsAreServed) {
  CHECK(isCompleteStream(request("a1", "")));
  restartUnlisted();
  checkRefused(resume("a2"));
  CHECK(isCompleteStream(Fixture.exchange(
      Fixture.Settings.Listen.Callers,
      "GET /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "X-Attempt-Id: a3\r\n" +
          PromptHeaders + "\r\n")));
}
