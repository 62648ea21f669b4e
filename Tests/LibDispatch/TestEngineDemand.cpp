//===- TestEngineDemand.cpp - Work that callers ask of engines ------------===//
//
// Rates, and the mix that counts.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineDemand.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(EngineDemand) { BootTime Now{std::chrono::seconds(100)}; };

TEST(EngineDemand, MeasuresEngineTimeASecond) {
  DemandMeter Meter;
  for (int At = 0; At < 400; ++At) {
    Meter.requested(Milliseconds(5), Milliseconds(10), Now);
    Now += milliseconds(10);
  }
  DOUBLES_EQUAL(0.5, Meter.demand(Now).Read, 0.05);
  DOUBLES_EQUAL(1.0, Meter.demand(Now).Run, 0.1);
}

// Symptom: under a burst runs wait for slots while the engines that read are
// idle. Sequence: a fleet starts; for some seconds every subject is read for
// the first time; engines are set to reading, which takes each from its work
// for seconds. Cause: reading of a start was taken for what is asked for.
TEST(EngineDemand, CountsTheFillingOfEnginesLittleAtFirst) {
  DemandMeter Meter;
  DOUBLES_EQUAL(1, Meter.fillingShare(Now), 1e-9);
  Meter.requested(Milliseconds(5), Milliseconds(10), Now);
  CHECK(Meter.fillingShare(Now + milliseconds(1500)) > 0.8);
  CHECK(Meter.fillingShare(Now + std::chrono::seconds(30)) < 0.06);
}

TEST(EngineDemand, KnowsWhatOfAPromptIsSharedAndNotKept) {
  const Prompt What{9000, 1, {{1, 2500}, {2, 3500}, {3, 3000}}};
  LONGS_EQUAL(6000, What.sharedBeyond(0));
  LONGS_EQUAL(3500, What.sharedBeyond(2500));
  LONGS_EQUAL(0, What.sharedBeyond(9000));
  LONGS_EQUAL(0, (Prompt{100, 1, {}}.sharedBeyond(0)));
}

TEST(EngineDemand, ForgetsWhatIsNoLongerAsked) {
  DemandMeter Meter;
  Meter.requested(Milliseconds(5), Milliseconds(10), Now);
  CHECK(Meter.demand(Now + std::chrono::seconds(20)).Read < 0.001);
}

// Load: bursts of long prompts alternate with calm spells of long answers.
// Grounds: the split matters during the bursts; the calm mix must not undo it.
TEST(EngineDemand, GoesByTheMixOfBusyTimes) {
  BusyDemand Busy;
  for (int Second = 0; Second < 20; ++Second) {
    Busy.observe(Second % 2 ? EngineDemand{6, 3} : EngineDemand{0.5, 1.5}, Now);
    Now += std::chrono::seconds(1);
  }
  CHECK(Busy.demand().Read > 1.7 * Busy.demand().Run);
}

TEST(EngineDemand, SaysNothingBeforeItHasSeenEnough) {
  BusyDemand Busy;
  Busy.observe({0, 0}, Now);
  Now += std::chrono::seconds(60);
  Busy.observe({1, 1}, Now);
  CHECK(!Busy.settled(Now + milliseconds(1000)));
  CHECK(Busy.settled(Now + milliseconds(1200)));
}

// Symptom: engines change their stage for demand that is not there: 45 engines'
// worth of reading where 4 were asked for.
// Sequence: a gateway starts; its first request asks for 100 ms of reading.
// Cause: the time since the first request, some milliseconds, was taken for
// the time in which as much comes again.
TEST(EngineDemand, TakesNoFirstRequestForARush) {
  DemandMeter Meter;
  BusyDemand Busy;
  for (int At = 0; At < 40; ++At) {
    if (At % 10 == 0)
      Meter.requested(Milliseconds(100), Milliseconds(1), Now);
    Now += milliseconds(10);
    Busy.observe(Meter.demand(Now), Now);
  }
  CHECK(Busy.demand().Read < 1.5);
}
