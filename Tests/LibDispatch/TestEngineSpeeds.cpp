//===- TestEngineSpeeds.cpp - Estimated decode interval of engines --------===//
//
// Estimates from streams and from prefills, and when stages should be
// exchanged.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineSpeeds.h"

#include <algorithm>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(EngineSpeeds) {
  EngineSpeedEstimator Estimator;
  StreamPaces Paces;
  FleetAverages ReadRatios{std::chrono::seconds(5)};
  std::deque<Target> Targets;
  std::vector<const Target *> Engines;
  milliseconds AllowedPause{150};
  BootTime Now{std::chrono::seconds(100)};
  std::mt19937 Random{1};

  void add(Stage EngineStage, unsigned Count = 1) {
    for (unsigned Added = 0; Added < Count; ++Added) {
      Target Entry;
      Entry.Id = "e" + std::to_string(Targets.size());
      Entry.EngineStage = EngineStage;
      Entry.Started = StartTime(milliseconds(1000));
      Targets.push_back(Entry);
      Engines.push_back(&Targets.back());
    }
  }
  void runs(size_t At, double Interval) {
    Paces.recordInterval(Targets[At].Id, Milliseconds(Interval), 40, Now);
  }
  void reads(size_t At, double Ratio) {
    ReadRatios.record(Targets[At].Id, Ratio, 20, Now);
  }
  EngineSpeeds estimate() {
    Paces.recordPauseRatio("s", 2.2, Now);
    return Estimator.estimate("s", Engines, Paces, ReadRatios, AllowedPause, 8,
                              Now);
  }
  double interval(size_t At) {
    const EngineSpeeds Speeds = estimate();
    const auto Found = Speeds.Intervals.find(Targets[At].Id);
    return Found == Speeds.Intervals.end() ? 0 : Found->second.count();
  }
};

// Failure: prefill times are taken for intervals although no engine has shown
// how the two are related.
TEST(EngineSpeeds, KnowsNothingOfPrefillEnginesWithoutARelation) {
  add(Stage::Prefill);
  add(Stage::Decode);
  reads(0, 0.5);
  runs(1, 60);
  DOUBLES_EQUAL(0, interval(0), 0);
  DOUBLES_EQUAL(60, interval(1), 0.01);
  CHECK(!estimate().ShouldExchange);
}

// An engine decodes at 60 ms, then prefills at 1.2 of the planned time. Another
// prefill engine takes 0.6 of it, so it would decode at 30 ms.
TEST(EngineSpeeds, DerivesIntervalsThroughAnEngineThatWorkedInBothStages) {
  add(Stage::Prefill, 2);
  add(Stage::Decode, 2);
  for (size_t At : {2, 3})
    runs(At, 60);
  estimate();
  Targets[2].EngineStage = Stage::Prefill;
  Paces.removeTarget(Targets[2].Id);
  reads(0, 0.6);
  reads(1, 1.2);
  reads(2, 1.2);
  DOUBLES_EQUAL(30, interval(0), 0.1);
  DOUBLES_EQUAL(60, interval(1), 0.1);
  DOUBLES_EQUAL(60, interval(2), 0.1);
}

// Failure: an engine restarts under its id, as another machine or with other
// software, and keeps the interval of its previous start.
TEST(EngineSpeeds, ForgetsTheIntervalOfAPreviousStart) {
  add(Stage::Prefill);
  add(Stage::Decode, 2);
  runs(1, 60);
  runs(2, 60);
  estimate();
  Targets[1].Started = StartTime(milliseconds(2000));
  Targets[1].EngineStage = Stage::Prefill;
  Paces.removeTarget(Targets[1].Id);
  DOUBLES_EQUAL(0, interval(1), 0);
}

// Failure: engines are exchanged for the noise of the measurement. Each
// exchange makes two engines unavailable for seconds.
TEST(EngineSpeeds, NeverExchangesIdenticalEngines) {
  add(Stage::Prefill, 7);
  add(Stage::Decode, 21);
  std::normal_distribution<double> Noise(1, 0.08);
  // The first prefill engine has decoded before.
  Targets[0].EngineStage = Stage::Decode;
  runs(0, 70);
  estimate();
  Targets[0].EngineStage = Stage::Prefill;
  for (int Step = 0; Step < 600; ++Step) {
    Now += milliseconds(500);
    for (size_t At = 0; At < 7; ++At)
      reads(At, 1.2 * Noise(Random));
    for (size_t At = 7; At < 28; ++At)
      runs(At, 70 * Noise(Random));
    CHECK(!estimate().ShouldExchange);
  }
}

// Failure: under a burst every decode engine is slower. What is known of
// engines that prefill now dates from before the burst, so equal engines look
// faster, and their stages are exchanged when the capacity is needed most.
TEST(EngineSpeeds, DoesNotExchangeWhenAllEnginesGetSlower) {
  add(Stage::Prefill, 3);
  add(Stage::Decode, 9);
  for (size_t At = 0; At < 3; ++At)
    Targets[At].EngineStage = Stage::Decode;
  for (int Step = 0; Step < 40; ++Step) {
    Now += milliseconds(500);
    for (size_t At = 0; At < 12; ++At)
      runs(At, 45);
    estimate();
  }
  for (size_t At = 0; At < 3; ++At)
    Targets[At].EngineStage = Stage::Prefill;
  for (int Step = 0; Step < 120; ++Step) {
    Now += milliseconds(500);
    for (size_t At = 3; At < 12; ++At)
      runs(At, 90);
    const EngineSpeeds Speeds = estimate();
    CHECK(!Speeds.ShouldExchange);
  }
  DOUBLES_EQUAL(90, interval(0), 5);
}

// Failure: the exchange ends when the quartile of the prefill engines is slow
// again, with the last fast engines still in prefill.
TEST(EngineSpeeds, ExchangesUntilNoPrefillEngineIsMuchFaster) {
  add(Stage::Prefill, 4);
  add(Stage::Decode, 8);
  const auto Measure = [&](const std::vector<size_t> &Fast) {
    Now += milliseconds(500);
    for (size_t At = 0; At < Targets.size(); ++At) {
      const bool IsFast = std::find(Fast.begin(), Fast.end(), At) != Fast.end();
      if (Targets[At].EngineStage == Stage::Decode)
        runs(At, IsFast ? 30 : 70);
      else
        reads(At, IsFast ? 0.6 : 1.4);
    }
  };
  const std::vector<size_t> Fast = {0, 1};
  const auto Become = [&](size_t At, Stage New) {
    Targets[At].EngineStage = New;
    Paces.removeTarget(Targets[At].Id);
    ReadRatios.removeTarget(Targets[At].Id);
  };
  Targets[2].EngineStage = Stage::Decode;
  Measure(Fast);
  estimate();
  Become(2, Stage::Prefill);
  Measure(Fast);
  CHECK(estimate().ShouldExchange);
  Become(0, Stage::Decode);
  Become(4, Stage::Prefill);
  Measure(Fast);
  CHECK(estimate().ShouldExchange);
  Become(1, Stage::Decode);
  Become(5, Stage::Prefill);
  Measure(Fast);
  CHECK(!estimate().ShouldExchange);
}

// Failure: engines that are fast enough are made unavailable for nothing.
TEST(EngineSpeeds, DoesNotExchangeWhileNoPauseIsTooLong) {
  add(Stage::Prefill, 2);
  add(Stage::Decode, 2);
  Targets[0].EngineStage = Stage::Decode;
  runs(0, 20);
  estimate();
  Targets[0].EngineStage = Stage::Prefill;
  runs(2, 40);
  runs(3, 40);
  CHECK(!estimate().ShouldExchange);
  AllowedPause = milliseconds(0);
  CHECK(!estimate().ShouldExchange);
}

// Failure: a service whose engines all decode, or all prefill, reads past the
// end of an empty list.
TEST(EngineSpeeds, AcceptsServicesWithOneStage) {
  CHECK(!estimate().ShouldExchange);
  add(Stage::Decode, 3);
  for (size_t At = 0; At < 3; ++At)
    runs(At, 90);
  CHECK(!estimate().ShouldExchange);
  for (Target &Entry : Targets)
    Entry.EngineStage = Stage::Prefill;
  CHECK(!estimate().ShouldExchange);
}
