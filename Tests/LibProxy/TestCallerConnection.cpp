//===- TestCallerConnection.cpp - Requests and closes of a connection -----===//
//
// A pair of sockets connected over the loopback; the test acts as the caller.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/CallerConnection.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <vector>

using namespace figlift::proxy;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

class RecordingRequest : public ActiveRequest {
public:
  void callerDisconnected() override { Disconnected = true; }
  void callerWritable() override { ++WritableCalls; }
  bool Disconnected = false;
  int WritableCalls = 0;
};

class RecordingHandler : public RequestHandler {
public:
  std::shared_ptr<ActiveRequest>
  handle(Request Incoming, std::shared_ptr<CallerConnection> Caller) override {
    Requests.push_back(std::move(Incoming));
    LastCaller = std::move(Caller);
    LastRequest = std::make_shared<RecordingRequest>();
    if (RespondImmediately)
      respond("ok");
    return LastRequest;
  }
  ErrorResponse rejected(unsigned Status) override {
    RejectedStatus = Status;
    return errorResponse(Status);
  }
  void closed(CallerConnection &) override { Closed = true; }
  CallerLimits limits() const override { return Limits; }
  figlift::MemoryBudget *memory() override { return &Memory; }
  void respond(std::string_view Body) {
    ResponseHead Head;
    Head.Status = 200;
    LastCaller->respond(Head, Body);
  }

  CallerLimits Limits;
  figlift::MemoryBudget Memory{1 << 20};
  bool RespondImmediately = true;
  std::vector<Request> Requests;
  std::shared_ptr<CallerConnection> LastCaller;
  std::shared_ptr<RecordingRequest> LastRequest;
  unsigned RejectedStatus = 0;
  bool Closed = false;
};

} // namespace

TEST_GROUP(CallerConnection) {
  asio::io_context Loop;
  tcp::acceptor Acceptor{Loop, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket Caller{Loop};
  RecordingHandler Handler;
  CallerLimits &Limits = Handler.Limits;
  std::shared_ptr<CallerConnection> Opened;

  void open() {
    Caller.connect(Acceptor.local_endpoint());
    Opened = std::make_shared<CallerConnection>(Acceptor.accept(), Handler);
    Opened->start();
    Caller.non_blocking(true);
  }
  void send(std::string_view Bytes) {
    asio::write(Caller, asio::buffer(Bytes));
  }
  /// Runs the loop until \p Done holds, for at most two seconds.
  template <typename Condition> bool until(Condition Done) {
    const auto End = std::chrono::steady_clock::now() + milliseconds(2000);
    while (!Done() && std::chrono::steady_clock::now() < End)
      Loop.run_for(milliseconds(5));
    return Done();
  }
  /// Blocks the thread for \p Duration without running the loop.
  static void stall(milliseconds Duration) {
    const auto End = std::chrono::steady_clock::now() + Duration;
    while (std::chrono::steady_clock::now() < End)
      continue;
  }
  /// Response bytes received so far.
  std::string Received;
  /// The connection has been closed or reset.
  bool Ended = false;
  bool Reset = false;
  void receive() {
    std::array<char, 4096> Buffer;
    boost::system::error_code Code;
    while (!Code) {
      const size_t Count = Caller.read_some(asio::buffer(Buffer), Code);
      Received.append(Buffer.data(), Count);
    }
    Ended = Ended || Code != asio::error::would_block;
    Reset = Reset || Code == asio::error::connection_reset;
  }
  /// Opens a connection with a small receive buffer at the caller.
  void openWithSmallBuffer() {
    Caller.open(tcp::v4());
    Caller.set_option(asio::socket_base::receive_buffer_size(1 << 16));
    open();
  }
  /// Several times what the socket buffers of both ends hold.
  static constexpr size_t LargeResponseBytes = 16 << 20;
  /// Receives \p Bytes at an even rate over 4 s; returns early if the
  /// connection ends.
  void receiveSlowly(size_t Bytes) {
    constexpr milliseconds Interval{5};
    constexpr milliseconds Duration{4000};
    std::vector<char> Buffer(Bytes / static_cast<size_t>(Duration / Interval));
    const auto Begin = std::chrono::steady_clock::now();
    const auto Deadline = Begin + Duration * 2;
    while (!Ended && Received.size() < Bytes &&
           std::chrono::steady_clock::now() < Deadline) {
      Loop.run_for(Interval);
      const auto Due = static_cast<size_t>(
          static_cast<double>(Bytes) *
          ((std::chrono::steady_clock::now() - Begin) / 1.0 /
           std::chrono::duration_cast<std::chrono::nanoseconds>(Duration)));
      boost::system::error_code Code;
      while (!Code && Received.size() < Due) {
        const size_t Count = Caller.read_some(asio::buffer(Buffer), Code);
        Received.append(Buffer.data(), Count);
      }
      Ended = Code && Code != asio::error::would_block;
    }
  }
  /// Waits until the connection has been closed or reset.
  bool ends() {
    return until([&] {
      receive();
      return Ended;
    });
  }
  bool receives(std::string_view Text) {
    return until([&] {
      receive();
      return Received.find(Text) != std::string::npos;
    });
  }
};

// Failure: a process that was suspended reads requests whose callers left long
// ago, and sends them to servers.
TEST(CallerConnection, NoticesACallerThatLeftBeforeItsRequestWasRead) {
  Handler.RespondImmediately = false;
  open();
  asio::write(Caller, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                               "Host: h\r\n\r\n")));
  while (Handler.Requests.empty())
    Loop.run_one();
  CHECK(!Handler.LastCaller->hasCallerLeft());
  Caller.close();
  bool HasLeft = false;
  for (int Try = 0; Try < 1000 && !HasLeft; ++Try)
    HasLeft = Handler.LastCaller->hasCallerLeft();
  CHECK(HasLeft);
}

TEST(CallerConnection, AnswersPipelinedRequestsInOrder) {
  open();
  send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return Handler.Requests.size() == 2; }));
  STRCMP_EQUAL("/2", Handler.Requests[1].Head.Target.c_str());
}

TEST(CallerConnection, AnnouncesTheCloseAndCloses) {
  open();
  send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(receives("Connection: close"));
  CHECK(ends());
}

// Symptom: servers keep working on requests of disconnected callers.
// Sequence: the caller closes while its request is being served.
// Cause: the caller's socket was not read until the response arrived.
TEST(CallerConnection, DetectsADisconnectedCaller) {
  Handler.RespondImmediately = false;
  open();
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  Caller.close();
  CHECK(until([&] { return Handler.LastRequest->Disconnected; }));
  CHECK(Handler.Closed);
}

TEST(CallerConnection, StreamsInChunks) {
  Handler.RespondImmediately = false;
  open();
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  ResponseHead Head;
  Head.Status = 200;
  Handler.LastCaller->beginStream(Head);
  Handler.LastCaller->writeStream("event");
  CHECK(receives("5\r\nevent\r\n"));
  Handler.LastCaller->endStream();
  CHECK(receives("0\r\n\r\n"));
}

// Symptom: a caller treats an interrupted stream as complete.
// Cause: the last chunk was written although the stream had been interrupted.
TEST(CallerConnection, AbortsAStreamWithoutTheLastChunk) {
  Handler.RespondImmediately = false;
  open();
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  ResponseHead Head;
  Head.Status = 200;
  Handler.LastCaller->beginStream(Head);
  Handler.LastCaller->writeStream("event");
  CHECK(receives("event"));
  Handler.LastCaller->abort();
  CHECK(ends());
  CHECK(Received.find("0\r\n\r\n") == std::string::npos);
}

TEST(CallerConnection, AnswersMalformedInputAndCloses) {
  open();
  send("nonsense\r\n\r\n");
  CHECK(receives("HTTP/1.1 400"));
  LONGS_EQUAL(400, Handler.RejectedStatus);
  CHECK(Handler.Requests.empty());
}

TEST(CallerConnection, TimesOutOnAnIncompleteHead) {
  Limits.HeadTimeout = milliseconds(30);
  open();
  send("GET / HTTP/1.1\r\nHost");
  CHECK(receives("HTTP/1.1 408"));
}

TEST(CallerConnection, ClosesAnIdleConnectionOnly) {
  Handler.RespondImmediately = false;
  open();
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  Handler.LastCaller->closeIfIdle();
  Handler.respond("late");
  CHECK(receives("late"));
}

// Symptom: during a planned stop a request gets neither a response nor a
// rejection; its connection ends about 340 ms after it was sent. One request in
// 29,000 was affected: those sent around the time at which their gateway closes
// idle connections.
// Sequence: the process is behind schedule, for example with a small CPU share.
// A request arrives on an idle connection and has not been read when idle
// connections are closed.
// Cause: whether a connection is idle was judged only by the input already
// read.
TEST(CallerConnection, ReadsPendingInputBeforeClosingAsIdle) {
  open();
  send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(receives("ok"));
  send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  Handler.LastCaller->closeIfIdle();
  CHECK(until([&] { return Handler.Requests.size() == 2; }));
}

// The same failure at the idle timeout: a read that is ready is handled before
// a timer that has expired.
TEST(CallerConnection, ReadsPendingInputBeforeTheIdleTimeout) {
  Limits.IdleTimeout = milliseconds(30);
  open();
  send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(receives("ok"));
  stall(milliseconds(40));
  send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return Handler.Requests.size() == 2; }));
}

// Symptom: the connection of a caller that has just connected is closed while
// its first request is in transit.
// Sequence: the caller connects while idle connections are being closed.
// Cause: a connection without a request so far was treated as idle.
TEST(CallerConnection, WaitsForTheFirstRequestOfANewConnection) {
  open();
  Opened->closeIfIdle();
  Loop.run_for(milliseconds(20));
  send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(receives("ok"));
}

TEST(CallerConnection, ClosesAnIdleConnectionGracefully) {
  open();
  send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(receives("ok"));
  Handler.LastCaller->closeIfIdle();
  CHECK(ends());
  Caller.close();
  CHECK(until([&] { return Handler.Closed; }));
}

// Symptom: a request on a kept connection gets no response, and its caller
// learns of it late.
// Sequence: an idle connection is closed; before the close reaches its caller,
// the caller sends a request.
// Cause: the request was read and discarded, so that a caller behind a
// congested link waited for the end of the connection.
TEST(CallerConnection, ResetsAConnectionThatGetsARequestAfterTheClose) {
  open();
  send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(receives("ok"));
  Handler.LastCaller->closeIfIdle();
  CHECK(ends());
  send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return Handler.Closed; }));
  boost::system::error_code Code;
  Caller.write_some(asio::buffer("GET", 3), Code);
  CHECK(Code == asio::error::broken_pipe);
  LONGS_EQUAL(1, Handler.Requests.size());
}

// Symptom: a large response is truncated although its caller keeps receiving.
// Sequence: the process stops, so the response announces the close of the
// connection; the caller is on a slow link; two seconds after the last byte was
// queued the rest is discarded.
// Cause: the linger timeout counted from the time at which the response was
// queued in memory, not from the last progress in sending it.
TEST(CallerConnection, SendsTheCompleteLastResponseToASlowCaller) {
  Handler.RespondImmediately = false;
  openWithSmallBuffer();
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  const std::string Body(LargeResponseBytes, 'x');
  Opened->closeAfterResponse();
  Handler.respond(Body);
  receiveSlowly(Body.size());
  CHECK(Received.size() >= Body.size());
}

// The same failure with the idle timeout of a connection that stays open.
TEST(CallerConnection, IsNotIdleWhileAResponseIsBeingSent) {
  Limits.IdleTimeout = milliseconds(1000);
  Handler.RespondImmediately = false;
  openWithSmallBuffer();
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  const std::string Body(LargeResponseBytes, 'x');
  Handler.respond(Body);
  receiveSlowly(Body.size());
  CHECK(Received.size() >= Body.size());
}

// Failure: a response without chunks is cut, and looks complete to its caller
// because the connection ends in order.
TEST(CallerConnection, CutOfAResponseWithoutChunksIsAReset) {
  Handler.RespondImmediately = false;
  open();
  send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return Handler.LastCaller != nullptr; }));
  Handler.LastCaller->beginStream({200, "", 11, {}});
  Handler.LastCaller->writeStream("part");
  CHECK(until([&] {
    receive();
    return Received.ends_with("part");
  }));
  Handler.LastCaller->abort();
  CHECK(until([&] {
    receive();
    return Ended;
  }));
  CHECK(Reset);
}

// Failure: a complete response without chunks is lost in a reset.
TEST(CallerConnection, EndOfAResponseWithoutChunksIsOrderly) {
  Handler.RespondImmediately = false;
  open();
  send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return Handler.LastCaller != nullptr; }));
  Handler.LastCaller->beginStream({200, "", 11, {}});
  Handler.LastCaller->writeStream("whole");
  Handler.LastCaller->endStream();
  CHECK(until([&] {
    receive();
    return Ended;
  }));
  CHECK(Received.ends_with("whole"));
  CHECK_FALSE(Reset);
}

TEST_GROUP_BASE(ChangedLimits, TEST_GROUP_CppUTestGroupCallerConnection){
    static std::string post(size_t BodyBytes, const std::string &Field = ""){
        return "POST / HTTP/1.1\r\nHost: h\r\n" + Field +
               "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
               std::string(BodyBytes, 'x');
}
/// Opens a connection and has a request answered on it.
void openAndServe() {
  open();
  send(post(1));
  CHECK(receives("ok"));
  Received.clear();
}
void change(const CallerLimits &Changed) {
  Limits = Changed;
  Opened->limitsChanged();
}
/// Whether the connection is still open after \p Time.
bool staysOpen(milliseconds Time) {
  Loop.run_for(Time);
  receive();
  return !Ended;
}
}
;

// Failure: the operator raises the limit on bodies, and proper requests on open
// connections are answered 413.
TEST(ChangedLimits, RaisedBodyIsServed) {
  Limits.Bounds.BodyBytes = 100;
  openAndServe();
  change({{16384, 10000}});
  send(post(5000));
  CHECK(receives("HTTP/1.1 200"));
}

TEST(ChangedLimits, LoweredBodyIsRejected) {
  openAndServe();
  change({{16384, 100}});
  send(post(5000));
  CHECK(receives("HTTP/1.1 413"));
}

// Failure: the same with the limit on heads, and 431.
TEST(ChangedLimits, RaisedHeadIsServed) {
  Limits.Bounds.HeadBytes = 200;
  openAndServe();
  change({{10000, 100}});
  send(post(1, "X-Long: " + std::string(1000, 'x') + "\r\n"));
  CHECK(receives("HTTP/1.1 200"));
}

TEST(ChangedLimits, LoweredHeadIsRejected) {
  openAndServe();
  change({{200, 100}});
  send(post(1, "X-Long: " + std::string(1000, 'x') + "\r\n"));
  CHECK(receives("HTTP/1.1 431"));
}

// Failure: a connection that was accepted before a configuration was read keeps
// limits that no operator has set, as its first request comes later.
TEST(ChangedLimits, HoldForTheFirstRequest) {
  Limits.Bounds.BodyBytes = 100;
  open();
  Loop.run_for(milliseconds(10));
  change({{16384, 10000}});
  send(post(5000));
  CHECK(receives("HTTP/1.1 200"));
}

// Failure: a request that is half read at the change is judged by one limit for
// its beginning and by another one for its rest.
TEST(ChangedLimits, RequestKeepsThoseOfItsBeginning) {
  Limits.Bounds.BodyBytes = 10000;
  openAndServe();
  const std::string Bytes = post(5000);
  send(Bytes.substr(0, 10));
  Loop.run_for(milliseconds(10));
  change({{16384, 100}});
  send(Bytes.substr(10));
  CHECK(receives("HTTP/1.1 200"));
  Received.clear();
  send(Bytes);
  CHECK(receives("HTTP/1.1 413"));
}

// Failure: a request that waits behind another one on its connection is judged
// by the limits of that one.
TEST(ChangedLimits, HoldForPipelinedRequests) {
  Limits.Bounds.BodyBytes = 100;
  Handler.RespondImmediately = false;
  open();
  send(post(1));
  CHECK(until([&] { return Handler.Requests.size() == 1; }));
  change({{16384, 10000}});
  send(post(5000));
  Loop.run_for(milliseconds(10));
  Handler.respond("ok");
  CHECK(until([&] { return Handler.Requests.size() == 2; }));
}

// Failure: callers keep connections for as long as the new configuration says,
// and find them closed.
TEST(ChangedLimits, RaisedIdleTimeoutHoldsForIdleConnections) {
  Limits.IdleTimeout = milliseconds(100);
  openAndServe();
  change({{}, milliseconds(3000), milliseconds(10000)});
  CHECK(staysOpen(milliseconds(300)));
  send(post(1));
  CHECK(receives("ok"));
}

// Failure: idle connections take memory and descriptors for longer than the
// operator allows.
TEST(ChangedLimits, LoweredIdleTimeoutHoldsForIdleConnections) {
  Limits.IdleTimeout = milliseconds(10000);
  const auto Begin = std::chrono::steady_clock::now();
  openAndServe();
  Loop.run_for(milliseconds(50));
  change({{}, milliseconds(3000), milliseconds(200)});
  CHECK(ends());
  CHECK(std::chrono::steady_clock::now() - Begin >= milliseconds(200));
}

// Failure: a slow head gets the time of an earlier configuration.
TEST(ChangedLimits, HeadTimeoutHoldsForTheNextRequest) {
  Limits.HeadTimeout = milliseconds(50);
  openAndServe();
  change({{}, milliseconds(2000), milliseconds(15000)});
  send("POST / HT");
  CHECK(staysOpen(milliseconds(200)));
  send("TP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  CHECK(receives("ok"));
  Received.clear();
  change({{}, milliseconds(50), milliseconds(15000)});
  send("POST / HT");
  CHECK(receives("HTTP/1.1 408"));
}

// Failure: callers that begin large requests and do not end them use up the
// memory, each within its own limit.
TEST(CallerConnection, RequestsTogetherAreBounded) {
  open();
  figlift::MemoryShare Others(&Handler.Memory);
  Others.set(Handler.Memory.maximum());
  send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" +
       std::string(200000, 'x'));
  CHECK(receives("HTTP/1.1 503"));
  CHECK(ends());
  LONGS_EQUAL(0, Handler.Requests.size());
  Caller.close();
  CHECK(until([&] { return Handler.Closed; }));
  Opened.reset();
  Others.set(0);
  LONGS_EQUAL(0, Handler.Memory.used());
}

// Failure: large requests use up the memory, and small ones are refused.
TEST(CallerConnection, SmallRequestsAreServedWithoutMemory) {
  open();
  figlift::MemoryShare Others(&Handler.Memory);
  Others.set(Handler.Memory.maximum() * 2);
  send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
  CHECK(receives("HTTP/1.1 200"));
}

// Failure: what a request has held is never given back, and after a while all
// are refused.
TEST(CallerConnection, GivesBackTheMemoryOfARequest) {
  Limits.Bounds.BodyBytes = 1 << 20;
  open();
  for (int I = 0; I < 5; ++I) {
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 800000\r\n\r\n" +
         std::string(800000, 'x'));
    CHECK(receives("HTTP/1.1 200"));
    Received.clear();
  }
  LONGS_EQUAL(0, Handler.Memory.used());
}
