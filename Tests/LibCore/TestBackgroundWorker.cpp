//===- TestBackgroundWorker.cpp - Long computations beside a loop ---------===//
//
// The computation waits for what only the loop can give: run on the loop it
// would never end.
//
//===----------------------------------------------------------------------===//

#include "LibCore/BackgroundWorker.h"

#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;

TEST_GROUP(BackgroundWorker) {
  boost::asio::io_context Loop;
  BackgroundWorker Worker{Loop};

  template <typename Condition> bool until(Condition Done) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && std::chrono::steady_clock::now() < End)
      Loop.run_for(std::chrono::milliseconds(1));
    return Done();
  }
};

// Failure: requests on the loop wait until a long computation has ended.
TEST(BackgroundWorker, LeavesTheLoopFree) {
  std::promise<int> OfLoop;
  int Found = 0;
  Worker.run([Given = OfLoop.get_future().share()] { return Given.get(); },
             [&](int Result) { Found = Result; });
  boost::asio::post(Loop, [&] { OfLoop.set_value(7); });
  CHECK(until([&] { return Found == 7; }));
}

// Failure: of two signals that follow each other the worker's thread takes one,
// and the loop sees the later one first.
TEST(BackgroundWorker, LeavesSignalsToOthers) {
  std::optional<std::vector<bool>> Blocked;
  Worker.run(
      [] {
        sigset_t Own;
        pthread_sigmask(SIG_BLOCK, nullptr, &Own);
        return std::vector<bool>{sigismember(&Own, SIGHUP) == 1,
                                 sigismember(&Own, SIGTERM) == 1};
      },
      [&](std::vector<bool> Found) { Blocked = std::move(Found); });
  CHECK(until([&] { return Blocked.has_value(); }));
  CHECK(Blocked == std::vector<bool>({true, true}));
}

// Failure: the thread that makes the worker takes no signals either.
TEST(BackgroundWorker, LeavesTheSignalsOfItsMakerAsTheyWere) {
  sigset_t Own;
  pthread_sigmask(SIG_BLOCK, nullptr, &Own);
  LONGS_EQUAL(0, sigismember(&Own, SIGTERM));
}

TEST(BackgroundWorker, GivesResultsOnTheLoopInOrder) {
  std::vector<int> Found;
  bool OnLoop = true;
  const auto Here = std::this_thread::get_id();
  for (int Each = 0; Each < 20; ++Each)
    Worker.run([Each] { return Each; },
               [&](int Result) {
                 OnLoop = OnLoop && std::this_thread::get_id() == Here;
                 Found.push_back(Result);
               });
  CHECK(until([&] { return Found.size() == 20; }));
  CHECK(OnLoop);
  for (int Each = 0; Each < 20; ++Each)
    LONGS_EQUAL(Each, Found[static_cast<size_t>(Each)]);
}
