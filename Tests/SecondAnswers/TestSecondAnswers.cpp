//===- TestSecondAnswers.cpp - Servers that send an answer twice ----------===//
//
// The second copy arrives where the answer to the next request on the same
// connection is expected.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/RawServer.h"
#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace figlift;
using namespace figlift::testing;

namespace {

/// The stand-ins list servers with this number of slots.
constexpr size_t Slots = 4;

std::string attemptId(const std::string &Head) {
  const std::string Name = "X-Attempt-Id: ";
  const size_t Begin = Head.find(Name);
  if (Begin == std::string::npos)
    return {};
  const size_t Value = Begin + Name.size();
  return Head.substr(Value, Head.find("\r\n", Value) - Value);
}

std::string answer(unsigned Status, const std::string &Head,
                   const std::string &Fields, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Any\r\nX-Attempt-Id: " + attemptId(Head) + "\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string success(const std::string &Head) {
  return answer(200, Head, "X-Response-Signature: s\r\n",
                "body of " + attemptId(Head));
}

/// An answer that comes a second time.
RawResponse twice(std::string Bytes) {
  return {Bytes, ConnectionEnd::None, Bytes};
}

} // namespace

TEST_GROUP(SecondAnswers) {
  GatewayFixture Fixture;
  std::deque<KeepAliveCaller> Callers;
  std::unique_ptr<RawServer> Server;

  void startServer(const std::string &Service, const std::string &Stage,
                   RawServer::Behaviour Behaviour) {
    Server = std::make_unique<RawServer>(Fixture.Loop, std::move(Behaviour));
    Server->AnswersCacheLists = true;
    Fixture.listServer("s1", Service, Server->address(), Stage);
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 1\n");
    }));
  }
  KeepAliveCaller &send(const std::string &AttemptId,
                        const std::string &Path = "/unsafe/x",
                        const std::string &Fields = "") {
    Callers.emplace_back(Fixture);
    Callers.back().sendBytes(
        "POST " + Path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + AttemptId +
        "\r\nContent-Length: 0\r\n" + Fields + "\r\n");
    return Callers.back();
  }
  bool answers(KeepAliveCaller & Caller, const std::string &Text) {
    return Fixture.waitUntil([&] { return contains(Caller.received(), Text); });
  }
};

// Failure: a request waits for the full server that rejected it and is sent to
// it again; a copy of the rejection makes it run twice, or be refused although
// it runs.
TEST(SecondAnswers, RejectionIsNotTakenForTheAnswerToTheNextSend) {
  unsigned Rejections = 0;
  unsigned Runs = 0;
  startServer("plain", "", [&](const std::string &Head) -> RawResponse {
    if (attemptId(Head) != "a1")
      // Holds a slot until its deadline.
      return {"", ConnectionEnd::None};
    if (++Rejections == 1)
      return twice(answer(503, Head, "X-Not-Executed: 1\r\n", ""));
    ++Runs;
    return {success(Head), ConnectionEnd::None};
  });
  for (size_t I = 0; I < Slots; ++I) {
    send("h" + std::to_string(I), "/unsafe/x",
         "X-Deadline-Ms: " + std::to_string(I == 0 ? 400 : 1500) + "\r\n");
    CHECK(Fixture.waitUntil([&] { return Server->Requests.size() == I + 1; }));
  }
  KeepAliveCaller &Rejected = send("a1");
  CHECK(answers(Rejected, "HTTP/1.1 "));
  CHECK(contains(Rejected.received(), "body of a1"));
  LONGS_EQUAL(1, Runs);
}

// Failure: a copy of the answer to the request before makes an innocent request
// fail, whose own answer follows.
TEST(SecondAnswers, AnswerToAnotherRequestIsSkipped) {
  startServer("plain", "",
              [](const std::string &Head) { return twice(success(Head)); });
  for (const char *AttemptId : {"a1", "a2", "a3"}) {
    KeepAliveCaller &Caller = send(AttemptId);
    CHECK(answers(Caller, "HTTP/1.1 "));
    CHECK(contains(Caller.received(), std::string("body of ") + AttemptId));
  }
  LONGS_EQUAL(3, Server->Requests.size());
  CHECK(
      contains(Fixture.metrics(), "figlift_gateway_answers_skipped_total 2\n"));
}

// Failure: a copy of the answer to a call of the gateway, which names no
// request, is taken for the rejection of a stream that runs.
TEST(SecondAnswers, AnswerToACallIsSkipped) {
  unsigned Runs = 0;
  startServer("model", "decode", [&](const std::string &Head) -> RawResponse {
    if (Head.starts_with("GET /v1/kv-list"))
      return {"HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\n"
              R"({"epoch":"a","next":0,"held":[]}    )",
              ConnectionEnd::None,
              "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
    ++Runs;
    return {answer(200, Head, "X-Response-Signature: s\r\n",
                   "id: 1\ndata: one\n\n"),
            ConnectionEnd::None};
  });
  CHECK(Fixture.waitUntil([&] { return !Server->Requests.empty(); }));
  Fixture.Loop.run_for(std::chrono::milliseconds(50));
  KeepAliveCaller &Caller = send("a1", "/once/x", PromptHeaders);
  CHECK(answers(Caller, "data: one"));
  LONGS_EQUAL(1, Runs);
}
