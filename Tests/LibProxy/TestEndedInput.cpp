//===- TestEndedInput.cpp - Callers that end their input, or come late ----===//
//
// What is closed, answered or read first when the input of a caller ends, and
// when a timer is due before input that has arrived.
//
//===----------------------------------------------------------------------===//

#include "CallerConnectionFixture.h"

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include <deque>

using namespace figlift::proxy;

namespace {

/// The event loop takes 128 ready sockets in one turn. With these numbers of
/// others, one turn ends between the timer and the caller's socket.
constexpr size_t FewestOthers = 122;
constexpr size_t MostOthers = 132;
const std::string PlainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_GROUP_BASE(EndedInput, CallerConnectionFixture) {
  using Socket = asio::local::stream_protocol::socket;
  std::deque<Socket> Others;

  /// Sockets that become ready before what is sent from now on.
  void makeOthersReady(size_t Count) {
    Others.clear();
    for (size_t I = 0; I < Count; ++I) {
      Socket &Read = Others.emplace_back(Loop);
      Socket &Write = Others.emplace_back(Loop);
      asio::local::connect_pair(Read, Write);
      Read.async_wait(Socket::wait_read, [](const auto &) {});
    }
    Loop.run_for(milliseconds(1));
    for (size_t I = 1; I < Others.size(); I += 2)
      asio::write(Others[I], asio::buffer("x", 1));
  }
  /// Opens a connection, sends \p First, lets a timeout pass while the loop
  /// stands still, and sends \p Rest.
  void sendAround(size_t OthersReady, const std::string &First,
                  const std::string &Rest) {
    Caller = tcp::socket(Loop);
    Received.clear();
    Ended = false;
    Handler.Requests.clear();
    Handler.RejectedStatus = 0;
    open();
    send(First);
    Loop.run_for(milliseconds(5));
    makeOthersReady(OthersReady);
    stall(milliseconds(70));
    send(Rest);
  }
  void endInput() { Caller.shutdown(tcp::socket::shutdown_send); }
  void openWithRequest() {
    Handler.RespondImmediately = false;
    open();
    send(PlainRequest);
    CHECK(until([&] { return !Handler.Requests.empty(); }));
  }
};

// Failure: after a pause of the process an idle connection is closed although
// its next request has arrived.
TEST(EndedInput, RequestIsReadBeforeTheIdleTimeoutBesideOthers) {
  Limits.IdleTimeout = milliseconds(60);
  for (size_t Count = FewestOthers; Count <= MostOthers; ++Count) {
    sendAround(Count, PlainRequest, PlainRequest);
    CHECK(
        until([&] { return Handler.Requests.size() == 2 || Handler.Closed; }));
    LONGS_EQUAL(2, Handler.Requests.size());
    Handler.LastCaller->abort();
    Handler.Closed = false;
  }
}

// Failure: after a pause of the process a request gets 408 although all of its
// head has arrived.
TEST(EndedInput, HeadIsReadBeforeItsTimeoutBesideOthers) {
  Limits.HeadTimeout = milliseconds(60);
  for (size_t Count = FewestOthers; Count <= MostOthers; ++Count) {
    sendAround(Count, PlainRequest.substr(0, 10), PlainRequest.substr(10));
    CHECK(receives("HTTP/1.1 "));
    LONGS_EQUAL(0, Handler.RejectedStatus);
    LONGS_EQUAL(1, Handler.Requests.size());
  }
}

// Failure: a caller that sends its head byte by byte is never cut off, as some
// of it has always arrived.
TEST(EndedInput, IncompleteHeadIsRejectedAfterThatRead) {
  Limits.HeadTimeout = milliseconds(60);
  for (size_t Count = FewestOthers; Count <= MostOthers; ++Count) {
    sendAround(Count, PlainRequest.substr(0, 10), PlainRequest.substr(10, 1));
    CHECK(receives("HTTP/1.1 408"));
  }
}

// Failure: a caller ends its input, waits for its answer and gets none.
TEST(EndedInput, CallerIsAnsweredIfTheRequestGoesOn) {
  Handler.AnswersEndedInput = true;
  openWithRequest();
  endInput();
  Loop.run_for(milliseconds(20));
  CHECK_FALSE(Handler.LastRequest->Disconnected);
  Handler.respond("late");
  CHECK(receives("late"));
  CHECK(ends());
  CHECK(Handler.Closed);
}

// Failure: work goes on for a caller that has left.
TEST(EndedInput, RequestThatDoesNotGoOnIsGivenUp) {
  openWithRequest();
  endInput();
  CHECK(ends());
  CHECK(Handler.LastRequest->Disconnected);
  CHECK(Handler.LastCaller->closeReport().HasRequest);
}

// Failure: a caller resets its connection, a check whether it has left takes
// the reset away from the read, and the connection stays open as that of a
// caller that waits for its answer.
TEST(EndedInput, ResetSeenByACheckIsNoEnd) {
  Handler.AnswersEndedInput = true;
  openWithRequest();
  Caller.set_option(asio::socket_base::linger(true, 0));
  Caller.close();
  const auto End = std::chrono::steady_clock::now() + milliseconds(2000);
  while (!Handler.LastCaller->hasCallerLeft() &&
         std::chrono::steady_clock::now() < End) {
  }
  CHECK(until([&] { return Handler.Closed; }));
  CHECK(Handler.LastRequest->Disconnected);
}

// Failure: the same where the answer that is being written meets the reset.
TEST(EndedInput, ResetDuringAnAnswerIsNoEnd) {
  constexpr int Repetitions = 30;
  Handler.AnswersEndedInput = true;
  for (int I = 0; I < Repetitions; ++I) {
    Loop.restart();
    Caller = tcp::socket(Loop);
    Handler.Closed = false;
    openWithRequest();
    Handler.LastCaller->beginStream({.Status = 200});
    Handler.LastCaller->writeStream(std::string(LargeResponseBytes / 4, 'x'));
    Loop.run_for(milliseconds(1));
    Caller.set_option(asio::socket_base::linger(true, 0));
    Caller.close();
    CHECK(until([&] { return Handler.Closed; }));
    CHECK(Handler.LastRequest->Disconnected);
    Handler.Requests.clear();
  }
}

// Failure: a caller ends its input while it receives a large answer, and gets
// the first part of it.
TEST(EndedInput, CompleteAnswerIsDelivered) {
  Handler.AnswersEndedInput = true;
  Handler.RespondImmediately = false;
  openWithSmallBuffer();
  send(PlainRequest);
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  Handler.respond(std::string(LargeResponseBytes, 'x'));
  endInput();
  Loop.run_for(milliseconds(20));
  CHECK(until([&] {
    receive();
    return Received.size() > LargeResponseBytes;
  }));
}

// Failure: a pipelined request is lost as its caller has ended its input.
TEST(EndedInput, PipelinedRequestsAreAnswered) {
  Handler.AnswersEndedInput = true;
  Handler.RespondImmediately = false;
  open();
  send(PlainRequest + PlainRequest);
  endInput();
  CHECK(until([&] { return !Handler.Requests.empty(); }));
  Handler.respond("one");
  CHECK(until([&] { return Handler.Requests.size() == 2; }));
  Handler.respond("two");
  CHECK(receives("two"));
  CHECK(ends());
}

// Failure: nothing tells why a connection was closed with work undone.
TEST(EndedInput, CloseTellsWhatItLeaves) {
  openWithRequest();
  Handler.LastCaller->abort();
  const CloseReport &Report = Handler.LastCaller->closeReport();
  CHECK(Report.Reason == CloseReason::Aborted);
  CHECK(Report.HasRequest);
  CHECK_FALSE(Report.HasAnswerBegun);
  CHECK_FALSE(Report.isClean());
}
