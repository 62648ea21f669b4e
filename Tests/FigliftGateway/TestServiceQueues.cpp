//===- TestServiceQueues.cpp - Requests in front of a full server ---------===//
//
// A gateway in front of a server that rejects requests while all of its slots
// are occupied.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace figlift;
using namespace figlift::testing;

namespace {

/// The stand-ins list servers with this number of slots.
constexpr size_t Slots = 4;

/// A server without a queue of its own, which answers when the test says so.
class FullServer {
public:
  Listener::Behaviour behaviour() {
    return [this](const proxy::Request &Request, const Caller &To) {
      if (m_Running.size() >= Slots) {
        ++Rejections;
        return rejectUnexecuted(Request, To);
      }
      m_Running.emplace_back(Request, To);
    };
  }
  void answerOne() {
    const auto [Request, To] = m_Running.front();
    m_Running.pop_front();
    respondSigned(Request, To, 200, "good");
  }
  size_t running() const { return m_Running.size(); }
  unsigned Rejections = 0;

private:
  std::deque<std::pair<proxy::Request, Caller>> m_Running;
};

} // namespace

TEST_GROUP(ServiceQueuesWithoutBudget) {
  /// Grace time and base of the retry budget.
  GatewayFixture Fixture{8, 0};
};

// Failure: a request that a full server rejected waits although the retry
// budget is used up, and is sent again.
TEST(ServiceQueuesWithoutBudget, RefuseARejectedRequestAtOnce) {
  FullServer Server;
  std::deque<KeepAliveCaller> Callers;
  Fixture.addServer("s1", "plain", Server.behaviour());
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  for (size_t Count = 0; Count <= Slots; ++Count) {
    Callers.emplace_back(Fixture).send("POST", "/unsafe/x");
    CHECK(Fixture.waitUntil(
        [&] { return Server.running() + Server.Rejections == Count + 1; }));
  }
  CHECK(Fixture.waitUntil(
      [&] { return contains(Callers.back().received(), "HTTP/1.1 503"); }));
  CHECK(contains(Callers.back().received(), "Retry-After"));
  LONGS_EQUAL(1, Server.Rejections);
  CHECK(
      contains(Fixture.metrics(), "figlift_gateway_queued_requests_total 0\n"));
}

TEST_GROUP(ServiceQueues) {
  GatewayFixture Fixture;
  FullServer Server;
  std::deque<KeepAliveCaller> Callers;

  void setup() override {
    Fixture.addServer("s1", "plain", Server.behaviour());
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
  KeepAliveCaller &send(const std::string &Path = "/unsafe/x") {
    Callers.emplace_back(Fixture);
    Callers.back().send("POST", Path);
    return Callers.back();
  }
  bool isWaiting(unsigned Count) {
    return contains(Fixture.metrics(), "figlift_gateway_queue_requests " +
                                           std::to_string(Count) + "\n");
  }
  /// Occupies all slots, and has one request wait that the server rejected.
  KeepAliveCaller &fillServer() {
    for (size_t Count = 0; Count < Slots; ++Count)
      send();
    CHECK(Fixture.waitUntil([&] { return Server.running() == Slots; }));
    KeepAliveCaller &Rejected = send();
    CHECK(Fixture.waitUntil([&] { return isWaiting(1); }));
    LONGS_EQUAL(1, Server.Rejections);
    return Rejected;
  }
  bool answers(KeepAliveCaller & Caller, const std::string &Text) {
    return Fixture.waitUntil([&] { return contains(Caller.received(), Text); });
  }
};

// Failure: a request is refused because the only server was full, although a
// slot becomes free a moment later.
TEST(ServiceQueues, ServeARequestThatAFullServerRejected) {
  KeepAliveCaller &Rejected = fillServer();
  KeepAliveCaller &Later = send();
  CHECK(Fixture.waitUntil([&] { return isWaiting(2); }));
  // The later one was not sent to the full server.
  LONGS_EQUAL(1, Server.Rejections);
  CHECK(Rejected.received().empty());
  for (size_t Count = 0; Count < Slots + 2; ++Count) {
    CHECK(Fixture.waitUntil([&] { return Server.running() > 0; }));
    Server.answerOne();
  }
  CHECK(answers(Rejected, "good"));
  CHECK(answers(Later, "good"));
  CHECK(Fixture.waitUntil([&] { return isWaiting(0); }));
  LONGS_EQUAL(1, Server.Rejections);
  CHECK(contains(Fixture.metrics(),
                 "figlift_gateway_dequeued_requests_total{outcome=\"sent\"} "
                 "2\n"));
}

// Failure: a request that waits when SIGTERM arrives is lost with the process,
// or keeps its caller from another gateway until the final answers.
TEST(ServiceQueues, RefuseOnSigterm) {
  KeepAliveCaller &Waiting = fillServer();
  Fixture.sendTermination();
  CHECK(Fixture.waitUntil(
      [&] { return isStoppingRejection(Waiting.received()); }));
  LONGS_EQUAL(Slots, Server.running());
  // The requests that run are answered.
  for (size_t Count = 0; Count < Slots; ++Count)
    Server.answerOne();
  CHECK(answers(Callers.front(), "good"));
}

// Failure: a request is sent for a caller that disconnected while it waited.
TEST(ServiceQueues, DropRequestsWhoseCallersLeave) {
  fillServer();
  Callers.pop_back();
  CHECK(Fixture.waitUntil([&] { return isWaiting(0); }));
  CHECK(contains(Fixture.metrics(),
                 "figlift_gateway_dequeued_requests_total{outcome=\"left\"} "
                 "1\n"));
  for (size_t Count = 0; Count < Slots; ++Count)
    Server.answerOne();
  CHECK(answers(Callers.front(), "good"));
  LONGS_EQUAL(0, Server.running());
}

// Failure: requests of a service that the configuration no longer has wait for
// their deadlines.
TEST(ServiceQueues, RefuseWhenTheServiceIsRemoved) {
  KeepAliveCaller &Waiting = fillServer();
  Fixture.configure(2, "plain");
  CHECK(answers(Waiting, "HTTP/1.1 503"));
  CHECK(contains(Waiting.received(), "Retry-After"));
  CHECK(isWaiting(0));
}

// Failure: requests that full servers rejected are sent again without limit, so
// that a full service gets more requests than it has callers.
TEST(ServiceQueues, ChargeTheRetryBudgetForARepeatedArrival) {
  const auto BudgetLeft = [&] {
    const std::string Text = Fixture.metrics();
    const std::string Name =
        "\nfiglift_gateway_repeat_budget_left{service=\"plain\"} ";
    const size_t At = Text.find(Name);
    CHECK(At != std::string::npos);
    return std::stod(Text.substr(At + Name.size()));
  };
  KeepAliveCaller &Rejected = fillServer();
  const double Before = BudgetLeft();
  Server.answerOne();
  CHECK(Fixture.waitUntil([&] { return isWaiting(0); }));
  CHECK(Fixture.waitUntil([&] { return Server.running() == Slots; }));
  DOUBLES_EQUAL(Before - 1, BudgetLeft(), 0.01);
  while (Server.running() > 0)
    Server.answerOne();
  CHECK(answers(Rejected, "good"));
}

// Failure: requests wait until their deadlines for a server that crashed.
TEST(ServiceQueues, RefuseWhenTheLastServerCrashes) {
  KeepAliveCaller &Waiting = fillServer();
  Fixture.crash("s1");
  CHECK(answers(Waiting, "HTTP/1.1 503"));
  CHECK(isWaiting(0));
}
