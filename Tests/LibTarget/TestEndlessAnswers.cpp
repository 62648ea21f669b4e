//===- TestEndlessAnswers.cpp - Targets that send without end -------------===//
//
// An agent holds what its target sends, for all of its callers.
//
//===----------------------------------------------------------------------===//

#include "EndlessMessages/EndlessServer.h"

#include "LibTarget/HttpEngine.h"
#include "LibTarget/HttpService.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace figlift;
using namespace figlift::target;
using figlift::testing::EndlessBytes;
using figlift::testing::EndlessServer;

namespace {

/// A quarter of the memory of a machine.
constexpr size_t MaximumBytes = 64 << 20;

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunks = Ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string Text(1000, 'x');

struct Sender {
  const char *Name;
  EndlessBytes Bytes;
};

const std::vector<Sender> Senders = {
    {"no head", {"", "no head "}},
    {"header fields", {Ok, "a:b\r\n"}},
    {"interim responses", {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
    {"a chunk extension", {Chunks + "1;", "name=value;"}},
    {"chunks", {Chunks, "3e8\r\n" + Text + "\r\n"}},
    {"one chunk", {Chunks + "7fffffffff\r\n", Text}},
    {"a body without length", {Ok + "\r\n", Text}},
    {"a failure without length", {"HTTP/1.1 500 Failed\r\n\r\n", Text}},
    {"a body that is too long",
     {Ok + "Content-Length: 99999999999\r\n\r\n", Text}},
};

/// What is not a completion, in a stream that goes on.
const std::vector<Sender> Streams = {
    {"one event", {Chunks, "3e8\r\n" + Text + "\r\n"}},
    {"malformed events", {Chunks, "9\r\ndata: x\n\n\r\n"}},
    {"a failure", {"HTTP/1.1 500 Failed\r\n\r\n", Text}},
};

/// How a call has ended. Shared with the call, which outlives a failed test.
struct Outcome {
  std::atomic<bool> Ended = false;
  std::atomic<bool> MayHaveRun = false;

  template <typename T> void record(const CallResult<T> &Result) {
    MayHaveRun = !Result && Result.error().Executed == Execution::MayHaveRun;
    Ended = true;
  }
};

struct Listener final : CompletionListener {
  Outcome End;
  void onToken(Token) override {}
  void onEnd(CallResult<CompletionEnd> Result) override { End.record(Result); }
};

} // namespace

TEST_GROUP(EndlessAnswers) {
  boost::asio::io_context Loop;

  void checkEnds(const EndlessServer &Server, const Outcome &End,
                 const char *Name) {
    const auto Limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!End.Ended && std::chrono::steady_clock::now() < Limit &&
           Server.bytesWritten() <= MaximumBytes)
      Loop.run_for(std::chrono::milliseconds(2));
    CHECK_TEXT(Server.bytesWritten() <= MaximumBytes, Name);
    CHECK_TEXT(End.Ended, Name);
  }
};

// Guards against: an agent keeps all that its faulty service sends, and ends
// for want of memory with the calls of others.
TEST(EndlessAnswers, EndACallToAService) {
  for (const Sender &Faulty : Senders) {
    EndlessServer Server(Loop, Faulty.Bytes);
    HttpService Service(Server.address());
    ServiceRequest Request;
    Request.Method = "POST";
    Request.Path = "/slots/7";
    const auto End = std::make_shared<Outcome>();
    Service.call(Request,
                 [End](CallResult<ServiceReply> Reply) { End->record(Reply); });
    checkEnds(Server, *End, Faulty.Name);
    CHECK_TEXT(End->MayHaveRun, Faulty.Name);
  }
}

// Guards against: the same with the report of an engine.
TEST(EndlessAnswers, EndAQueryOfAnEngine) {
  for (const Sender &Faulty : Senders) {
    EndlessServer Server(Loop, Faulty.Bytes);
    HttpEngine Engine({.Target = Server.address()});
    const auto End = std::make_shared<Outcome>();
    Engine.state([End](CallResult<EngineState> State) { End->record(State); });
    checkEnds(Server, *End, Faulty.Name);
  }
}

// Guards against: a completion goes on for as long as its engine sends what is
// none.
TEST(EndlessAnswers, EndACompletion) {
  for (const Sender &Faulty : Streams) {
    EndlessServer Server(Loop, Faulty.Bytes);
    HttpEngine Engine({.Target = Server.address()});
    const auto Received = std::make_shared<Listener>();
    const auto Running = Engine.complete({}, Received);
    checkEnds(Server, Received->End, Faulty.Name);
    CHECK_TEXT(Received->End.MayHaveRun, Faulty.Name);
  }
}

// Guards against: many answers, each within its bound, take the memory
// together.
TEST(EndlessAnswers, EndSomeOfManyCalls) {
  constexpr unsigned Calls = 40;
  EndlessServer Server(Loop, {Ok + "\r\n", Text}, MaximumAnswerBytes / 2);
  HttpService Service(Server.address());
  std::vector<std::shared_ptr<Outcome>> Ends;
  for (unsigned I = 0; I < Calls; ++I) {
    ServiceRequest Request;
    Request.Method = "POST";
    Request.Path = "/slots/7";
    Request.Timeout = std::chrono::seconds(5);
    Ends.push_back(std::make_shared<Outcome>());
    Service.call(Request, [End = Ends.back()](CallResult<ServiceReply> Reply) {
      End->record(Reply);
    });
  }
  const auto HaveEnded = [&] {
    return std::count_if(Ends.begin(), Ends.end(),
                         [](const auto &End) { return End->Ended.load(); });
  };
  const auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  while (HaveEnded() < Calls / 2 && std::chrono::steady_clock::now() < Limit)
    Loop.run_for(std::chrono::milliseconds(2));
  CHECK(HaveEnded() >= Calls / 2);
  CHECK(HaveEnded() < Calls);
}
