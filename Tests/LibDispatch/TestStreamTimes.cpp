//===- TestStreamTimes.cpp - How long streams of one route last -----------===//
//
// A steady load, a start, and silence.
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

  /// One stream each 100 ms, every fourth lasts 4 s, the others 200 ms.
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

// Symptom: soon after a start engines are taken away from running that are
// missing there seconds later.
// Sequence: streams of four seconds and of a fifth begin together; after a
// second only short ones have ended.
// Cause: the mean of those that had ended, a sixth of the truth.
TEST(StreamTimes, CountsStreamsThatStillRun) {
  play(milliseconds(1500));
  CHECK(Times.mean(Now).count() > 400);
  play(milliseconds(4500));
  DOUBLES_EQUAL(1150, Times.mean(Now).count(), 400);
}

TEST(StreamTimes, KnowsNothingBeforeTheFirst) {
  DOUBLES_EQUAL(0, Times.mean(Now).count(), 0);
  Times.recordStart(Now);
  DOUBLES_EQUAL(500, Times.mean(Now + milliseconds(500)).count(), 10);
}
