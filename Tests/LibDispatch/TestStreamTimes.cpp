//===- TestStreamTimes.cpp - Mean stream duration of a route --------------===//
//
// Steady load, start of a load, and no streams.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamTimes.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(StreamTimes) {
  StreamTimes Times;
  BootTime Now{std::chrono::seconds(100)};
  std::multimap<BootTime, int> Ends;

  /// Starts a stream every 100 ms. Every fourth lasts 4 s, the others 200 ms.
  void play(milliseconds Duration) {
    const BootTime Until = Now + Duration;
    for (int Number = 0; Now < Until; ++Number) {
      Times.recordStart(Now);
      Ends.emplace(Now + milliseconds(Number % 4 ? 200 : 4000), Number);
      Now += milliseconds(100);
      while (!Ends.empty() && Ends.begin()->first <= Now) {
        Times.recordEnd(Ends.begin()->first);
        Ends.erase(Ends.begin());
      }
    }
  }
};

TEST(StreamTimes, MeasuresASteadyLoad) {
  play(milliseconds(60000));
  DOUBLES_EQUAL(1150, Times.mean(Now).count(), 115);
}

// Streams of 4 s and of 200 ms start together, and after a second only short
// ones have ended. The mean of the ended streams is a sixth of the actual
// value, so engines would be moved away from decode and be missing there
// seconds later.
TEST(StreamTimes, CountsRunningStreams) {
  play(milliseconds(1500));
  CHECK(Times.mean(Now).count() > 400);
  play(milliseconds(4500));
  DOUBLES_EQUAL(1150, Times.mean(Now).count(), 400);
}

TEST(StreamTimes, StartsAtZero) {
  DOUBLES_EQUAL(0, Times.mean(Now).count(), 0);
  Times.recordStart(Now);
  DOUBLES_EQUAL(500, Times.mean(Now + milliseconds(500)).count(), 10);
}
