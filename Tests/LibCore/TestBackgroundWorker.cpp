//===- TestBackgroundWorker.cpp - Computations off an I/O loop ------------===//
//
// A computation on the worker must not block the loop, and results must arrive
// on the loop in order.
//
//===----------------------------------------------------------------------===//

#include "LibCore/BackgroundWorker.h"
#include "LibCore/Result.h"

#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;

TEST_GROUP(BackgroundWorker) {
  boost::asio::io_context Loop;
  BackgroundWorker Worker{Loop};

  template <typename Condition> bool runUntil(Condition Reached) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Reached() && std::chrono::steady_clock::now() < End)
      Loop.run_for(std::chrono::milliseconds(1));
    return Reached();
  }
};

// Guards against requests that wait on the loop for a long computation. The
// computation waits for a value set by the loop, so it would deadlock there.
TEST(BackgroundWorker, DoesNotBlockTheLoop) {
  std::promise<int> LoopValue;
  int Output = 0;
  Worker.run([Input = LoopValue.get_future().share()] { return Input.get(); },
             [&](int Result) { Output = Result; });
  boost::asio::post(Loop, [&] { LoopValue.set_value(7); });
  CHECK(runUntil([&] { return Output == 7; }));
}

// Guards against a worker thread that receives one of two successive signals,
// so that the loop handles the later one first.
TEST(BackgroundWorker, BlocksSignalsOnItsThread) {
  std::optional<std::vector<bool>> Blocked;
  Worker.run(
      [] {
        sigset_t Mask;
        pthread_sigmask(SIG_BLOCK, nullptr, &Mask);
        return std::vector<bool>{sigismember(&Mask, SIGHUP) == 1,
                                 sigismember(&Mask, SIGTERM) == 1};
      },
      [&](std::vector<bool> Output) { Blocked = std::move(Output); });
  CHECK(runUntil([&] { return Blocked.has_value(); }));
  CHECK(Blocked == std::vector<bool>({true, true}));
}

// Guards against blocking signals in the thread that creates the worker.
TEST(BackgroundWorker, KeepsTheSignalMaskOfTheCreatingThread) {
  sigset_t Mask;
  pthread_sigmask(SIG_BLOCK, nullptr, &Mask);
  LONGS_EQUAL(0, sigismember(&Mask, SIGTERM));
}

TEST(BackgroundWorker, DeliversResultsOnTheLoopInOrder) {
  std::vector<int> Output;
  bool OnLoop = true;
  const auto LoopThread = std::this_thread::get_id();
  for (int I = 0; I < 20; ++I)
    Worker.run([I] { return I; },
               [&](int Result) {
                 OnLoop = OnLoop && std::this_thread::get_id() == LoopThread;
                 Output.push_back(Result);
               });
  CHECK(runUntil([&] { return Output.size() == 20; }));
  CHECK(OnLoop);
  for (int I = 0; I < 20; ++I)
    LONGS_EQUAL(I, Output[static_cast<size_t>(I)]);
}

// Failure: a computation throws on the worker thread, and the process ends with
// all that it has accepted.
TEST(BackgroundWorker, DeliversWhatAComputationThrowsAsAFailure) {
  std::optional<Result<int>> Output;
  Worker.run([]() -> Result<int> { throw std::runtime_error("odd input"); },
             [&](Result<int> Received) { Output = std::move(Received); });
  CHECK(runUntil([&] { return Output.has_value(); }));
  CHECK(!Output->has_value());
  CHECK(Output->error().Code == ResultCode::Internal);
  STRCMP_EQUAL("odd input", Output->error().Message.c_str());
}

// Failure: as before, for a computation whose output cannot say that it failed;
// the loop's owner never learns of it.
TEST(BackgroundWorker, ThrowsOnTheLoopWhatHasNoFailure) {
  bool IsCalled = false;
  Worker.run([]() -> int { throw std::runtime_error("odd input"); },
             [&](int) { IsCalled = true; });
  CHECK_THROWS(std::runtime_error, Loop.run());
  CHECK(!IsCalled);
}
