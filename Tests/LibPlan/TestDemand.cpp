//===- TestDemand.cpp - Demand and the length of its phases -----*- C++ -*-===//
//
// Rates from counters, and what is expected of a mix.
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

TEST(DemandEstimator, SumsSourcesAndFollowsAChange) {
  for (uint64_t I = 0; I < 60; ++I, Now += seconds(1)) {
    Estimator.observe("a", I * 1000, I * 100, Now);
    Estimator.observe("b", I * 500, 0, Now);
  }
  DOUBLES_EQUAL(1500, Estimator.demand(Now).PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(100, Estimator.demand(Now).DecodeTokensPerSecond, 1);
  // Silence: its work has gone elsewhere.
  CHECK(Estimator.demand(Now + seconds(60)).PrefillTokensPerSecond < 10);
}

// Symptom: the plan sees an enormous demand and moves engines for nothing.
// Sequence: an agent restarts and counts from zero.
// Cause: the difference of unsigned counters.
TEST(DemandEstimator, RestartedSourceCountsAnew) {
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
  CHECK(History.forecast(Long, seconds(60), Now).Persists == seconds(60));
  for (int Second = 0; Second < 205; ++Second, Now += seconds(1))
    History.observe((Second / 20) % 2 ? Long : Short, Now);
  const Forecast Expected = History.forecast(Short, seconds(60), Now);
  CHECK(Expected.Persists > seconds(10));
  CHECK(Expected.Persists < seconds(20));
  DOUBLES_EQUAL(8000, Expected.Next.PrefillTokensPerSecond, 600);
  // The phase goes on far beyond the usual: it is taken for a lasting one.
  for (int Second = 0; Second < 110; ++Second, Now += seconds(1))
    History.observe(Short, Now);
  CHECK(History.forecast(Short, seconds(60), Now).Persists > seconds(50));
}
