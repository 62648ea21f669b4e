//===- TestRequestParser.cpp - Requests as callers send them --------------===//
//
// Framing, bounds, and input that must not be guessed at.
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

TEST(RequestParser, ReadsARequestByteByByte) {
  const std::string Text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 3\r\n\r\nxyz";
  for (size_t At = 0; At + 1 < Text.size(); ++At)
    CHECK(Parser.feed(Text.substr(At, 1)) != State::Complete);
  CHECK(Parser.feed(Text.substr(Text.size() - 1)) == State::Complete);
  const Request Read = Parser.take();
  STRCMP_EQUAL("POST", Read.Head.Method.c_str());
  STRCMP_EQUAL("/a/b?c", Read.Head.Target.c_str());
  STRCMP_EQUAL("xyz", Read.Body.c_str());
  CHECK(Read.Head.path() == "/a/b");
}

TEST(RequestParser, KeepsAPipelinedRequestForLater) {
  Parser.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n"
              "Host: h\r\n\r\n");
  STRCMP_EQUAL("/1", Parser.take().Head.Target.c_str());
  CHECK(Parser.resume() == State::Complete);
  STRCMP_EQUAL("/2", Parser.take().Head.Target.c_str());
  CHECK(Parser.resume() == State::Between);
}

TEST(RequestParser, ReadsChunks) {
  Parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  CHECK(Parser.state() == State::Complete);
  STRCMP_EQUAL("abc", Parser.take().Body.c_str());
}

// Symptom: a server runs a request that no caller sent.
// Sequence: a head gives a length and chunks; one side goes by the one, the
// other by the other, and the rest of the body is read as the next request.
// Cause: ambiguous framing was forwarded.
TEST(RequestParser, RefusesALengthBesideChunks) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
}

TEST(RequestParser, RefusesTwoLengths) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                 "Content-Length: 5\r\n\r\n");
}

// Symptom, sequence: as above. Cause: the grammar takes a request with a
// transfer coding that it does not know for one without a body.
TEST(RequestParser, RefusesUnknownTransferCodings) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked, identity\r\n\r\n");
}

TEST(RequestParser, RefusesTwoHosts) {
  failsWith(400, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
}

TEST(RequestParser, RefusesABadChunkSize) {
  failsWith(400, "POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
}

TEST(RequestParser, BoundsTheHead) {
  failsWith(431, "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') +
                     "\r\n\r\n");
}

TEST(RequestParser, BoundsTheBody) {
  failsWith(413, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n");
}

TEST(RequestParser, KnowsACallerThatWaitsToSendItsBody) {
  Parser.feed("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
              "Content-Length: 1\r\n\r\n");
  CHECK(Parser.expectsContinue());
  CHECK(Parser.feed("x") == State::Complete);
}
