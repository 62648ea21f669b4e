//===- TestKeepAliveConnections.cpp - Open connections during a stop ------===//
//
// Callers keep their connections open and use them until the process has ended.
// Each request gets a complete response, or the gateway closes its connection
// before it arrives and forwards it to no server.
//
//===----------------------------------------------------------------------===//

#include "SequentialCaller.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

/// Deadline of a stream that a stopping gateway accepts until 1 s before its
/// end.
constexpr auto FittingDeadline = "X-Deadline-Ms: 1000\r\n";
constexpr milliseconds ShortStream{60};
/// Longer than the time left to the gateway after SIGTERM.
constexpr milliseconds LongStream{6000};
constexpr size_t CallerCount = 300;

} // namespace

/// A gateway with a grace period of 3 s.
TEST_GROUP(KeepAliveConnections) {
  std::unique_ptr<GatewayFixture> Fixture;
  Listener *Server = nullptr;
  Listener *Engine = nullptr;
  ResponseCounts Counts;
  std::vector<std::unique_ptr<SequentialCaller>> Callers;

  void setup() override {
    Fixture = std::make_unique<GatewayFixture>(3);
    Fixture->configure();
    CHECK(Fixture->waitUntilReady());
    Server = &Fixture->addServer("s1", "plain", respondWith("one"));
    Engine = &Fixture->addServer(
        "e1", "model",
        [this](const proxy::Request &Request, const Caller &To) {
          const bool IsLong = !Request.Head.Headers.find("X-Short");
          streamFor(Fixture->Loop, IsLong ? LongStream : ShortStream)(Request,
                                                                      To);
        },
        "decode");
    CHECK(Fixture->waitUntil([&] {
      return contains(Fixture->metrics(), "figlift_gateway_targets 2");
    }));
  }
  void teardown() override {
    Callers.clear();
    Fixture.reset();
  }
  std::set<std::string> forwardedPaths() const {
    std::set<std::string> Paths;
    for (const Listener *Target : {Server, Engine})
      for (const proxy::Request &Request : Target->Requests)
        Paths.insert(Request.Head.Target);
    return Paths;
  }
  /// Alternates between complete responses, short streams and, while stopping,
  /// streams that outlast the gateway.
  void sendNext(SequentialCaller & Caller, size_t Turn, bool Stopping) {
    if (Turn % 3 == 0)
      return Caller.send("/unsafe/", "");
    if (Turn % 3 == 1 || !Stopping)
      return Caller.send("/long/",
                         std::string("X-Short: 1\r\n") + FittingDeadline);
    Caller.send("/long/", "");
  }
  void receiveAll() {
    for (const auto &Caller : Callers)
      Caller->receive();
  }
};

// Failure: during a planned stop under load, connections end in the middle of a
// response, or without a response although a server has executed the request.
// Sequence: hundreds of keep-alive connections are open when SIGTERM arrives.
// Half of them always have a request in flight. The others are idle and send
// their next request at some time after SIGTERM while their connections are
// open, some of them just when idle connections are closed. The requests ask
// for complete responses and streams, some of which outlast the process.
// Cause: any of the following. Streams are accepted that do not end in time.
// Requests that arrive on a closed idle connection are still forwarded.
// Responses do not announce that the connection closes, so that callers send
// further requests.
TEST(KeepAliveConnections, GetCompleteResponsesOrCloseBeforeForwarding) {
  for (size_t Index = 0; Index < CallerCount; ++Index)
    Callers.push_back(std::make_unique<SequentialCaller>(
        *Fixture, std::to_string(Index), Counts));
  size_t Turn = 0;
  const auto SendBusy = [&](bool Stopping) {
    for (size_t Index = 0; Index < CallerCount / 2; ++Index)
      if (Callers[Index]->maySend())
        sendNext(*Callers[Index], ++Turn, Stopping);
  };
  CHECK(Fixture->waitUntil([&] {
    SendBusy(false);
    receiveAll();
    return Counts.Successes >= static_cast<int>(CallerCount);
  }));
  Fixture->sendTermination();
  CHECK(Fixture->waitUntilReady(false));
  for (const auto &Caller : Callers)
    Caller->setStopping();
  const auto Start = BootClock::now();
  const auto DueTime = [&](size_t Index) {
    return Start +
           milliseconds(3000) * (Index - CallerCount / 2) / (CallerCount / 2);
  };
  CHECK(Fixture->waitUntil([&] {
    SendBusy(true);
    // Sends before it reads, so that some requests cross the close.
    for (size_t Index = CallerCount / 2; Index < CallerCount; ++Index)
      if (Callers[Index]->maySend() && BootClock::now() >= DueTime(Index))
        sendNext(*Callers[Index], ++Turn, true);
    receiveAll();
    return Fixture->hasStopped();
  }));
  CHECK(Fixture->waitUntil([&] {
    receiveAll();
    return std::all_of(Callers.begin(), Callers.end(),
                       [](const auto &Caller) { return Caller->isClosed(); });
  }));
  LONGS_EQUAL(0, Counts.Truncated);
  LONGS_EQUAL(0, Counts.Reset);
  LONGS_EQUAL(0, Counts.Failed);
  LONGS_EQUAL(0, Counts.WithoutConnectionClose);
  LONGS_EQUAL(Counts.Sent,
              Counts.Successes + Counts.Rejected +
                  static_cast<int>(Counts.ClosedUnanswered.size()));
  CHECK(Counts.Rejected > 0);
  const auto Forwarded = forwardedPaths();
  for (const std::string &Path : Counts.ClosedUnanswered)
    CHECK(!Forwarded.contains(Path));
}

// Failure: a server executes a request whose caller gets no response.
// Sequence: an idle connection is closed while the next request is in transit.
// Cause: a request that arrives after the close is handled like any other.
TEST(KeepAliveConnections, ForwardNothingThatArrivesAfterTheirClose) {
  KeepAliveCaller Crossing(*Fixture);
  Crossing.send("POST", "/unsafe/x");
  CHECK(
      Fixture->waitUntil([&] { return contains(Crossing.received(), "one"); }));
  const size_t SizeBefore = Crossing.received().size();
  Fixture->sendTermination();
  CHECK(Fixture->waitUntil(
      [&] { return Crossing.received(), Crossing.isClosed(); }));
  // The caller has not noticed the close and sends its next request.
  Crossing.send("POST", "/unsafe/x");
  CHECK(Fixture->waitUntil([&] { return Fixture->hasStopped(); }));
  LONGS_EQUAL(1, Server->Requests.size());
  LONGS_EQUAL(SizeBefore, Crossing.received().size());
}

// Failure: a connection is closed while the caller sends a request on it.
// Sequence: part of the request has arrived when idle connections are closed,
// and the rest arrives later.
// Cause: a connection without a complete request is treated as idle.
TEST(KeepAliveConnections, AnswerARequestThatArrivedPartially) {
  KeepAliveCaller Idle(*Fixture);
  KeepAliveCaller Head(*Fixture);
  KeepAliveCaller Body(*Fixture);
  Head.sendBytes("POST /unsafe/x HTTP/1.1\r\nHo");
  Body.sendBytes("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                 "Content-Length: 2\r\n\r\na");
  Fixture->sendTermination();
  CHECK(Fixture->waitUntil([&] { return Idle.received(), Idle.isClosed(); }));
  Head.sendBytes("st: h\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n");
  Body.sendBytes("b");
  for (KeepAliveCaller *Caller : {&Head, &Body}) {
    CHECK(Fixture->waitUntil(
        [&] { return Caller->received(), Caller->isClosed(); }));
    const std::string &Response = Caller->received();
    CHECK(contains(Response, "Connection: close"));
    CHECK(contains(Response, "one") || isStoppingRejection(Response));
  }
}
