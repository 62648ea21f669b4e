//===- TestHttpEngine.cpp - Answers that arrive in pieces or break off ----===//
//
// Over real sockets: whether an engine may have run the work decides whether
// a caller is told "not run".
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpEngine.h"

#include "OneShotServer.h"

#include <future>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace figlift;
using namespace figlift::target;
using figlift::test::OneShotServer;

namespace {

// CppUTest's leak detector is not safe for threads, and cpprestsdk's pool
// allocates on its own; so it is off for this suite.
const bool LeakDetectorOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

const std::string Answered =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\n"
    "ok";

struct Collector final : CompletionListener {
  std::string Text;
  std::promise<CallResult<CompletionEnd>> Promise;

  void onToken(Token Produced) override { Text += Produced.Text; }
  void onEnd(CallResult<CompletionEnd> End) override {
    Promise.set_value(std::move(End));
  }
};

/// An event stream in chunks of \p Size bytes, with its end if \p Whole.
std::string streamOf(const std::string &Body, size_t Size, bool Whole) {
  std::string Out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n";
  for (size_t At = 0; At < Body.size(); At += Size) {
    const std::string Part = Body.substr(At, Size);
    char Length[16];
    snprintf(Length, sizeof(Length), "%zx\r\n", Part.size());
    Out += Length + Part + "\r\n";
  }
  return Whole ? Out + "0\r\n\r\n" : Out;
}

const std::string Tokens =
    "data: {\"index\":0,\"text\":\"a\"}\n\ndata: {\"index\":1,\"text\":\"b\"}"
    "\n\n";
const std::string End =
    "data: {\"finish_reason\":\"stop\",\"total_tokens\":2}\n\ndata: "
    "[DONE]\n\n";

CallResult<CompletionEnd> complete(const Endpoint &Target, std::string &Text) {
  HttpEngine Engine({Target, std::chrono::seconds(5), std::chrono::seconds(5)});
  const auto Listener = std::make_shared<Collector>();
  const auto Running = Engine.complete({}, Listener);
  auto How = Listener->Promise.get_future().get();
  Text = Listener->Text;
  return How;
}

} // namespace

TEST_GROUP(HttpEngine){};

TEST(HttpEngine, RedirectIsNotFollowed) {
  // Symptom: a call runs at a place that nobody chose. Events: the service
  // answers with a redirect. Cause: a client that follows it by itself.
  OneShotServer Elsewhere({Answered});
  OneShotServer Server({"HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" +
                        Elsewhere.endpoint().toString() +
                        "/v1/completions\r\nContent-Length: 0\r\n\r\n"});
  std::string Text;
  CHECK_FALSE(complete(Server.endpoint(), Text).has_value());
  LONGS_EQUAL(0, Elsewhere.requests());
}

TEST(HttpEngine, StreamArrivesWholeInAnyChunks) {
  const std::string Body = Tokens + End;
  for (const size_t Size : {size_t(1), size_t(7), Body.size()}) {
    OneShotServer Server({streamOf(Body, Size, true)});
    std::string Text;
    const auto How = complete(Server.endpoint(), Text);
    CHECK(How.has_value());
    LONGS_EQUAL(2, How.value().TotalTokens);
    STRCMP_EQUAL("ab", Text.c_str());
  }
}

TEST(HttpEngine, CutStreamIsNeverTakenForAWholeAnswer) {
  // Symptom: a caller gets half an answer as if it were whole. Events: the
  // engine dies between two tokens, or ends its stream without the last event.
  // Cause: an end of the body that counts as the end of the answer.
  for (const bool EndsInOrder : {false, true}) {
    OneShotServer Server({streamOf(Tokens, 16, EndsInOrder)});
    std::string Text;
    const auto How = complete(Server.endpoint(), Text);
    CHECK_FALSE(How.has_value());
    CHECK(How.error().Executed == Execution::MayHaveRun);
    STRCMP_EQUAL("ab", Text.c_str());
  }
}

TEST(HttpEngine, EngineThatChangesItsRoleRefusesWithoutRunning) {
  OneShotServer Server(
      {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"});
  std::string Text;
  const auto How = complete(Server.endpoint(), Text);
  CHECK_FALSE(How.has_value());
  CHECK(How.error().Executed == Execution::NotRun);
}
