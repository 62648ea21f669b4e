//===- TestEngineDemand.cpp - Demand for prefill and decode ---------------===//
//
// Rates, and the mix of work at peak times.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineDemand.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(EngineDemand) { BootTime Now{std::chrono::seconds(100)}; };

TEST(EngineDemand, MeasuresEngineTimePerSecond) {
  DemandMeter Meter;
  for (int Step = 0; Step < 400; ++Step) {
    Meter.recordRequest(Milliseconds(5), Milliseconds(10), Now);
    Now += milliseconds(10);
  }
  DOUBLES_EQUAL(0.5, Meter.demand(Now).Prefill, 0.05);
  DOUBLES_EQUAL(1.0, Meter.demand(Now).Decode, 0.1);
}

// After the start of a fleet every subject is prefilled for the first time for
// some seconds. If this counts as lasting demand, engines are set to prefill
// and are unavailable for seconds; in the next burst requests wait for decode
// slots while prefill engines are idle.
TEST(EngineDemand, DiscountsCacheFillAfterAStart) {
  DemandMeter Meter;
  DOUBLES_EQUAL(1, Meter.cacheFillShare(Now), 1e-9);
  Meter.recordRequest(Milliseconds(5), Milliseconds(10), Now);
  CHECK(Meter.cacheFillShare(Now + milliseconds(1500)) > 0.8);
  CHECK(Meter.cacheFillShare(Now + std::chrono::seconds(30)) < 0.06);
}

TEST(EngineDemand, CountsSharedTokensThatAreNotCached) {
  const Prompt Input{9000, 1, {{1, 2500}, {2, 3500}, {3, 3000}}};
  LONGS_EQUAL(6000, Input.sharedTokensBeyond(0));
  LONGS_EQUAL(3500, Input.sharedTokensBeyond(2500));
  LONGS_EQUAL(0, Input.sharedTokensBeyond(9000));
  LONGS_EQUAL(0, (Prompt{100, 1, {}}.sharedTokensBeyond(0)));
}

TEST(EngineDemand, DecaysPastDemand) {
  DemandMeter Meter;
  Meter.recordRequest(Milliseconds(5), Milliseconds(10), Now);
  CHECK(Meter.demand(Now + std::chrono::seconds(20)).Prefill < 0.001);
}

// Bursts of long prompts alternate with low load of long answers. The split
// matters during the bursts and must not follow the mix at low load.
TEST(EngineDemand, FollowsTheMixOfPeakTimes) {
  PeakDemand Peak;
  for (int Second = 0; Second < 20; ++Second) {
    Peak.observe(Second % 2 ? EngineDemand{6, 3} : EngineDemand{0.5, 1.5}, Now);
    Now += std::chrono::seconds(1);
  }
  CHECK(Peak.demand().Prefill > 1.7 * Peak.demand().Decode);
}

TEST(EngineDemand, IsNotEstablishedBeforeTheMinimumTime) {
  PeakDemand Peak;
  Peak.observe({0, 0}, Now);
  Now += std::chrono::seconds(60);
  Peak.observe({1, 1}, Now);
  CHECK(!Peak.established(Now + milliseconds(1000)));
  CHECK(Peak.established(Now + milliseconds(1200)));
}

// The first request after the start of a gateway needs 100 ms of prefill. If
// its cost is divided by the few milliseconds since then, the estimated demand
// is 45 engines instead of 4, and engines change their stage without need.
TEST(EngineDemand, DoesNotOverestimateTheFirstRequest) {
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
