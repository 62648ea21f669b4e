//===- TestServerFeedback.cpp - Servers that ask for a pause or leave -----===//
//
// Servers that say in their responses that they want no requests for a time, or
// that they are shutting down.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Requests may still arrive for this long after the response that asks for a
/// pause, and two later ones are allowed, by the platform's rule.
constexpr milliseconds AllowedDelay{500};
constexpr size_t AllowedRequests = 2;

/// When requests reached a server, and when it asked for a pause.
struct Arrivals {
  std::vector<Clock::time_point> Times;
  /// The next request is rejected.
  bool AsksNow = false;
  std::optional<Clock::time_point> AskedAt;

  /// Arrivals that the pause of \p Time forbids.
  size_t during(milliseconds Time) const {
    return static_cast<size_t>(
        std::count_if(Times.begin(), Times.end(), [&](Clock::time_point At) {
          return AskedAt && At > *AskedAt + AllowedDelay &&
                 At < *AskedAt + Time;
        }));
  }
};

/// Behaves as \p Usual, but rejects one request, if \p Log says so, and asks
/// for a pause of \p Seconds.
Listener::Behaviour askForPause(Arrivals &Log, const std::string &Seconds,
                                Listener::Behaviour Usual) {
  return
      [&Log, Seconds, Usual](const proxy::Request &Request, const Caller &To) {
        Log.Times.push_back(Clock::now());
        if (!std::exchange(Log.AsksNow, false))
          return Usual(Request, To);
        Log.AskedAt = Clock::now();
        proxy::ResponseHead Head;
        Head.Status = 503;
        Head.Headers.add("X-Attempt-Id", "a1");
        Head.Headers.add("X-Not-Executed", "1");
        Head.Headers.add("Retry-After", Seconds);
        To->respond(Head, "");
      };
}

/// Responds and says that the server is shutting down.
Listener::Behaviour respondLeaving(Arrivals &Log) {
  return [&Log](const proxy::Request &, const Caller &To) {
    Log.Times.push_back(Clock::now());
    proxy::ResponseHead Head;
    Head.Status = 200;
    Head.Headers.add("X-Attempt-Id", "a1");
    Head.Headers.add("X-Response-Signature", "s");
    Head.Headers.add("Server-Leaving", "1");
    To->respond(Head, "good");
  };
}

} // namespace

TEST_GROUP(ServerFeedback) {
  GatewayFixture Fixture;
  Arrivals Log;

  void startServing() {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
  void waitForServers(unsigned Count) {
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(),
                      "figlift_gateway_targets " + std::to_string(Count));
    }));
  }
  /// Behaves as \p Usual, but 40 ms later.
  Listener::Behaviour delayed(Listener::Behaviour Usual) {
    return [this, Usual](const proxy::Request &Request, const Caller &To) {
      auto Timer = std::make_shared<boost::asio::steady_timer>(
          Fixture.Loop, milliseconds(40));
      Timer->async_wait(
          [Timer, Request, To, Usual](const auto &) { Usual(Request, To); });
    };
  }
  /// Starts "s1" and a slower server, so that "s1" gets nearly all requests.
  void startTwoServers(Listener::Behaviour OfFirst) {
    Fixture.addServer("s1", "plain", std::move(OfFirst));
    startServing();
    Fixture.addServer("s2", "plain", delayed(respondWith("good")));
    waitForServers(2);
    sendRequests(milliseconds(300));
  }
  /// Sends requests until the server has asked for a pause.
  void waitForPause(const std::string &Path, const std::string &Fields = "") {
    Log.AsksNow = true;
    CHECK(Fixture.waitUntil([&] {
      Fixture.request("GET", Path, Fields);
      return Log.AskedAt.has_value();
    }));
  }
  /// Sends about 100 requests per second for \p Time and returns the number of
  /// successful responses.
  unsigned sendRequests(milliseconds Time, const std::string &Path = "/safe/x",
                        const std::string &Fields = "") {
    unsigned Successes = 0;
    const auto End = Clock::now() + Time;
    while (Clock::now() < End) {
      Successes +=
          contains(Fixture.request("GET", Path, Fields), "HTTP/1.1 200") ? 1
                                                                         : 0;
      Fixture.Loop.run_for(milliseconds(8));
    }
    return Successes;
  }
};

// Failure: a server that has asked for a pause gets requests before its end.
TEST(ServerFeedback, RequestsWaitUntilTheBackoffEnds) {
  startTwoServers(askForPause(Log, "1.5", respondWith("good")));
  waitForPause("/safe/x");
  const unsigned Successes = sendRequests(milliseconds(2000));
  CHECK(Log.during(milliseconds(1500)) <= AllowedRequests);
  // The server is used again afterwards.
  CHECK(Log.Times.back() > *Log.AskedAt + milliseconds(1500));
  CHECK(Successes > 20);
}

// Failure: an engine that has asked for a pause gets prompts before its end.
TEST(ServerFeedback, PromptsWaitUntilTheBackoffEnds) {
  const auto Stream = streamFor(Fixture.Loop, milliseconds(1));
  Fixture.addServer("d1", "model", askForPause(Log, "1.5", Stream), "decode");
  Fixture.addServer("d2", "model", delayed(Stream), "decode");
  startServing();
  waitForServers(2);
  sendRequests(milliseconds(300), "/stream/x", PromptHeaders);
  waitForPause("/stream/x", PromptHeaders);
  const unsigned Successes =
      sendRequests(milliseconds(1500), "/stream/x", PromptHeaders);
  CHECK(Log.during(milliseconds(1500)) <= AllowedRequests);
  CHECK(Successes > 10);
}

// Failure: the gateway releases KV cache at an engine that wants no requests.
TEST(ServerFeedback, OwnCallsWaitUntilTheBackoffEnds) {
  unsigned Releases = 0;
  // Takes 300 ms for the first prompt. Meanwhile it rejects the second one and
  // asks for a pause.
  const auto Engine = [&](const proxy::Request &Request, const Caller &To) {
    if (Request.Head.Target.starts_with("/v1/kv-handle/")) {
      ++Releases;
      return To->respond({200, "", 11, {}}, "");
    }
    if (Log.Times.empty()) {
      Log.Times.push_back(Clock::now());
      return completePrefillAfter(Fixture.Loop, milliseconds(300))(Request, To);
    }
    Log.AsksNow = !Log.AskedAt;
    return askForPause(Log, "5", completePrefill)(Request, To);
  };
  Fixture.addServer("p1", "model", Engine, "prefill");
  Fixture.addServer("d1", "model", rejectRequest, "decode");
  startServing();
  waitForServers(2);
  KeepAliveCaller First(Fixture);
  First.send("GET", "/stream/x", PromptHeaders);
  CHECK(Fixture.waitUntil([&] { return Log.Times.size() == 1; }));
  Fixture.request("GET", "/stream/x", PromptHeaders);
  CHECK(Log.AskedAt.has_value());
  // The decode engine rejects the first prompt, whose KV cache is then of no
  // use.
  CHECK(Fixture.waitUntil([&] { return contains(First.received(), "HTTP"); }));
  Fixture.Loop.run_for(milliseconds(200));
  LONGS_EQUAL(0, Releases);
}

// Failure: a pause is forgotten when the server's entry is missing for a
// moment.
TEST(ServerFeedback, BackoffOutlastsAMissingEntry) {
  startTwoServers(askForPause(Log, "2", respondWith("good")));
  waitForPause("/safe/x");
  Fixture.Store.remove("servers", "s1");
  waitForServers(1);
  Fixture.setServerState("s1", "ready");
  waitForServers(2);
  sendRequests(std::chrono::ceil<milliseconds>(
      *Log.AskedAt + milliseconds(2000) - Clock::now()));
  CHECK(Log.during(milliseconds(2000)) <= AllowedRequests);
}

// Failure: callers are told to come back while every server still wants no
// requests, or wait until their deadline for a server.
TEST(ServerFeedback, CallersLearnWhenAServerIsBack) {
  Fixture.addServer("s1", "plain", askForPause(Log, "2", respondWith("good")));
  startServing();
  waitForServers(1);
  waitForPause("/safe/x");
  const auto Before = Clock::now();
  const std::string Answer = Fixture.request("GET", "/safe/x");
  CHECK(contains(Answer, "HTTP/1.1 503"));
  CHECK(Clock::now() - Before < milliseconds(500));
  const size_t Position = Answer.find("Retry-After: ");
  CHECK(Position != std::string::npos);
  const double Seconds = std::stod(Answer.substr(Position + 13));
  const double Left = std::chrono::duration<double>(
                          *Log.AskedAt + std::chrono::seconds(2) - Before)
                          .count();
  CHECK(Seconds >= Left - 0.1);
  CHECK(Seconds < Left + 1);
}

// Failure: a server that says in its responses that it is shutting down gets
// requests until it is gone, as its entry does not say so.
TEST(ServerFeedback, LeavingServersGetNoMoreRequests) {
  startTwoServers(respondLeaving(Log));
  // The platform's bound for requests that are sent after the response.
  sendRequests(milliseconds(2000));
  const size_t Before = Log.Times.size();
  const unsigned Successes = sendRequests(milliseconds(500));
  LONGS_EQUAL(Before, Log.Times.size());
  CHECK(Successes > 5);
}

// Failure: the next heartbeat of a leaving server, which still says that it is
// ready, brings the server back.
TEST(ServerFeedback, LeavingOutlastsTheEntryThatSaysReady) {
  startTwoServers(respondLeaving(Log));
  sendRequests(milliseconds(2000));
  const size_t Before = Log.Times.size();
  Fixture.setServerState("s1", "ready");
  Fixture.Store.remove("servers", "s1");
  waitForServers(1);
  Fixture.setServerState("s1", "ready");
  waitForServers(2);
  sendRequests(milliseconds(300));
  LONGS_EQUAL(Before, Log.Times.size());
}
