//===- TestRoutingTrial.cpp - Effects of routing mechanisms -----*- C++ -*-===//
//
// Compares FigliftPolicy with and without each mechanism, and with the
// baselines, in the small queue model.
//
//===----------------------------------------------------------------------===//

#include "RoutingTrial.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::route;
using namespace figlift::route::test;

TEST_GROUP(RoutingTrial){};

// Guards against herding: reports arrive every 200 ms, and until the next one
// every request would go to the engine with the shortest queue in the last one,
// unless the entry counts the work that it has sent since. One queue after the
// other would grow to seconds while the other engines are idle.
TEST(RoutingTrial, InFlightCorrectionPreventsHerding) {
  const TrialSettings Settings;
  FigliftPolicy ReducedPolicy;
  ReducedPolicy.InFlightCorrection = false;
  const auto Full = RoutingTrial(FigliftPolicy{}, Settings).run();
  const auto Reduced = RoutingTrial(ReducedPolicy, Settings).run();
  const auto LeastLoaded = RoutingTrial(LeastLoadedPolicy{}, Settings).run();
  CHECK(Full.MeanWait * 3 < Reduced.MeanWait);
  CHECK(Full.MeanWait * 3 < LeastLoaded.MeanWait);
  CHECK(Full.WorstWait < Reduced.WorstWait);
}

// Guards against computing shared prefixes on every engine: with 24 prefixes
// and 8 engines that cache 4 each, routing that ignores the caches sends every
// prefix to every engine, and each engine caches only few of them.
TEST(RoutingTrial, PrefixAwarenessRoutesPromptsToTheirCache) {
  TrialSettings Settings;
  Settings.SharedPrefixes = 24;
  FigliftPolicy ReducedPolicy;
  ReducedPolicy.PrefixAwareness = false;
  const auto Full = RoutingTrial(FigliftPolicy{}, Settings).run();
  const auto Reduced = RoutingTrial(ReducedPolicy, Settings).run();
  const auto Random = RoutingTrial(RandomPolicy{}, Settings).run();
  CHECK(Full.CachedFraction > 0.8);
  CHECK(Reduced.CachedFraction < 0.4);
  CHECK(Random.CachedFraction < 0.4);
  CHECK(Full.MeanWait < Reduced.MeanWait);
}

// Guards against overloading one engine of eight: all prompts have the same
// prefix and would all follow it to the engine that caches it, unless the
// expected wait is part of the cost.
TEST(RoutingTrial, HotPrefixSpreadsOnceItsEngineIsBusy) {
  TrialSettings Settings;
  Settings.SharedPrefixes = 1;
  Settings.ArrivalInterval = milliseconds(4);
  const auto Full = RoutingTrial(FigliftPolicy{}, Settings).run();
  CHECK(Full.WorstWait < Seconds(0.5));
  CHECK(Full.CachedFraction > 0.9);
}
