//===- TestUndeliveredAnswers.cpp - Answers that are still on their way ---===//
//
// An answer that has been passed to the kernel has not reached its caller yet.
// If the connection is closed with unread input, the kernel resets it and
// discards the rest of the answer.
//
//===----------------------------------------------------------------------===//

#include "CallerConnectionFixture.h"

using namespace figlift::proxy;

namespace {

const std::string PlainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/// More than the caller's receive buffer takes, and less than the kernel takes
/// at both ends.
constexpr size_t AnswerBytes = 600000;

/// A caller that does not read yet.
class LateReader : public CallerConnectionFixture {
public:
  /// Answers its request, and waits until all of the answer has been passed to
  /// the kernel.
  void answer(bool AnnounceClose = false) {
    Handler.RespondImmediately = false;
    Caller.open(tcp::v4());
    Caller.set_option(asio::socket_base::receive_buffer_size(1 << 14));
    Acceptor.set_option(asio::socket_base::send_buffer_size(1 << 20));
    open();
    Caller.set_option(tcp::no_delay(true));
    send(PlainRequest);
    CHECK(until([&] { return !Handler.Requests.empty(); }));
    if (AnnounceClose)
      Opened->closeAfterResponse();
    Handler.respond(std::string(AnswerBytes, 'a'));
    Handler.RespondImmediately = true;
    CHECK(until([&] { return !Opened->isBusy(); }));
  }
  /// Reads to the end of the connection.
  bool receivesAnswer() {
    CHECK(ends());
    return Received.size() > AnswerBytes;
  }
};

} // namespace

TEST_GROUP_BASE(UndeliveredAnswers, LateReader){};

// Failure: a caller that reads late loses the rest of a complete answer.
// Sequence: its connection is closed as idle, and its next request crosses the
// close.
// Cause: that request is left unread in order to reset the connection.
TEST(UndeliveredAnswers, CrossingRequestLeavesThemWhole) {
  answer();
  Opened->closeIfIdle();
  Loop.run_for(milliseconds(10));
  send(PlainRequest);
  Loop.run_for(milliseconds(10));
  CHECK(receivesAnswer());
  LONGS_EQUAL(1, Handler.Requests.size());
}

// Failure: the same, when the process exits.
TEST(UndeliveredAnswers, ExitBesideUnreadInputLeavesThemWhole) {
  answer();
  send(PlainRequest);
  Opened->closeForExit();
  CHECK(receivesAnswer());
  LONGS_EQUAL(1, Handler.Requests.size());
}

// Failure: a caller that reads late loses the rest of a complete answer, as it
// is closed while its next request is being received.
TEST(UndeliveredAnswers, ExitInsideTheNextRequestLeavesThemWhole) {
  answer();
  send(PlainRequest.substr(0, 10));
  Loop.run_for(milliseconds(10));
  send(PlainRequest.substr(10));
  Opened->closeForExit();
  CHECK(receivesAnswer());
  LONGS_EQUAL(1, Handler.Requests.size());
}

// Failure: a caller that reads without a pause, but slowly, loses the rest of
// the last answer of a connection.
// Sequence: the answer announced the close. The caller sends more while it
// still receives it, later than a caller that does not read is waited for.
// Cause: only what the kernel has not taken counts as undelivered.
TEST(UndeliveredAnswers, ConnectionStaysOpenWhileTheyAreReceived) {
  answer(true);
  // Over four seconds, twice the time that a caller is waited for.
  receiveSlowly(AnswerBytes * 3 / 4);
  CHECK_FALSE(Handler.Closed);
  send(PlainRequest);
  CHECK(receivesAnswer());
}
