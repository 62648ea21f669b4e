//===- TestBrokenOffStreams.cpp - Streams that end too early --------------===//
//
// Engines that end a stream before its last event. What the caller gets is a
// sequence of whole events, and is complete only if the engine's stream was.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/RawServer.h"
#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

const std::string FirstEvent = "id: 1\ndata: one\n\n";
const std::string HalfEvent = "id: 2\nda";
const std::string SecondEvent = "id: 2\ndata: two\n\n";

std::string signedHead(const std::string &Framing) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
         "Content-Type: text/event-stream\r\n" +
         Framing + "\r\n";
}

/// A stream that only the end of its connection delimits.
std::string unframed(const std::string &Events) {
  return signedHead("Connection: close\r\n") + Events;
}

std::string chunked(const std::string &Events) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx", Events.size());
  return signedHead("Transfer-Encoding: chunked\r\n") + Size.data() + "\r\n" +
         Events + "\r\n0\r\n\r\n";
}

std::string withLength(const std::string &Events) {
  return signedHead("Content-Length: " + std::to_string(Events.size()) +
                    "\r\n") +
         Events;
}

/// The events that the caller received.
std::string eventsOf(const std::string &Answer) {
  std::string Events;
  for (const std::string &Event : {FirstEvent, SecondEvent})
    if (contains(Answer, Event))
      Events += Event;
  return Events;
}

} // namespace

TEST_GROUP(BrokenOffStreams) {
  GatewayFixture Fixture;
  std::vector<std::unique_ptr<RawServer>> Engines;

  void startEngines(unsigned Count, const RawServer::Behaviour &Behaviour) {
    for (unsigned I = 1; I <= Count; ++I) {
      Engines.push_back(std::make_unique<RawServer>(Fixture.Loop, Behaviour));
      Fixture.listServer("d" + std::to_string(I), "model",
                         Engines.back()->address(), "decode");
    }
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(),
                      "figlift_gateway_targets " + std::to_string(Count));
    }));
  }
  /// The answer to a request whose only engine responds with \p Bytes.
  std::string answerTo(const std::string &Path, const std::string &Bytes,
                       ConnectionEnd End = ConnectionEnd::Close) {
    startEngines(1, [=](const std::string &) {
      return RawResponse{Bytes, End};
    });
    return Fixture.request("GET", Path, PromptHeaders);
  }
};

// Failure: an engine crashes inside an event of a stream without length or
// chunks, and the caller gets the half event in an answer that looks complete.
TEST(BrokenOffStreams, UnframedStreamThatEndsInsideAnEventIsIncomplete) {
  const std::string Answer =
      answerTo("/once/x", unframed(FirstEvent + HalfEvent));
  CHECK(contains(Answer, "HTTP/1.1 200"));
  STRCMP_EQUAL(FirstEvent.c_str(), eventsOf(Answer).c_str());
  CHECK_FALSE(contains(Answer, HalfEvent));
  CHECK_FALSE(isCompleteStream(Answer));
}

// Failure: an engine crashes inside the first event of such a stream, and the
// caller gets a success.
TEST(BrokenOffStreams, UnframedStreamThatEndsInsideItsFirstEventFails) {
  const std::string Answer = answerTo("/once/x", unframed("id: 1\nda"));
  CHECK(contains(Answer, "HTTP/1.1 502"));
}

// Failure: an engine crashes right after the head of such a stream, and the
// caller gets an empty success.
TEST(BrokenOffStreams, UnframedStreamWithoutEventsFails) {
  CHECK(contains(answerTo("/once/x", unframed("")), "HTTP/1.1 502"));
}

// Failure: the answer of an engine that crashed counts as its success, so that
// a stream that may be resumed is not.
TEST(BrokenOffStreams, UnframedStreamIsResumedAtAnotherEngine) {
  startEngines(2, [](const std::string &Head) {
    return RawResponse{unframed(contains(Head, "Last-Event-Id: 1\r\n")
                                    ? SecondEvent
                                    : FirstEvent + HalfEvent),
                       ConnectionEnd::Close};
  });
  const std::string Answer = Fixture.request("GET", "/stream/x", PromptHeaders);
  STRCMP_EQUAL((FirstEvent + SecondEvent).c_str(), eventsOf(Answer).c_str());
  CHECK_FALSE(contains(Answer, HalfEvent + "id:"));
  CHECK(isCompleteStream(Answer));
  LONGS_EQUAL(1, Engines[0]->Requests.size());
  LONGS_EQUAL(1, Engines[1]->Requests.size());
}

// Failure: a stream that an engine has ended inside an event reaches its caller
// as complete because its chunks are.
TEST(BrokenOffStreams, ChunkedStreamThatEndsInsideAnEventIsIncomplete) {
  const std::string Answer =
      answerTo("/once/x", chunked(FirstEvent + HalfEvent));
  CHECK_FALSE(contains(Answer, HalfEvent));
  CHECK_FALSE(isCompleteStream(Answer));
}

// Failure: the same for a stream with a length.
TEST(BrokenOffStreams, StreamWithLengthThatEndsInsideAnEventIsIncomplete) {
  const std::string Answer =
      answerTo("/once/x", withLength(FirstEvent + HalfEvent));
  CHECK_FALSE(contains(Answer, HalfEvent));
  CHECK_FALSE(isCompleteStream(Answer));
}

// Failure: a whole stream is not delivered as complete because it has neither
// length nor chunks.
TEST(BrokenOffStreams, UnframedStreamThatEndsWithAnEventIsComplete) {
  const std::string Answer =
      answerTo("/once/x", unframed(FirstEvent + SecondEvent));
  STRCMP_EQUAL((FirstEvent + SecondEvent).c_str(), eventsOf(Answer).c_str());
  CHECK(isCompleteStream(Answer));
}

// Failure: a stream that is reset after an event reaches its caller as
// complete.
TEST(BrokenOffStreams, UnframedStreamThatIsResetIsIncomplete) {
  const std::string Answer =
      answerTo("/once/x", unframed(FirstEvent), ConnectionEnd::Reset);
  CHECK_FALSE(isCompleteStream(Answer));
}

// Failure: our own cut of a stream looks complete to a caller of HTTP/1.0,
// whose answers have no chunks.
TEST(BrokenOffStreams, CutIsAResetForCallersWithoutChunks) {
  startEngines(1, [](const std::string &) {
    std::string Bytes = chunked(FirstEvent);
    Bytes.resize(Bytes.size() - std::string("0\r\n\r\n").size());
    return RawResponse{Bytes, ConnectionEnd::Close};
  });
  boost::system::error_code End;
  const std::string Answer = Fixture.exchange(
      Fixture.Settings.Listen.Callers,
      "GET /once/x HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: a1\r\n" +
          PromptHeaders + "\r\n",
      &End);
  CHECK(contains(Answer, "HTTP/1.1 200"));
  CHECK(End == boost::asio::error::connection_reset);
}
