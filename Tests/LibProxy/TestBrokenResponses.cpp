//===- TestBrokenResponses.cpp - Responses that are not valid HTTP --------===//
//
// What fails, wherever its bytes are split: statuses out of range, odd fields
// and odd framing. What stands in a trailer is no part of the head.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/ResponseParser.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace figlift::proxy;
using State = ResponseParser::State;

namespace {

const std::string Length = "Content-Length: 2\r\n";
const std::string Chunks = "Transfer-Encoding: chunked\r\n";
const std::string Ok = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_GROUP(BrokenResponses) {
  ResponseParser Parser;

  /// Parses \p Bytes in two parts, of which the first has \p Split bytes.
  State parse(std::string_view Bytes, size_t Split) {
    Parser = ResponseParser();
    Parser.feed(Bytes.substr(0, Split));
    return Parser.feed(Bytes.substr(Split));
  }
  void checkFails(const std::string &Bytes) {
    for (size_t Split = 0; Split < Bytes.size(); ++Split)
      CHECK_TEXT(parse(Bytes, Split) == State::Failed, Bytes.c_str());
  }
  void checkCompletes(const std::string &Bytes) {
    for (size_t Split = 0; Split < Bytes.size(); ++Split)
      CHECK_TEXT(parse(Bytes, Split) == State::Complete, Bytes.c_str());
  }
};

// Failure: an answer whose status is no status is passed on.
TEST(BrokenResponses, StatusesOutOfRangeFail) {
  for (const std::string Status : {"000", "001", "099", "600", "999"}) {
    const std::string Line = "HTTP/1.1 " + Status + " Odd\r\n";
    checkFails(Line + Length + "\r\nok");
    checkFails(Line + Chunks + "\r\n2\r\nok\r\n0\r\n\r\n");
    checkFails(Line + "\r\nok");
    checkFails("HTTP/1.1 103 Early Hints\r\n\r\n" + Line + Length + "\r\nok");
  }
}

// Failure: the bounds refuse a status that is one.
TEST(BrokenResponses, StatusesInRangeAreTaken) {
  for (const std::string Status : {"200", "299", "404", "500", "599"})
    checkCompletes("HTTP/1.1 " + Status + " Odd\r\n" + Length + "\r\nok");
}

// Failure: the body behind a broken interim response is passed on.
TEST(BrokenResponses, InterimStatusesOutOfRangeFail) {
  checkFails("HTTP/1.1 099 Early Hints\r\n\r\n" + Ok + Length + "\r\nok");
}

// Failure: a line that begins with a blank is passed on in the field before it.
TEST(BrokenResponses, FoldedLinesFail) {
  for (const std::string Folded :
       {"X-A: a\r\n Content-Length: 3\r\n", "X-A: a\r\n\tb\r\n",
        "X-A:\r\n b\r\n", "X-A: a\r\n b\r\n c\r\n", "X-A: a\r\n \r\n"}) {
    checkFails(Ok + Folded + Length + "\r\nok");
    checkFails(Ok + Length + Folded + "\r\nok");
    checkFails("HTTP/1.1 103 Early Hints\r\n" + Folded + "\r\n" + Ok + Length +
               "\r\nok");
    checkFails(Ok + Chunks + "\r\n2\r\nok\r\n0\r\n" + Folded + "\r\n");
  }
}

// Failure: values that hold, begin or end with blanks count as folded lines.
TEST(BrokenResponses, BlanksWithinALineAreTaken) {
  checkCompletes(Ok + "X-A:  a\t b \r\nX-B: \r\nX-C:\r\n" + Length + "\r\nok");
  STRCMP_EQUAL("a\t b",
               std::string(*Parser.head().Headers.find("X-A")).c_str());
}

// Failure: chunks are decoded in a version that has none, in which their sizes
// are part of the body.
TEST(BrokenResponses, ChunksOfAnEarlierVersionFail) {
  checkFails("HTTP/1.0 200 OK\r\n" + Chunks + "\r\n2\r\nok\r\n0\r\n\r\n");
}

// Failure: what the trailer of a response says counts as its head, if it
// arrives with it, and a request that ran is answered as not run.
TEST(BrokenResponses, TrailersAreNoFieldsOfTheHead) {
  const std::string Bytes =
      Ok + "X-A: a\r\n" + Chunks + "\r\n2\r\nok\r\n0\r\nX-Trailed: yes\r\n\r\n";
  for (size_t Split = 0; Split < Bytes.size(); ++Split) {
    CHECK(parse(Bytes, Split) == State::Complete);
    CHECK(Parser.head().Headers.has("X-A"));
    CHECK_FALSE(Parser.head().Headers.has("X-Trailed"));
    STRCMP_EQUAL("ok", Parser.takeBody().c_str());
    CHECK(Parser.keepsAlive());
  }
}

// Failure: a line whose name is none is passed on, or hides the next one.
TEST(BrokenResponses, OddNamesFail) {
  for (const std::string Field :
       {"X A: a", "X\tA: a", "X-A : a", "X\x01: a", "X\x7f: a", "X\x80: a",
        "X(A): a", ": a", "no colon"}) {
    checkFails(Ok + Field + "\r\n" + Length + "\r\nok");
    checkFails(Ok + Chunks + "\r\n2\r\nok\r\n0\r\n" + Field + "\r\n\r\n");
  }
}
