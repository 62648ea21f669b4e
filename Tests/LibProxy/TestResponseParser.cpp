//===- TestResponseParser.cpp - Framing of responses ----------------------===//
//
// Where a response ends, and when it is incomplete.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/ResponseParser.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::proxy;
using State = ResponseParser::State;

TEST_GROUP(ResponseParser) { ResponseParser Parser; };

TEST(ResponseParser, EndsAtTheContentLength) {
  CHECK(Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na") ==
        State::Body);
  CHECK(Parser.feed("b") == State::Complete);
  STRCMP_EQUAL("ab", Parser.takeBody().c_str());
  CHECK(Parser.keepsAlive());
}

TEST(ResponseParser, ReturnsChunksAsTheyArrive) {
  Parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab");
  STRCMP_EQUAL("ab", Parser.takeBody().c_str());
  CHECK(Parser.feed("\r\n0\r\n\r\n") == State::Complete);
}

// Symptom: a caller gets a truncated response that looks complete.
// Sequence: the server exits within a chunked response; its connection closes.
// Cause: the end of the connection was treated as the end of the response.
TEST(ResponseParser, IsIncompleteWithoutTheLastChunk) {
  Parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab");
  CHECK(Parser.finish() == State::Failed);
}

TEST(ResponseParser, IsIncompleteBelowTheContentLength) {
  Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
  CHECK(Parser.finish() == State::Failed);
}

TEST(ResponseParser, EndsWithTheConnectionIfItHasNoLength) {
  CHECK(Parser.feed("HTTP/1.1 200 OK\r\n\r\nab") == State::Body);
  CHECK(Parser.finish() == State::Complete);
  STRCMP_EQUAL("ab", Parser.takeBody().c_str());
  CHECK(!Parser.keepsAlive());
}

// Symptom: a caller gets the response to another caller's request.
// Sequence: a faulty server sends a second response after the first; the
// connection is reused, and the extra bytes are parsed as the next response.
// Cause: bytes after a complete response were kept for the next exchange.
TEST(ResponseParser, IsNotReusedAfterTrailingBytes) {
  Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK");
  CHECK(Parser.state() == State::Complete);
  CHECK(Parser.hasTrailingBytes());
  CHECK(!Parser.keepsAlive());
}

// Failure: a server ends an empty body of chunks in several packets, and the
// process ends with an assertion of the HTTP library.
TEST(ResponseParser, AcceptsAnEmptyChunkedBodyInPieces) {
  for (const char *LastChunk : {"0\r\n\r\n", "00\r\n\r\n", "0;x\r\n\r\n"}) {
    Parser = ResponseParser();
    Parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (const char Byte : std::string_view(LastChunk)) {
      CHECK(Parser.state() == State::Body);
      Parser.feed({&Byte, 1});
    }
    CHECK(Parser.state() == State::Complete);
  }
}

TEST(ResponseParser, SkipsInterimResponses) {
  Parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
              "Content-Length: 0\r\n\r\n");
  CHECK(Parser.state() == State::Complete);
  LONGS_EQUAL(201, Parser.head().Status);
}

TEST(ResponseParser, FailsOnMalformedInput) {
  CHECK(Parser.feed("garbage\r\n\r\n") == State::Failed);
}

TEST(ResponseParser, IsNotReusedWhenTheServerCloses) {
  Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
              "Connection: close\r\n\r\n");
  CHECK(!Parser.keepsAlive());
}

TEST_GROUP_BASE(EndlessResponses, TEST_GROUP_CppUTestGroupResponseParser) {
  /// Bytes that are read before the parser fails.
  size_t readBeforeFailure(std::string_view Beginning, std::string_view Piece) {
    constexpr size_t Many = 10 << 20;
    Parser.feed(Beginning);
    size_t Count = Beginning.size();
    while (Count < Many && Parser.state() != State::Failed) {
      Parser.feed(Piece);
      Parser.takeBody();
      Count += Piece.size();
    }
    return Count;
  }
  static constexpr size_t Bound = 64 << 10;
  static constexpr std::string_view Head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
};

// Failure: a faulty server sends a chunk extension without end, and the process
// is ended for its memory.
TEST(EndlessResponses, ChunkExtensionFails) {
  CHECK(readBeforeFailure(std::string(Head) + "1;", "name=value;") < Bound);
}

// Failure: the same with a trailer.
TEST(EndlessResponses, TrailerFails) {
  CHECK(readBeforeFailure(std::string(Head) + "0\r\n", "X-Name: value\r\n") <
        Bound);
}

TEST(EndlessResponses, ManyChunkExtensionsFail) {
  CHECK(readBeforeFailure(Head, "1;" + std::string(1000, 'x') + "\r\na\r\n") <
        Bound);
}

// Failure: a server sends interim responses without end, and is read until the
// deadline of the request.
TEST(EndlessResponses, InterimResponsesFail) {
  CHECK(readBeforeFailure("", "HTTP/1.1 103 Early Hints\r\n\r\n") < Bound);
}

TEST(EndlessResponses, SomeInterimResponsesAreSkipped) {
  for (int I = 0; I < 10; ++I)
    Parser.feed("HTTP/1.1 103 Early Hints\r\n\r\n");
  CHECK(Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") ==
        State::Complete);
}

// Failure: a server stops in the middle of its answer's head and closes, and
// the caller gets an empty or short body that looks whole.
TEST(ResponseParser, HeadCutAtAnyByteIsNoResponse) {
  const std::string Fields = "X-Attempt-Id: a\r\nX-Response-Signature: s\r\n";
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string Before : {std::string(), Interim, Interim + Interim})
    for (const std::string LineEnd : {"\r\n", "\n"})
      for (const std::string Framing :
           {std::string("Content-Length: 12"), std::string("Content-Length: 0"),
            std::string("Transfer-Encoding: chunked"),
            std::string("Connection: close")}) {
        const std::string Head = Before + "HTTP/1.1 200 OK\r\n" + Fields +
                                 Framing + LineEnd + LineEnd;
        for (size_t Cut = 0; Cut < Head.size() - LineEnd.size(); ++Cut)
          for (const bool IsByteByByte : {false, true}) {
            Parser = ResponseParser();
            for (size_t At = 0; IsByteByByte && At < Cut; ++At)
              Parser.feed(std::string_view(Head).substr(At, 1));
            if (!IsByteByByte)
              Parser.feed(std::string_view(Head).substr(0, Cut));
            CHECK(Parser.state() != State::Complete);
            CHECK(Parser.state() != State::Body);
            CHECK(Parser.finish() == State::Failed);
          }
      }
}

// Failure: the same, where the answer to an earlier request was skipped first.
TEST(ResponseParser, HeadCutAfterASkippedResponseIsNoResponse) {
  const std::string Other = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
  for (size_t Cut = 0; Cut < Head.size(); ++Cut) {
    Parser = ResponseParser();
    Parser.feed(Other + Head.substr(0, Cut));
    CHECK(Parser.state() == State::Complete);
    Parser.next();
    Parser.feed({});
    CHECK(Parser.state() == State::Head);
    CHECK(Parser.finish() == State::Failed);
  }
}

// Guards against: header fields of a few bytes, each of which is held as two
// strings, take many times the limit on heads.
TEST(EndlessResponses, ManyFieldsFail) {
  std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  for (int I = 0; I < 300; ++I)
    Head += "a:b\r\n";
  CHECK(Parser.feed(Head) == State::Failed);
}

// Guards against: a body in chunks of one byte keeps a core busy for seconds.
TEST(EndlessResponses, ChunksOfOneByteFail) {
  CHECK(readBeforeFailure(Head, "1\r\nx\r\n") < 2 << 20);
}

// Chunks that carry as much as they cost are taken however many they are.
TEST(EndlessResponses, ShortChunksArePassedOn) {
  Parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int I = 0; I < 500000; ++I)
    CHECK(Parser.feed("5\r\nevent\r\n") == State::Body);
  LONGS_EQUAL(2500000, Parser.takeBody().size());
}

TEST(ResponseParser, NamesItsLengthWithItsHead) {
  Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
  CHECK(Parser.head().Length == 99999999999U);
}
