//===- TestAnswerTimes.cpp - Longest recent answers of a route ------------===//
//
// Covers what counts as recent.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/AnswerTimes.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using engine::Milliseconds;
using std::chrono::seconds;

TEST_GROUP(AnswerTimes) {
  AnswerTimes Times;

  static BootTime at(int Second) { return BootTime{seconds(1000 + Second)}; }
  double longest(int Second) const { return Times.longest(at(Second)).count(); }
};

// Guards against: short answers between two long ones hide the long ones.
TEST(AnswerTimes, KeepsTheLongest) {
  Times.record(Milliseconds(30), at(0));
  Times.record(Milliseconds(7000), at(1));
  Times.record(Milliseconds(40), at(2));
  DOUBLES_EQUAL(7000, longest(3), 0.1);
}

// Guards against: one slow answer long ago decides forever.
TEST(AnswerTimes, ForgetsWhatIsOld) {
  DOUBLES_EQUAL(0, longest(0), 0.1);
  Times.record(Milliseconds(7000), at(0));
  Times.record(Milliseconds(30), at(61));
  DOUBLES_EQUAL(7000, longest(62), 0.1);
  DOUBLES_EQUAL(30, longest(121), 0.1);
  DOUBLES_EQUAL(0, longest(182), 0.1);
  Times.record(Milliseconds(50), at(300));
  DOUBLES_EQUAL(50, longest(301), 0.1);
}
