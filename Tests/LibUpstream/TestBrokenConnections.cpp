//===- TestBrokenConnections.cpp - Resets and lost peers ------------------===//
//
// Responses without a length, whose body ends with the connection. Only an end
// of input completes them; the kernel reports any other end once, to whichever
// call on the socket comes first.
//
//===----------------------------------------------------------------------===//

#include "ServerConnectionFixture.h"

using namespace figlift;
using namespace figlift::upstream;

namespace {

/// Which of the two calls is due first depends on the kernel.
constexpr int Repetitions = 30;
const std::string Part = "HTTP/1.1 200 OK\r\n\r\npart";

} // namespace

TEST_GROUP_BASE(BrokenConnections, ServerConnectionFixture) {
  std::shared_ptr<RecordingSink> Sink;

  /// Sends a request of which much more is left than sockets hold.
  void sendUpload() {
    constexpr size_t UploadBytes = 16 << 20;
    Sink = send(std::make_shared<const std::string>(UploadBytes, 'u'));
    accept();
    awaitRequest();
  }
  void sendSmall() {
    Sink = send();
    accept();
    awaitRequest();
  }
  void reset() {
    Server.set_option(asio::socket_base::linger(true, 0));
    Server.close();
  }
  void endThenReset() {
    Server.shutdown(tcp::socket::shutdown_send);
    reset();
  }
  /// Waits, without running the loop, until there is something to read.
  void peek() {
    const auto End = std::chrono::steady_clock::now() + milliseconds(2000);
    while (!Connection->hasUnreadInput() &&
           std::chrono::steady_clock::now() < End) {
    }
  }
  void checkOutcome(ExchangeOutcome Expected) {
    CHECK(until([&] { return Sink->Outcome.has_value(); }));
    CHECK(*Sink->Outcome == Expected);
    LONGS_EQUAL(0, Pool->openConnections());
  }
};

// Failure: a server resets during an upload, the write learns of it, and the
// part of the response that had arrived is passed on as complete.
TEST(BrokenConnections, ResetDuringAnUploadIsNoEnd) {
  for (int I = 0; I < Repetitions; ++I) {
    sendUpload();
    reply(Part);
    reset();
    checkOutcome(ExchangeOutcome::Interrupted);
  }
}

// Failure: the same where the part had been read before.
TEST(BrokenConnections, ResetDuringAnUploadAfterAPartIsNoEnd) {
  for (int I = 0; I < Repetitions; ++I) {
    sendUpload();
    reply(Part);
    CHECK(until([&] { return Sink->Body == "part"; }));
    reset();
    checkOutcome(ExchangeOutcome::Interrupted);
  }
}

// Failure: a server closes and leaves the upload unread, so that its kernel
// resets.
TEST(BrokenConnections, CloseWithAnUnreadUploadIsNoEnd) {
  for (int I = 0; I < Repetitions; ++I) {
    sendUpload();
    reply(Part);
    Server.close();
    checkOutcome(ExchangeOutcome::Interrupted);
  }
}

// Failure: a timer looks whether anything has arrived, and takes the reset
// away from the read.
TEST(BrokenConnections, ResetSeenByAPeekIsNoEnd) {
  sendSmall();
  reply(Part);
  CHECK(until([&] { return Sink->Body == "part"; }));
  reset();
  peek();
  checkOutcome(ExchangeOutcome::Interrupted);
}

// Failure: a server that reads no more is given up by the kernel, the write
// learns of it, and the part of the response is passed on as complete.
TEST(BrokenConnections, LostPeerIsNoEnd) {
  PoolSettings Settings;
  Settings.Timeouts.Unacknowledged = milliseconds(300);
  Pool = std::make_shared<ConnectionPool>(
      Loop, Endpoint{"127.0.0.1", Acceptor.local_endpoint().port()}, Settings);
  sendUpload();
  reply(Part);
  CHECK(until([&] { return Sink->Body == "part"; }));
  checkOutcome(ExchangeOutcome::Interrupted);
}

// Failure: a whole response to an upload is lost, as the server ends it in
// order before it resets for the rest of the upload.
TEST(BrokenConnections, EndBeforeAResetIsAnEnd) {
  for (int I = 0; I < Repetitions; ++I) {
    sendUpload();
    reply(Part);
    endThenReset();
    checkOutcome(ExchangeOutcome::Complete);
    STRCMP_EQUAL("part", Sink->Body.c_str());
  }
}

// Failure: the same where a timer sees the end first.
TEST(BrokenConnections, EndSeenByAPeekIsAnEnd) {
  sendSmall();
  reply(Part);
  CHECK(until([&] { return Sink->Body == "part"; }));
  endThenReset();
  peek();
  checkOutcome(ExchangeOutcome::Complete);
}

// Failure: a response to an upload is lost although it is whole by its length.
TEST(BrokenConnections, WholeResponseBeforeAResetIsTaken) {
  for (int I = 0; I < Repetitions; ++I) {
    sendUpload();
    reply("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole");
    reset();
    checkOutcome(ExchangeOutcome::Complete);
  }
}
