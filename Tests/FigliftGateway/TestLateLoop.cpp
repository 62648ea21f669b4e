//===- TestLateLoop.cpp - A gateway whose event loop is late --------------===//
//
// After a pause of the process, time-outs are due together with the input that
// would have kept them from passing.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <ctime>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

std::atomic<bool> IsPaused = false;

void waitInHandler(int /*Signal*/) {
  constexpr timespec Pause{0, 1000000};
  while (IsPaused)
    nanosleep(&Pause, nullptr);
}

/// Stops one thread for the life of the object.
class PausedThread {
public:
  explicit PausedThread(std::thread::native_handle_type Thread) {
    struct sigaction Action {};
    Action.sa_handler = waitInHandler;
    Action.sa_flags = SA_RESTART;
    sigaction(SIGUSR1, &Action, nullptr);
    IsPaused = true;
    pthread_kill(Thread, SIGUSR1);
  }
  PausedThread(const PausedThread &) = delete;
  PausedThread &operator=(const PausedThread &) = delete;
  ~PausedThread() { IsPaused = false; }
};

} // namespace

TEST_GROUP(LateLoop) {
  /// More than the event loop takes notice of at once.
  static constexpr size_t Others = 200;
  /// Longer than the gateway waits for a server that it knows nothing of, and
  /// shorter than a pause after which it starts anew.
  static constexpr milliseconds Pause{700};

  GatewayFixture Fixture;
  /// Answers the first request.
  std::function<void()> Answer;
  size_t Runs = 0;
  std::vector<std::unique_ptr<KeepAliveCaller>> Connections;

  void setup() override {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    const auto HoldFirst = [this](const proxy::Request &Request,
                                  const Caller &To) {
      if (Runs++ > 0)
        return respondSigned(Request, To, 200, "second");
      Answer = [Request, To] { respondSigned(Request, To, 200, "first"); };
    };
    Fixture.addServer("s1", "plain", HoldFirst);
    Fixture.addServer("s2", "plain", HoldFirst);
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 2");
    }));
    for (size_t I = 0; I < Others; ++I)
      Connections.push_back(std::make_unique<KeepAliveCaller>(Fixture));
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(),
                      "figlift_gateway_callers " + std::to_string(Others));
    }));
  }
  void teardown() override {
    Answer = {};
    Connections.clear();
  }
};

// Failure: after a pause of the gateway, a server is given up whose answer has
// arrived, and another one runs the request again.
TEST(LateLoop, AnswerThatHasArrivedIsReadBeforeTheServerIsGivenUp) {
  KeepAliveCaller Asking(Fixture);
  Asking.send("GET", "/safe/x");
  CHECK(Fixture.waitUntil([&] { return Answer != nullptr; }));
  {
    const PausedThread Gateway(Fixture.threadHandle());
    Fixture.Loop.run_for(Pause);
    // One turn of the event loop takes the timer and most of these, and ends
    // before the answer.
    for (const auto &Other : Connections)
      Other->sendBytes("G");
    Answer();
    Fixture.Loop.run_for(milliseconds(50));
  }
  CHECK(
      Fixture.waitUntil([&] { return contains(Asking.received(), "first"); }));
  LONGS_EQUAL(1, Runs);
}
