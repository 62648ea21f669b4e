//===- TestBrokenAnswers.cpp - Answers that are no valid HTTP -------------===//
//
// Servers in trouble, a gateway in a process of its own, and one caller. For
// each kind of request, no caller gets a broken answer, or a part of one that
// looks whole.
//
//===----------------------------------------------------------------------===//

#include "BreakingServer.h"

#include "FigliftGateway/RawServer.h"
#include "FigliftGateway/SeparateGateway.h"
#include "LibProxy/ResponseParser.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace figlift;
using namespace figlift::testing;

namespace {

const std::string Ok = "HTTP/1.1 200 OK";
/// Body of a call, and event of a stream.
const std::string Event = "id: 1\ndata: one\n\n";

std::string withLength(const std::string &Fields = "") {
  return Fields + "Content-Length: " + std::to_string(Event.size()) +
         "\r\n\r\n" + Event;
}
std::string withChunks(const std::string &Trailer = "") {
  return "Transfer-Encoding: chunked\r\n\r\n11\r\n" + Event + "\r\n0\r\n" +
         Trailer + "\r\n";
}
std::string withoutLength() { return "\r\n" + Event; }

struct RequestKind {
  std::string Path;
  /// Header fields.
  std::string Fields;
};
const std::vector<RequestKind> AllKinds = {{"/unsafe/x", ""},
                                           {"/safe/x", ""},
                                           {"/once/x", PromptHeaders},
                                           {"/stream/x", PromptHeaders}};

} // namespace

TEST_GROUP(BrokenAnswers) {
  GatewayFixture Fixture;
  SeparateGateway Process{Fixture};
  std::unique_ptr<RawServer> Plain;
  std::unique_ptr<RawServer> Engine;
  /// Status line, and what follows the fields that name the request.
  std::string Line;
  std::string Rest;
  size_t Sent = 0;
  /// Servers that answer uploads early: with this status line, the fields that
  /// name the request, and this body.
  std::unique_ptr<BreakingServer> PlainUploads;
  std::unique_ptr<BreakingServer> EngineUploads;
  EarlyAnswer Early;
  std::string EarlyBody;

  void start(const Endpoint &PlainAddress, const Endpoint &EngineAddress) {
    Fixture.listServer("s1", "plain", PlainAddress);
    Fixture.listServer("d1", "model", EngineAddress, "decode");
    startProcess(2);
  }
  void startProcess(size_t Servers) {
    Fixture.configure();
    CHECK(Process.start());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets " +
                                             std::to_string(Servers) + "\n");
    }));
  }
  static std::string identity(const std::string &Head) {
    return "X-Attempt-Id: " + attemptOf(Head) +
           "\r\nX-Response-Signature: s\r\n";
  }
  std::unique_ptr<RawServer> brokenServer() {
    return std::make_unique<RawServer>(
        Fixture.Loop, [this](const std::string &Head) {
          return RawResponse{Line + "\r\n" + identity(Head) + Rest,
                             ConnectionEnd::Close};
        });
  }
  void startBroken() {
    Plain = brokenServer();
    Engine = brokenServer();
    start(Plain->address(), Engine->address());
  }
  std::string send(const RequestKind &Kind, const std::string &Body = "") {
    return Fixture.exchange(
        Fixture.Settings.Listen.Callers,
        "POST " + Kind.Path +
            " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "X-Attempt-Id: a" +
            std::to_string(++Sent) + "\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n" + Kind.Fields + "\r\n" + Body);
  }
  size_t arrived() const {
    return Plain->Requests.size() + Engine->Requests.size();
  }
  /// What may have run is sent once.
  static void checkSends(const RequestKind &Kind, size_t Count) {
    CHECK(Kind.Path == "/unsafe/x" ? Count == 1 : Count > 0);
  }
  std::string answerTo(const RequestKind &Kind, const std::string &NewLine,
                       const std::string &NewRest) {
    Line = NewLine;
    Rest = NewRest;
    const size_t Before = arrived();
    std::string Answer = send(Kind);
    checkSends(Kind, arrived() - Before);
    return Answer;
  }
  /// The server has the request and may have run it.
  void checkBroken(const std::string &NewLine, const std::string &NewRest) {
    for (const RequestKind &Kind : AllKinds) {
      const std::string Answer = answerTo(Kind, NewLine, NewRest);
      const std::string Case =
          Kind.Path + " " + NewLine + "\n" + NewRest + "\ngot " + Answer;
      CHECK_TEXT(Answer.starts_with("HTTP/1.1 502 "), Case.c_str());
      CHECK_TEXT(!contains(Answer, Event), Case.c_str());
    }
  }
  std::unique_ptr<BreakingServer> breakingServer() {
    return std::make_unique<BreakingServer>(
        Fixture.Loop, [this](const std::string &Head) {
          EarlyAnswer Whole = Early;
          Whole.Bytes += "\r\n" + identity(Head) + "\r\n" + EarlyBody;
          return Whole;
        });
  }
  void startBreaking() {
    PlainUploads = breakingServer();
    EngineUploads = breakingServer();
    start(PlainUploads->address(), EngineUploads->address());
  }
  std::string upload(const RequestKind &Kind) {
    const std::string Body(3000000, 'u');
    const auto Arrived = [&] {
      return PlainUploads->requests() + EngineUploads->requests();
    };
    const size_t Before = Arrived();
    std::string Answer = send(Kind, Body);
    checkSends(Kind, Arrived() - Before);
    return Answer;
  }
  static bool isWhole(const std::string &Answer) {
    proxy::ResponseParser Parser;
    Parser.feed(Answer);
    return Parser.finish() == proxy::ResponseParser::State::Complete;
  }
};

// Failure: an answer whose status is no status reaches its caller.
TEST(BrokenAnswers, StatusesOutOfRangeAreNotPassedOn) {
  startBroken();
  for (const std::string Status : {"000", "001", "099", "600", "999"}) {
    const std::string Odd = "HTTP/1.1 " + Status + " Odd";
    checkBroken(Odd, withLength());
    checkBroken(Odd, withChunks());
    checkBroken(Odd, withoutLength());
    checkBroken(Odd, "\r\n");
    checkBroken("HTTP/1.1 103 Early Hints\r\n\r\n" + Odd, withLength());
  }
  checkBroken("HTTP/1.1 099 Odd\r\n\r\n" + Ok, withLength());
}

// Failure: such an answer, without the request's id, is skipped as that to
// another request, and what follows on the broken connection is passed on.
TEST(BrokenAnswers, StatusesOutOfRangeAreNotSkipped) {
  startBroken();
  checkBroken("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n" + Ok,
              withLength());
}

// Failure: the same where a prefill is asked for.
TEST(BrokenAnswers, PrefillsWithAStatusOutOfRangeAreNotPassedOn) {
  Engine = brokenServer();
  Fixture.listServer("p1", "model", Engine->address(), "prefill");
  Fixture.addServer(
      "d1", "model",
      [](const proxy::Request &Request, const Caller &To) {
        respondSigned(Request, To, 200, Event);
      },
      "decode");
  Line = "HTTP/1.1 000 Odd";
  Rest = withLength();
  for (const std::string Path : {"/once/x", "/stream/x"}) {
    // A gateway that has met the broken engine asks another one.
    startProcess(2);
    const size_t Before = Engine->Requests.size();
    const std::string Answer = send({Path, PromptHeaders});
    CHECK(Engine->Requests.size() > Before);
    CHECK_TEXT(Answer.starts_with("HTTP/1.1 200 "), Answer.c_str());
    CHECK(contains(Answer, Event));
  }
}

// Failure: an answer whose status line is broken otherwise is passed on.
TEST(BrokenAnswers, BrokenStatusLinesAreNotPassedOn) {
  startBroken();
  for (const std::string Broken :
       {"HTTP/1.1 0200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK", "ICY 200 OK", "HTTP/1.1 101 Switching",
        "HTTP/1.1 200 O\x01K", "HTTP/1.1 200"})
    checkBroken(Broken, withLength());
  checkBroken(std::string("HTTP/1.1 200 O\0K", 16), withLength());
}

// Failure: a server answers an upload at once, without a length, and resets;
// the part of its answer that arrived is passed on as complete.
TEST(BrokenAnswers, ResetsDuringUploadsEndNoAnswer) {
  constexpr int Repetitions = 4;
  while (EarlyBody.size() < 2000)
    EarlyBody += Event;
  startBreaking();
  for (const std::string Status : {"200 OK", "500 Error", "413 Too Large"})
    for (const EarlyAnswer &Shape :
         {EarlyAnswer{.Bytes = "", .End = UploadEnd::Reset},
          EarlyAnswer{.Bytes = "", .End = UploadEnd::CloseUnread},
          EarlyAnswer{
              .Bytes = "", .End = UploadEnd::Reset, .BytesRead = 300000}})
      for (const RequestKind &Kind : AllKinds)
        for (int I = 0; I < Repetitions; ++I) {
          Early = Shape;
          Early.Bytes = "HTTP/1.1 " + Status;
          const std::string Received = upload(Kind);
          const std::string Case =
              Kind.Path + " " + Status + "\ngot " + Received.substr(0, 200);
          CHECK_TEXT(Received.starts_with("HTTP/1.1 502 ") ||
                         !isWhole(Received),
                     Case.c_str());
        }
}

// Failure: an answer to an upload that the server ends in order is lost, since
// the rest of the upload is reset.
TEST(BrokenAnswers, AnswersThatEndDuringUploadsArePassedOn) {
  EarlyBody = Event;
  startBreaking();
  for (const UploadEnd Ending :
       {UploadEnd::EndAndReset, UploadEnd::EndAndReadAll})
    for (const RequestKind &Kind : AllKinds) {
      Early = {.Bytes = Ok, .End = Ending};
      const std::string Received = upload(Kind);
      CHECK_TEXT(Received.starts_with(Ok), Received.c_str());
      CHECK(isWhole(Received));
      CHECK(contains(Received, Event));
    }
}

// Failure: a line that is no field is passed on, or hides the next one.
TEST(BrokenAnswers, BrokenFieldsAreNotPassedOn) {
  startBroken();
  std::vector<std::string> Broken = {
      "X Name: a",     "X\tName: a",         "X-Name : a",
      "X-Name\t: a",   "X\x01Name: a",       "X\x7fName: a",
      "X\x80Name: a",  "X(Name): a",         ": a",
      "no colon",      "X-Name: a\rb",       "X-Name: a\nX-B: b",
      "X-Name: a\x01", "Content-Length : 3", "Transfer-Encoding : chunked"};
  Broken.push_back(std::string("X\0Name: a", 9));
  Broken.push_back(std::string("X-Name: a\0", 10));
  for (const std::string &Field : Broken) {
    checkBroken(Ok, withLength(Field + "\r\n"));
    checkBroken("HTTP/1.1 103 Early Hints\r\n" + Field + "\r\n\r\n" + Ok,
                withLength());
    checkBroken(Ok, withChunks(Field + "\r\n"));
  }
}

// Failure: a caller gets a body that is not the server's.
TEST(BrokenAnswers, BrokenFramingIsNotPassedOn) {
  startBroken();
  for (const std::string Length :
       {"3, 17", "+17", "0x11", "-1", "", "99999999999999999999999", "17 17"})
    checkBroken(Ok, "Content-Length: " + Length + "\r\n\r\n" + Event);
  checkBroken(Ok, "Content-Length: 3\r\n" + withLength());
  checkBroken(Ok, "Content-Length: 17\r\n" + withChunks());
  checkBroken(Ok, "Transfer-Encoding: gzip\r\n\r\n" + Event);
  checkBroken(Ok, "Transfer-Encoding: gzip, chunked\r\n\r\n" + Event);
  for (const std::string Size :
       {"ffffffffffffffffff", "-11", "0x11", "9", "zz"})
    checkBroken(Ok, "Transfer-Encoding: chunked\r\n\r\n" + Size + "\r\n" +
                        Event + "\r\n0\r\n\r\n");
}

// Failure: a line that begins with a blank is passed on in the field before it.
TEST(BrokenAnswers, FoldedLinesAreNotPassedOn) {
  startBroken();
  for (const std::string Folded :
       {"X-A: a\r\n Content-Length: 3\r\n", "X-A: a\r\n\tb\r\n",
        "X-A:\r\n b\r\n", "X-A: a\r\n b\r\n c\r\n", "X-A: a\r\n \r\n"}) {
    checkBroken(Ok, withLength(Folded));
    checkBroken("HTTP/1.1 103 Early Hints\r\n" + std::string(Folded) + "\r\n" +
                    Ok,
                withLength());
    checkBroken(Ok, withChunks(Folded));
  }
  checkBroken(Ok + "\r\n X-A: a", withLength());
}

// Failure: chunks are decoded in a version that has none, in which their sizes
// are part of the body.
TEST(BrokenAnswers, ChunksOfAnEarlierVersionAreNotPassedOn) {
  startBroken();
  checkBroken("HTTP/1.0 200 OK", withChunks());
}

// Failure: what the trailer of an answer says counts as its head, and a request
// that ran is answered as not run.
TEST(BrokenAnswers, TrailersAreNoFieldsOfTheHead) {
  startBroken();
  for (const std::string Trailer :
       {"X-Trailed: yes\r\n", "X-Not-Executed: 1\r\n",
        "X-Attempt-Id: other\r\n", "Server-Leaving: 1\r\n"})
    for (const RequestKind &Kind : AllKinds) {
      const std::string Answer = answerTo(Kind, Ok, withChunks(Trailer));
      CHECK_TEXT(Answer.starts_with("HTTP/1.1 200 "), Answer.c_str());
      CHECK(contains(Answer, Event));
      CHECK_TEXT(!contains(Answer, Trailer), Answer.c_str());
    }
}
