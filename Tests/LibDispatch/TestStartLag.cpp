//===- TestStartLag.cpp - How much later than planned answers begin -------===//
//
// Steps up and down, and their bounds.
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

  /// \p Count answers, 50 ms apart.
  void answers(int Count, double Measured) {
    for (int Index = 0; Index < Count; ++Index) {
      Now += milliseconds(50);
      Lag.observe(Milliseconds(60), Milliseconds(Measured), Target, Now);
    }
  }
};

// Load: a burst in which each answer comes 200 ms later than planned. Grounds:
// within a third of a second the door has to allow for half of the target.
TEST(StartLag, RisesWithinAThirdOfASecond) {
  answers(7, 260);
  CHECK(Lag.current(Now) >= Target * 0.45);
}

TEST(StartLag, FallsOnceAnswersComeAsPlanned) {
  answers(20, 260);
  answers(40, 60);
  CHECK(Lag.current(Now) <= Target * 0.1);
}

// Grounds: four of five answers stay below it, not the mean: engines differ.
TEST(StartLag, FollowsTheLatestFifth) {
  for (int Index = 0; Index < 40; ++Index) {
    answers(4, 70);
    answers(1, 100);
  }
  CHECK(Lag.current(Now) > Milliseconds(5));
  CHECK(Lag.current(Now) < Milliseconds(45));
}

// Symptom: a process refuses everybody though its engines are idle again.
// Sequence: it refuses all after a burst, so nothing is measured any more.
// Cause: it believes what it measured last.
TEST(StartLag, NeverShutsOutWhatWouldBeginAtOnce) {
  answers(100, 1000);
  CHECK(Lag.current(Now) <= Target * 0.6);
  CHECK(Lag.current(Now + milliseconds(2000)) <= Target * 0.3);
}

TEST(StartLag, RisesWhenEnginesAreFull) {
  for (int Index = 0; Index < 7; ++Index)
    Lag.recordRejection(Target, Now);
  CHECK(Lag.current(Now) >= Target * 0.5);
}
