//===- TestBackgroundWorker.cpp - Long computations beside a loop ---------===//
//
// The computation waits for what only the loop can give: run on the loop it
// would never end.
//
//===----------------------------------------------------------------------===//

#include "LibCore/BackgroundWorker.h"

#include <chrono>
#include <future>
#include <thread>
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
