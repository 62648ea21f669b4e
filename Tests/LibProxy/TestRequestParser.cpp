//===- TestRequestParser.cpp - Framing and limits of requests -------------===//
//
// Framing, size limits, and rejection of ambiguous input.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/RequestParser.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::proxy;
using State = RequestParser::State;

TEST_GROUP(RequestParser) {
  RequestParser Parser{{512, 64}};

  void failsWith(unsigned Status, std::string_view Bytes) {
    CHECK(Parser.feed(Bytes) == State::Failed);
    LONGS_EQUAL(Status, Parser.failureStatus());
  }
};

// Failure: a caller ends an empty body of chunks in several packets, and the
// process ends with an assertion of the HTTP library.
TEST(RequestParser, AcceptsAnEmptyChunkedBodyInPieces) {
  Parser.feed("POST / HTTP/1.1\r\nHost: h\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  for (const char Byte : std::string_view("0\r\n\r\n")) {
    CHECK(Parser.state() == State::Body);
    Parser.feed({&Byte, 1});
  }
  CHECK(Parser.state() == State::Complete);
}

TEST(RequestParser, ParsesARequestByteByByte) {
  const std::string Text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 3\r\n\r\nxyz";
  for (size_t I = 0; I + 1 < Text.size(); ++I)
    CHECK(Parser.feed(Text.substr(I, 1)) != State::Complete);
  CHECK(Parser.feed(Text.substr(Text.size() - 1)) == State::Complete);
  const Request Parsed = Parser.take();
  STRCMP_EQUAL("POST", Parsed.Head.Method.c_str());
  STRCMP_EQUAL("/a/b?c", Parsed.Head.Target.c_str());
  STRCMP_EQUAL("xyz", Parsed.Body.c_str());
  CHECK(Parsed.Head.path() == "/a/b");
}

TEST(RequestParser, BuffersAPipelinedRequest) {
  Parser.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n"
              "Host: h\r\n\r\n");
  STRCMP_EQUAL("/1", Parser.take().Head.Target.c_str());
  CHECK(Parser.resume() == State::Complete);
  STRCMP_EQUAL("/2", Parser.take().Head.Target.c_str());
  CHECK(Parser.resume() == State::Idle);
}

TEST(RequestParser, ParsesChunks) {
  Parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  CHECK(Parser.state() == State::Complete);
  STRCMP_EQUAL("abc", Parser.take().Body.c_str());
}

// Failure: a trailer replaces a field that was checked in the head, such as a
// caller's credentials.
TEST(RequestParser, DropsTrailers) {
  Parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1\r\na\r\n0\r\nX-Late: 1\r\n\r\n");
  CHECK(Parser.state() == State::Complete);
  CHECK(!Parser.take().Head.Headers.has("X-Late"));
}

// Symptom: a server runs a request that no caller sent (request smuggling).
// Sequence: a head has both a length and a chunked coding; gateway and server
// each apply another one, and the rest of the body is parsed as a request.
// Cause: ambiguous framing was forwarded.
TEST(RequestParser, RejectsALengthTogetherWithChunks) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
}

TEST(RequestParser, RejectsTwoLengths) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                 "Content-Length: 5\r\n\r\n");
}

// The same failure: Boost.Beast treats a request with an unknown transfer
// coding as one without a body.
TEST(RequestParser, RejectsUnknownTransferCodings) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked, identity\r\n\r\n");
}

TEST(RequestParser, RejectsTwoHosts) {
  failsWith(400, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
}

TEST(RequestParser, RejectsAnInvalidChunkSize) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
}

TEST(RequestParser, LimitsTheHead) {
  failsWith(431, "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') +
                     "\r\n\r\n");
}

// Guards against: header fields of a few bytes, each of which is held as two
// strings, take many times the limit on heads.
TEST(RequestParser, LimitsTheNumberOfFields) {
  Parser.setBounds({.HeadBytes = 16384, .BodyBytes = 64});
  std::string Head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int I = 0; I < 300; ++I)
    Head += "a:b\r\n";
  failsWith(431, Head);
}

TEST(RequestParser, LimitsTheBody) {
  failsWith(413, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n");
}

TEST(RequestParser, RecognizesExpectContinue) {
  Parser.feed("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
              "Content-Length: 1\r\n\r\n");
  CHECK(Parser.expectsContinue());
  CHECK(Parser.feed("x") == State::Complete);
}

TEST_GROUP_BASE(EndlessRequests, TEST_GROUP_CppUTestGroupRequestParser) {
  /// Feeds \p Piece again and again until the parser fails; checks that what it
  /// holds meanwhile is bounded.
  void feedForEver(std::string_view Beginning, std::string_view Piece) {
    Parser.feed(Beginning);
    for (int I = 0; I < 10000 && Parser.state() != State::Failed; ++I) {
      Parser.feed(Piece);
      CHECK(Parser.bufferedBytes() < 2048);
    }
    CHECK(Parser.state() == State::Failed);
    LONGS_EQUAL(431, Parser.failureStatus());
  }
  static constexpr std::string_view Head = "POST / HTTP/1.1\r\nHost: h\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n";
};

// Failure: a caller sends a chunk extension without end, and the process is
// ended for its memory.
TEST(EndlessRequests, ChunkExtensionIsRejected) {
  feedForEver(std::string(Head) + "1;", "name=value;");
}

// Failure: the same with a trailer.
TEST(EndlessRequests, TrailerIsRejected) {
  feedForEver(std::string(Head) + "0\r\n", "X-Name: value\r\n");
}

TEST(EndlessRequests, TrailerFieldIsRejected) {
  feedForEver(std::string(Head) + "0\r\nX-Name: ", "value value");
}

// Failure: a caller sends small chunks with long extensions, and is read for as
// long as its body may be, many times over.
TEST(EndlessRequests, ManyChunkExtensionsAreRejected) {
  feedForEver(Head, "1;" + std::string(100, 'x') + "\r\na\r\n");
}

TEST(EndlessRequests, ShortTrailersAndExtensionsAreAccepted) {
  CHECK(Parser.feed(std::string(Head) + "2;name=value\r\nab\r\n0;last\r\n"
                                        "X-Name: value\r\n\r\n") ==
        State::Complete);
  STRCMP_EQUAL("ab", Parser.take().Body.c_str());
}
