//===- TestRoutingSimulation.cpp - Effects of routing mechanisms ----------===//
//
// Compares FigliftPolicy with and without each mechanism, and with the
// baselines, in the small queue model.
//
//===----------------------------------------------------------------------===//

#include "RoutingSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::route;
using namespace figlift::route::test;

TEST_GROUP(RoutingSimulation){};

// Guards against herding: reports arrive every 200 ms, and until the next one
// every request would go to the engine with the shortest queue in the last one,
// unless the entry counts the work that it has sent since. One queue after the
// other would grow to seconds while the other engines are idle.
TEST(RoutingSimulation, InFlightCorrectionPreventsHerding) {
  const SimulationSettings Settings;
  FigliftPolicy ReducedPolicy;
  ReducedPolicy.InFlightCorrection = false;
  const auto Full = RoutingSimulation(FigliftPolicy{}, Settings).run();
  const auto Reduced = RoutingSimulation(ReducedPolicy, Settings).run();
  const auto LeastLoaded =
      RoutingSimulation(LeastLoadedPolicy{}, Settings).run();
  CHECK(Full.MeanWait * 3 < Reduced.MeanWait);
  CHECK(Full.MeanWait * 3 < LeastLoaded.MeanWait);
  CHECK(Full.WorstWait < Reduced.WorstWait);
}

// Guards against computing shared prefixes on every engine: with 24 prefixes
// and 8 engines that cache 4 each, routing that ignores the caches sends every
// prefix to every engine, and each engine caches only few of them.
TEST(RoutingSimulation, PrefixAwarenessRoutesPromptsToTheirCache) {
  SimulationSettings Settings;
  Settings.SharedPrefixes = 24;
  FigliftPolicy ReducedPolicy;
  ReducedPolicy.PrefixAwareness = false;
  const auto Full = RoutingSimulation(FigliftPolicy{}, Settings).run();
  const auto Reduced = RoutingSimulation(ReducedPolicy, Settings).run();
  const auto Random = RoutingSimulation(RandomPolicy{}, Settings).run();
  CHECK(Full.CachedFraction > 0.8);
  CHECK(Reduced.CachedFraction < 0.4);
  CHECK(Random.CachedFraction < 0.4);
  CHECK(Full.MeanWait < Reduced.MeanWait);
}

// Guards against overloading one engine of eight: all prompts have the same
// prefix and would all follow it to the engine that caches it, unless the
// expected wait is part of the cost.
TEST(RoutingSimulation, HotPrefixSpreadsOnceItsEngineIsBusy) {
  SimulationSettings Settings;
  Settings.SharedPrefixes = 1;
  Settings.ArrivalInterval = milliseconds(4);
  const auto Full = RoutingSimulation(FigliftPolicy{}, Settings).run();
  CHECK(Full.WorstWait < Seconds(0.5));
  CHECK(Full.CachedFraction > 0.9);
}
