//===- TestMovedStreams.cpp - Streams at a slow engine during a stop ------===//
//
// A stream at an engine that is too slow for it is resumed at a faster one. Its
// second run begins with the whole prompt and may outlast the process.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds AllowedPause{120};
/// The longest pause is expected to be twice as long.
constexpr milliseconds SlowPause{80};
constexpr milliseconds FastPause{5};
/// Long enough for the pauses to be known before its end, and short enough to
/// end before the process does.
constexpr milliseconds SlowStream{1120};
constexpr unsigned KnownAfter = 8;

} // namespace

/// A gateway with a grace period of 2 s, and a stream at the slow engine while
/// the fast one takes no work.
TEST_GROUP(MovedStreams) {
  GatewayFixture Fixture{2};
  Listener *Fast = nullptr;

  void setup() override {
    Fixture.EventGapTarget = AllowedPause;
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    Fast = &Fixture.addServer(
        "fast", "model", streamFor(Fixture.Loop, milliseconds(100), FastPause),
        "decode");
    CHECK(Fixture.waitUntil([&] {
      return isCompleteStream(
          Fixture.request("POST", "/stream/x", PromptHeaders));
    }));
    for (int Count = 0; Count < 4; ++Count)
      Fixture.request("POST", "/stream/x", PromptHeaders);
    // Does not answer when it takes over a stream.
    Fast->setBehaviour([](const proxy::Request &, const Caller &) {});
    Fixture.setServerState("fast", "draining");
    Fixture.addServer("slow", "model",
                      streamFor(Fixture.Loop, SlowStream, SlowPause), "decode");
    Fixture.Loop.run_for(milliseconds(300));
  }
  /// Begins a stream at the slow engine, and lets the fast one take work.
  void begin(KeepAliveCaller & Connection) {
    const size_t Before = Fast->Requests.size();
    Connection.send("POST", "/stream/x", PromptHeaders);
    CHECK(Fixture.waitUntil(
        [&] { return contains(Connection.received(), "id: 1\n"); }));
    LONGS_EQUAL(Before, Fast->Requests.size());
    Fixture.setServerState("fast", "ready");
  }
};

// Failure: a planned stop interrupts a stream that would have ended in time.
// Sequence: SIGTERM arrives before the pauses of the slow engine are known. The
// stream is then moved, and its second run does not begin before the exit.
// Cause: a stream that has begun counts as work that may be continued in any
// case, and its move to another engine as its continuation.
TEST(MovedStreams, StayWhereTheyAreDuringAStop) {
  KeepAliveCaller Connection(Fixture);
  begin(Connection);
  const size_t Before = Fast->Requests.size();
  Fixture.sendTermination();
  CHECK(Fixture.waitUntil(
      [&] { return isCompleteStream(Connection.received()); }));
  LONGS_EQUAL(Before, Fast->Requests.size());
}

// The scene of the test above without a stop.
TEST(MovedStreams, MoveToAFasterEngine) {
  KeepAliveCaller Connection(Fixture);
  begin(Connection);
  const size_t Before = Fast->Requests.size();
  CHECK(Fixture.waitUntil([&] { return Fast->Requests.size() > Before; }));
  CHECK(contains(Connection.received(),
                 "id: " + std::to_string(KnownAfter) + "\n"));
}
