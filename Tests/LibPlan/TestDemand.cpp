//===- TestDemand.cpp - Demand and the length of its phases -----*- C++ -*-===//
//
// Rates derived from counters, and forecasts of the mix.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/DemandEstimator.h"
#include "LibPlan/MixHistory.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::plan;
using std::chrono::seconds;

TEST_GROUP(DemandEstimator) {
  BootTime Now{seconds(100)};
  DemandEstimator Estimator;
};

TEST(DemandEstimator, SumsSourcesAndFollowsChanges) {
  for (uint64_t I = 0; I < 60; ++I, Now += seconds(1)) {
    Estimator.observe("a", I * 1000, I * 100, Now);
    Estimator.observe("b", I * 500, 0, Now);
  }
  DOUBLES_EQUAL(1500, Estimator.demand(Now).PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(100, Estimator.demand(Now).DecodeTokensPerSecond, 1);
  // The rates of sources that stop reporting decay.
  CHECK(Estimator.demand(Now + seconds(60)).PrefillTokensPerSecond < 10);
}

// Guards against a huge demand, and useless changes, after an agent restarts:
// its counters start from zero, and the difference of the unsigned counters
// would wrap around.
TEST(DemandEstimator, RestartedSourceStartsANewCount) {
  Estimator.observe("a", 1000000, 1000, Now);
  Estimator.observe("a", 1001000, 1100, Now + seconds(1));
  Estimator.observe("a", 50, 5, Now + seconds(2));
  DOUBLES_EQUAL(1000, Estimator.demand(Now + seconds(2)).PrefillTokensPerSecond,
                1);
}

TEST_GROUP(MixHistory){};

TEST(MixHistory, LearnsHowLongPhasesLast) {
  MixHistory History;
  BootTime Now{seconds(100)};
  const Demand Long{8000, 100}, Short{800, 1000};
  CHECK(History.forecast(Long, seconds(60), Now).CurrentDuration ==
        seconds(60));
  for (int Second = 0; Second < 205; ++Second, Now += seconds(1))
    History.observe((Second / 20) % 2 ? Long : Short, Now);
  const Forecast Expected = History.forecast(Short, seconds(60), Now);
  CHECK(Expected.CurrentDuration > seconds(10));
  CHECK(Expected.CurrentDuration < seconds(20));
  DOUBLES_EQUAL(8000, Expected.Next.PrefillTokensPerSecond, 600);
  // A phase that lasts much longer than usual is treated as permanent.
  for (int Second = 0; Second < 110; ++Second, Now += seconds(1))
    History.observe(Short, Now);
  CHECK(History.forecast(Short, seconds(60), Now).CurrentDuration >
        seconds(50));
}
