//===- TestGateway.cpp - A gateway with stand-in servers ------------------===//
//
// The gateway's behaviour towards callers and servers, on real sockets.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

/// Aborts the connection without a response.
void abortConnection(const proxy::Request &, const Caller &To) { To->abort(); }

/// An engine that completes a stream with one event.
void streamOneEvent(const proxy::Request &Request, const Caller &To) {
  beginStream(Request, To);
  To->writeStream("id: 1\n\n");
  To->endStream();
}

} // namespace

TEST_GROUP(Gateway) {
  GatewayFixture Fixture;

  void startServing() {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
};

TEST(Gateway, ForwardsARequestAndItsCompleteResponse) {
  Listener &Server = Fixture.addServer("s1", "plain", respondWith("body"));
  startServing();
  const std::string Response =
      Fixture.request("GET", "/safe/x?y=1", "X-Other: kept\r\n");
  CHECK(contains(Response, "HTTP/1.1 200"));
  CHECK(contains(Response, "X-Response-Signature: s"));
  CHECK(contains(Response, "body"));
  const proxy::RequestHead &Forwarded = Server.Requests.at(0).Head;
  STRCMP_EQUAL("/safe/x?y=1", Forwarded.Target.c_str());
  CHECK(Forwarded.Headers.find("X-Other") == "kept");
  CHECK(Forwarded.Headers.find("X-Expect-Instance") == "s1");
}

// Failure: right after a start, callers get status 404 for existing routes.
// Cause: a missing configuration is treated like an empty one.
TEST(Gateway, RejectsBeforeItHasAConfiguration) {
  const std::string Response = Fixture.request("GET", "/safe/x");
  CHECK(contains(Response, "HTTP/1.1 503"));
  CHECK(contains(Response, "Retry-After"));
  CHECK(Fixture.waitUntilReady(false));
}

TEST(Gateway, RejectsUnknownRoutes) {
  startServing();
  CHECK(contains(Fixture.request("GET", "/elsewhere/x"), "HTTP/1.1 404"));
}

// Failure: an unsafe request is executed twice.
// Sequence: the server accepts the request and its connection is lost.
// Cause: a lost connection is treated like a rejection.
TEST(Gateway, SendsUnsafeRequestsOnceAndDoesNotReportThemUnexecuted) {
  Listener &One = Fixture.addServer("s1", "plain", abortConnection);
  Listener &Two = Fixture.addServer("s2", "plain", abortConnection);
  startServing();
  CHECK(contains(Fixture.request("POST", "/unsafe/x"), "HTTP/1.1 502"));
  LONGS_EQUAL(1, One.Requests.size() + Two.Requests.size());
}

TEST(Gateway, RetriesUnsafeRequestsThatWereNotExecuted) {
  const auto Reject = [](const proxy::Request &Request, const Caller &To) {
    rejectUnexecuted(Request, To);
  };
  Listener &One = Fixture.addServer("s1", "plain", Reject);
  Listener &Two = Fixture.addServer("s2", "plain", Reject);
  startServing();
  const std::string Response = Fixture.request("POST", "/unsafe/x");
  CHECK(contains(Response, "HTTP/1.1 503"));
  CHECK(contains(Response, "Retry-After"));
  LONGS_EQUAL(1, One.Requests.size());
  LONGS_EQUAL(1, Two.Requests.size());
}

TEST(Gateway, RetriesSafeRequestsAtAnotherServer) {
  int Calls = 0;
  const auto FailFirst = [&](const proxy::Request &Request, const Caller &To) {
    if (++Calls == 1)
      To->abort();
    else
      respondSigned(Request, To, 200, "good");
  };
  Fixture.addServer("s1", "plain", FailFirst);
  Fixture.addServer("s2", "plain", FailFirst);
  startServing();
  CHECK(contains(Fixture.request("GET", "/safe/x"), "good"));
  LONGS_EQUAL(2, Calls);
}

// Failure: a caller gets the response of another request.
// Sequence: a late response of an earlier request arrives where the next one is
// expected.
// Cause: the echoed attempt id is not compared.
TEST(Gateway, DeliversNoResponseOfAnotherRequest) {
  Fixture.addServer("s1", "plain",
                    [](const proxy::Request &, const Caller &To) {
                      proxy::ResponseHead Head;
                      Head.Status = 200;
                      Head.Headers.add("X-Attempt-Id", "other");
                      Head.Headers.add("X-Response-Signature", "s");
                      To->respond(Head, "other's");
                    });
  startServing();
  // The server may still run the request and answer it.
  const std::string Response = Fixture.request("POST", "/unsafe/x");
  CHECK(contains(Response, "HTTP/1.1 504"));
  CHECK(!contains(Response, "other's"));
}

TEST(Gateway, DeliversNoSuccessWithoutASignature) {
  Fixture.addServer("s1", "plain",
                    [](const proxy::Request &, const Caller &To) {
                      proxy::ResponseHead Head;
                      Head.Status = 200;
                      Head.Headers.add("X-Attempt-Id", "a1");
                      To->respond(Head, "unsigned");
                    });
  startServing();
  CHECK(contains(Fixture.request("POST", "/unsafe/x"), "HTTP/1.1 502"));
}

TEST(Gateway, ForwardsErrorsOfServers) {
  Fixture.addServer("s1", "plain",
                    [](const proxy::Request &Request, const Caller &To) {
                      respondSigned(Request, To, 500, "sorry");
                    });
  startServing();
  const std::string Response = Fixture.request("POST", "/unsafe/x");
  CHECK(contains(Response, "HTTP/1.1 500"));
  CHECK(contains(Response, "sorry"));
}

// Failure: a stream has a gap or a duplicate after the loss of a server.
// Sequence: the first server fails in the middle of its second event.
TEST(Gateway, ContinuesAStreamAfterItsLastCompleteEvent) {
  std::vector<std::string> LastEventIds;
  const auto Behaviour = [&](const proxy::Request &Request, const Caller &To) {
    LastEventIds.emplace_back(
        Request.Head.Headers.find("Last-Event-Id").value_or("none"));
    beginStream(Request, To);
    if (LastEventIds.size() == 1) {
      To->writeStream("id: 1\ndata: a\n\nid: 2\nda");
      // The bytes must be sent before the connection is aborted.
      auto Timer = std::make_shared<boost::asio::steady_timer>(Fixture.Loop);
      Timer->expires_after(std::chrono::milliseconds(20));
      Timer->async_wait([Timer, To](const auto &) { To->abort(); });
      return;
    }
    To->writeStream("id: 2\ndata: b\n\n");
    To->endStream();
  };
  Fixture.addServer("e1", "model", Behaviour, "decode");
  Fixture.addServer("e2", "model", Behaviour, "decode");
  startServing();
  const std::string Response = Fixture.request("POST", "/stream/x");
  CHECK(contains(Response, "id: 1\ndata: a\n\n"));
  CHECK(contains(Response, "id: 2\ndata: b\n\n"));
  CHECK(!contains(Response, "id: 2\nda\r"));
  LONGS_EQUAL(2, LastEventIds.size());
  STRCMP_EQUAL("1", LastEventIds[1].c_str());
}

TEST(Gateway, AbortsAStreamThatIsNotResumable) {
  Listener &One = Fixture.addServer(
      "e1", "model",
      [&](const proxy::Request &Request, const Caller &To) {
        beginStream(Request, To);
        To->writeStream("id: 1\n\n");
        auto Timer = std::make_shared<boost::asio::steady_timer>(Fixture.Loop);
        Timer->expires_after(std::chrono::milliseconds(20));
        Timer->async_wait([Timer, To](const auto &) { To->abort(); });
      },
      "decode");
  startServing();
  const std::string Response = Fixture.request("POST", "/once/x");
  CHECK(contains(Response, "id: 1\n\n"));
  CHECK(!contains(Response, "0\r\n\r\n"));
  LONGS_EQUAL(1, One.Requests.size());
}

TEST(Gateway, PrefillsAtOneEngineAndDecodesAtAnother) {
  Listener &PrefillEngine =
      Fixture.addServer("e1", "model", completePrefill, "prefill");
  Listener &DecodeEngine =
      Fixture.addServer("e2", "model", streamOneEvent, "decode");
  startServing();
  CHECK(contains(Fixture.request("POST", "/stream/x", PromptHeaders), "id: 1"));
  CHECK(PrefillEngine.Requests.at(0).Head.Headers.find("X-Stage") == "prefill");
  const auto Source =
      DecodeEngine.Requests.at(0).Head.Headers.find("X-Kv-Source");
  CHECK(Source == PrefillEngine.address().toString() + "/k1");
}

// Failure: engines treat urgent and less urgent requests alike, or a prefill
// and its execution differently.
TEST(Gateway, SendsThePriorityOfTheRouteToAllEngines) {
  Listener &PrefillEngine =
      Fixture.addServer("e1", "model", completePrefill, "prefill");
  Listener &DecodeEngine =
      Fixture.addServer("e2", "model", streamOneEvent, "decode");
  Fixture.PromptPriorities = {{"stream", 1}, {"once", 7}};
  startServing();
  CHECK(contains(Fixture.request("POST", "/stream/x", PromptHeaders), "id: 1"));
  CHECK(contains(Fixture.request("POST", "/once/x", PromptHeaders), "id: 1"));
  const auto Priority = [](const Listener &Engine, size_t Index) {
    return Engine.Requests.at(Index).Head.Headers.find("X-Request-Priority");
  };
  CHECK(Priority(PrefillEngine, 0) == "1");
  CHECK(Priority(DecodeEngine, 0) == "1");
  // The prompt is cached by now and may be prefilled at either engine.
  CHECK(Priority(DecodeEngine, 1) == "7");
}

// Failure: engines of a service without priorities get a priority that some of
// its gateways do not send.
TEST(Gateway, SendsNoPriorityWhereAllAreEqual) {
  Listener &Engine = Fixture.addServer("e1", "model", streamOneEvent, "decode");
  Fixture.PromptPriorities = {{"stream", 7}, {"once", 7}};
  startServing();
  CHECK(contains(Fixture.request("POST", "/stream/x", PromptHeaders), "id: 1"));
  CHECK(!Engine.Requests.at(0).Head.Headers.has("X-Request-Priority"));
}

// Failure: the decode engine rejects a request because it cannot fetch the KV
// cache.
// Sequence: the prefill engine restarts with the same id, and a prefill
// response from before the restart arrives late.
// Cause: the response is attributed to the restarted engine.
TEST(Gateway, UsesNoKvCacheFromBeforeARestart) {
  Caller PendingCaller;
  Listener &PrefillEngine = Fixture.addServer(
      "e1", "model",
      [&](const proxy::Request &, const Caller &To) { PendingCaller = To; },
      "prefill");
  Listener &DecodeEngine =
      Fixture.addServer("e2", "model", streamOneEvent, "decode");
  startServing();
  boost::asio::ip::tcp::socket Socket(Fixture.Loop);
  const Endpoint Address = Fixture.Settings.Listen.Callers;
  Socket.connect(
      {boost::asio::ip::make_address_v4(Address.Address), Address.Port});
  Socket.write_some(boost::asio::buffer(
      "POST /stream/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" +
      PromptHeaders + "\r\n"));
  CHECK(Fixture.waitUntil([&] { return PrefillEngine.Requests.size() == 1; }));
  Fixture.restart("e1");
  CHECK(
      Fixture.waitUntil([&] { return PrefillEngine.CacheListRequests == 2; }));
  completePrefill(PrefillEngine.Requests.at(0), PendingCaller);
  CHECK(Fixture.waitUntil([&] { return DecodeEngine.Requests.size() == 1; }));
  CHECK(!DecodeEngine.Requests.at(0).Head.Headers.find("X-Kv-Source"));
}

// Failure: after a restart of all gateways, callers are rejected for seconds
// while the engines are idle.
// Sequence: all gateways restart while the engines hold most prompts in their
// KV caches.
// Cause: a gateway knows the cached prompts only from its own requests and from
// its peers, and no peer has kept that state.
TEST(Gateway, QueriesTheKvCachesOfEnginesWhenItStarts) {
  Listener &PrefillEngine =
      Fixture.addServer("e1", "model", completePrefill, "prefill");
  Listener &DecodeEngine =
      Fixture.addServer("e2", "model", streamOneEvent, "decode");
  DecodeEngine.CacheList =
      R"({"epoch":"a","next":4,"held":[["","a1",20000,"m"]]})";
  PrefillEngine.CacheList = "no list";
  startServing();
  CHECK(Fixture.waitUntil([&] {
    return PrefillEngine.CacheListRequests == 1 &&
           DecodeEngine.CacheListRequests == 1;
  }));
  CHECK(contains(Fixture.request("POST", "/stream/x",
                                 "X-Token-Count: 40000,8\r\n"
                                 "X-Prompt-Prefix: a1:20000,b2:20000\r\n"),
                 "id: 1"));
  CHECK(PrefillEngine.Requests.at(0).Head.Headers.find("Kv-Fetch") ==
        DecodeEngine.address().toString());
}

// Failure: an engine continues to work for a caller that has disconnected.
TEST(Gateway, CancelsRequestsOfDisconnectedCallers) {
  Listener &Server = Fixture.addServer(
      "s1", "plain", [](const proxy::Request &, const Caller &) {});
  startServing();
  {
    boost::asio::ip::tcp::socket Caller(Fixture.Loop);
    const Endpoint Address = Fixture.Settings.Listen.Callers;
    Caller.connect(
        {boost::asio::ip::make_address_v4(Address.Address), Address.Port});
    const std::string Bytes = "GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n";
    Caller.write_some(boost::asio::buffer(Bytes));
    CHECK(Fixture.waitUntil([&] { return Server.Requests.size() == 1; }));
  }
  CHECK(Fixture.waitUntil([&] { return Server.DisconnectedCallers == 1; }));
}

// Failure: a draining server gets requests until it is removed.
TEST(Gateway, SendsNothingToADrainingServer) {
  Listener &One = Fixture.addServer("s1", "plain", respondWith("one"));
  Fixture.addServer("s2", "plain", respondWith("two"));
  startServing();
  Fixture.setServerState("s1", "draining");
  CHECK(Fixture.waitUntil([&] {
    const size_t Before = One.Requests.size();
    for (int Count = 0; Count < 4; ++Count)
      Fixture.request("GET", "/safe/x");
    return One.Requests.size() == Before;
  }));
  const size_t Before = One.Requests.size();
  for (int Count = 0; Count < 10; ++Count)
    CHECK(contains(Fixture.request("GET", "/safe/x"), "two"));
  LONGS_EQUAL(Before, One.Requests.size());
}

// Failure: a quarter of all prompts wait for an engine that never responds.
// Sequence: another writer puts entries into the table of servers: a complete
// entry with an unknown state, an entry without a state, an entry that is not
// text, and an entry that overwrites that of a server.
// Cause: incomplete entries are accepted instead of rejected.
TEST(Gateway, SendsNothingToEntriesOfOtherWriters) {
  Fixture.addServer("s1", "plain", respondWith("one"));
  Listener &Unlisted = Fixture.addServer("s2", "plain", respondWith("two"));
  Fixture.setServerState("s2", "retired");
  Fixture.Store.put("servers", "s3",
                    R"({"service":"plain","address":)" +
                        std::string(R"("127.0.0.1:1"})"));
  Fixture.Store.put("servers", "s4", "\xff\xfe{");
  startServing();
  for (int Count = 0; Count < 20; ++Count)
    CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
  LONGS_EQUAL(0, Unlisted.Requests.size());
  CHECK(contains(Fixture.metrics(), "server_entries_refused_total 3"));
}

// Failure: requests to a restarted server fail or wait, as if it still had the
// work from before the restart.
// Sequence: the server crashes while it executes two requests and restarts with
// the same id before its entry has expired.
// Cause: connections and load are keyed by the server's id alone.
TEST(Gateway, ResetsTheStateOfARestartedServer) {
  Fixture.addServer("s1", "plain", respondWith("one"));
  startServing();
  CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
  Fixture.restart("s1");
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "connections_opened_total 0");
  }));
  CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
}

TEST(Gateway, ServesItsMetrics) {
  startServing();
  CHECK(contains(Fixture.metrics(), "figlift_gateway_configuration_version 1"));
}

/// A gateway without a retry budget.
TEST_GROUP(GatewayWithoutRetries) { GatewayFixture Fixture{8, 0}; };

// Failure: during a burst of requests, engines prefill prompts twice.
// Sequence: the prefill has completed, and the decode engine is full.
// Cause: the whole request is planned again, though the result of the prefill
// is still available.
TEST(Gateway, ReusesThePrefillWhenADecodeIsRejected) {
  Listener &PrefillEngine =
      Fixture.addServer("e1", "model", completePrefill, "prefill");
  unsigned Rejections = 0;
  const auto FullAtFirst = [&](const proxy::Request &Request,
                               const Caller &To) {
    if (Rejections++ == 0)
      rejectUnexecuted(Request, To);
    else
      streamOneEvent(Request, To);
  };
  Listener &One = Fixture.addServer("e2", "model", FullAtFirst, "decode");
  Listener &Other = Fixture.addServer("e3", "model", FullAtFirst, "decode");
  startServing();
  CHECK(contains(Fixture.request("POST", "/stream/x", PromptHeaders), "id: 1"));
  LONGS_EQUAL(1, PrefillEngine.Requests.size());
  LONGS_EQUAL(1, One.Requests.size());
  LONGS_EQUAL(1, Other.Requests.size());
  for (const Listener *Engine : {&One, &Other})
    CHECK(Engine->Requests.at(0).Head.Headers.find("X-Kv-Source").has_value());
}

// Failure: engines get more retries than the fleet's retry budget allows.
// Sequence: the prefill has completed and the connection to the decode engine
// fails. The request is planned again, and its prompt is prefilled once more.
// Cause: a request that reached no server is retried without the budget, though
// the retry begins with a prefill that does reach an engine.
TEST(GatewayWithoutRetries, ReusesThePrefillWhenADecodeIsNotSent) {
  // As long as such prompts take. From a prefill without any delay the gateway
  // would learn that all prompts are small.
  Fixture.addServer(
      "e1", "model",
      completePrefillAfter(Fixture.Loop, std::chrono::milliseconds(60)),
      "prefill");
  Fixture.listUnreachableEngine("e2", "decode");
  Listener &DecodeEngine =
      Fixture.addServer("e3", "model", streamOneEvent, "decode");
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 3");
  }));
  // The decode engines are chosen alternately, so that the unreachable one is
  // chosen, too.
  for (int Number = 0; Number < 4; ++Number) {
    // Too large for a prefill at the decode engine.
    const std::string Fields =
        "X-Token-Count: 40000,8\r\nX-Prompt-Prefix: " + std::to_string(Number) +
        "a1:20000,b2:20000\r\n";
    CHECK(contains(Fixture.request("POST", "/stream/x", Fields), "id: 1"));
  }
  LONGS_EQUAL(4, DecodeEngine.Requests.size());
  for (const proxy::Request &Request : DecodeEngine.Requests)
    CHECK(Request.Head.Headers.find("X-Kv-Source").has_value());
}
