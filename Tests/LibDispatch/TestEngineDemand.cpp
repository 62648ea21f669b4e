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
  for (int Step = 0; Step < 400; ++Step) {
    Meter.recordRequest(Milliseconds(5), Milliseconds(10), Now);
    Now += milliseconds(10);
  }
  DOUBLES_EQUAL(0.5, Meter.demand(Now).Prefill, 0.05);
  DOUBLES_EQUAL(1.0, Meter.demand(Now).Decode, 0.1);
}

// Symptom: under a burst runs wait for slots while the engines that read are
// idle. Sequence: a fleet starts; for some seconds every subject is read for
// the first time; engines are set to reading, which takes each from its work
// for seconds. Cause: reading of a start was taken for what is asked for.
TEST(EngineDemand, CountsTheFillingOfEnginesLittleAtFirst) {
  DemandMeter Meter;
  DOUBLES_EQUAL(1, Meter.cacheFillShare(Now), 1e-9);
  Meter.recordRequest(Milliseconds(5), Milliseconds(10), Now);
  CHECK(Meter.cacheFillShare(Now + milliseconds(1500)) > 0.8);
  CHECK(Meter.cacheFillShare(Now + std::chrono::seconds(30)) < 0.06);
}

TEST(EngineDemand, KnowsWhatOfAPromptIsSharedAndNotKept) {
  const Prompt Input{9000, 1, {{1, 2500}, {2, 3500}, {3, 3000}}};
  LONGS_EQUAL(6000, Input.sharedTokensBeyond(0));
  LONGS_EQUAL(3500, Input.sharedTokensBeyond(2500));
  LONGS_EQUAL(0, Input.sharedTokensBeyond(9000));
  LONGS_EQUAL(0, (Prompt{100, 1, {}}.sharedTokensBeyond(0)));
}

TEST(EngineDemand, ForgetsWhatIsNoLongerAsked) {
  DemandMeter Meter;
  Meter.recordRequest(Milliseconds(5), Milliseconds(10), Now);
  CHECK(Meter.demand(Now + std::chrono::seconds(20)).Prefill < 0.001);
}

// Load: bursts of long prompts alternate with calm spells of long answers.
// Grounds: the split matters during the bursts; the calm mix must not undo it.
TEST(EngineDemand, GoesByTheMixOfBusyTimes) {
  PeakDemand Peak;
  for (int Second = 0; Second < 20; ++Second) {
    Peak.observe(Second % 2 ? EngineDemand{6, 3} : EngineDemand{0.5, 1.5}, Now);
    Now += std::chrono::seconds(1);
  }
  CHECK(Peak.demand().Prefill > 1.7 * Peak.demand().Decode);
}

TEST(EngineDemand, SaysNothingBeforeItHasSeenEnough) {
  PeakDemand Peak;
  Peak.observe({0, 0}, Now);
  Now += std::chrono::seconds(60);
  Peak.observe({1, 1}, Now);
  CHECK(!Peak.established(Now + milliseconds(1000)));
  CHECK(Peak.established(Now + milliseconds(1200)));
}

// Symptom: engines change their stage for demand that is not there: 45 engines'
// worth of reading where 4 were asked for.
// Sequence: a gateway starts; its first request asks for 100 ms of reading.
// Cause: the time since the first request, some milliseconds, was taken for
// the time in which as much comes again.
TEST(EngineDemand, TakesNoFirstRequestForARush) {
  DemandMeter Meter;
  PeakDemand Peak;
  for (int Step = 0; Step < 40; ++Step) {
    if (Step % 10 == 0)
      Meter.recordRequest(Milliseconds(100), Milliseconds(1), Now);
    Now += milliseconds(10);
    Peak.observe(Meter.demand(Now), Now);
  }
  CHECK(Peak.demand().Prefill < 1.5);
}
