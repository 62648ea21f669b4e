//===- TestStartLag.cpp - Delay of answers against their plans ------------===//
//
// Rise, fall, and bounds of the estimate.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StartLag.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;
using Milliseconds = StartLag::Milliseconds;

TEST_GROUP(StartLag) {
  StartLag Lag;
  BootTime Now{std::chrono::seconds(100)};
  const Milliseconds Target{200};

  /// Observes \p Count answers, 50 ms apart.
  void answers(int Count, double Measured) {
    for (int Index = 0; Index < Count; ++Index) {
      Now += milliseconds(50);
      Lag.observe(Milliseconds(60), Milliseconds(Measured), Target, Now);
    }
  }
};

// In a burst each answer begins 200 ms later than planned. Within a third of a
// second admission control has to account for half of the latency target.
TEST(StartLag, RisesWithinAThirdOfASecond) {
  answers(7, 260);
  CHECK(Lag.current(Now) >= Target * 0.45);
}

TEST(StartLag, FallsOnceAnswersBeginAsPlanned) {
  answers(20, 260);
  answers(40, 60);
  CHECK(Lag.current(Now) <= Target * 0.1);
}

// The estimate is the 80th percentile rather than the mean, as engines differ.
TEST(StartLag, FollowsTheEightiethPercentile) {
  for (int Index = 0; Index < 40; ++Index) {
    answers(4, 70);
    answers(1, 100);
  }
  CHECK(Lag.current(Now) > Milliseconds(5));
  CHECK(Lag.current(Now) < Milliseconds(45));
}

// A process that rejects all requests after a burst gets no new measurements.
// If the last estimate persists, it keeps rejecting although its engines are
// idle.
TEST(StartLag, NeverRejectsRequestsThatCouldStartImmediately) {
  answers(100, 1000);
  CHECK(Lag.current(Now) <= Target * 0.6);
  CHECK(Lag.current(Now + milliseconds(2000)) <= Target * 0.3);
}

TEST(StartLag, RisesWhenEnginesAreFull) {
  for (int Index = 0; Index < 7; ++Index)
    Lag.recordRejection(Target, Now);
  CHECK(Lag.current(Now) >= Target * 0.5);
}
