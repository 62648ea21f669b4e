//===- TestRoutingTrial.cpp - Mechanisms of routing, on and off -*- C++ -*-===//
//
// Each mechanism of FigliftPolicy against itself without that mechanism and
// against the baselines, in the small queue model.
//
//===----------------------------------------------------------------------===//

#include "RoutingTrial.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::route;
using namespace figlift::route::test;

TEST_GROUP(RoutingTrial){};

// Symptom: one engine's queue grows to seconds while others idle, in waves.
// Sequence: reports come every 200 ms; until the next one, every request goes
// to the engine that was the emptiest in the last.
// Cause: the entry's own work since the report is not counted.
TEST(RoutingTrial, OwnWorkInFlightPreventsHerdingOnLaggingReports) {
  const TrialSettings Settings;
  FigliftPolicy Without;
  Without.InFlightCorrection = false;
  const auto With = RoutingTrial(FigliftPolicy{}, Settings).run();
  const auto Off = RoutingTrial(Without, Settings).run();
  const auto Least = RoutingTrial(LeastLoadedPolicy{}, Settings).run();
  CHECK(With.MeanWait * 3 < Off.MeanWait);
  CHECK(With.MeanWait * 3 < Least.MeanWait);
  CHECK(With.WorstWait < Off.WorstWait);
}

// Symptom: prompts that share a roster are computed again on every engine.
// Sequence: 24 rosters, 8 engines with room for 4 each; spread evenly, each
// engine sees all rosters and holds few of them.
// Cause: the choice of the target knows nothing of the caches.
TEST(RoutingTrial, PrefixAwarenessKeepsPromptsWhereTheyAreCached) {
  TrialSettings Settings;
  Settings.SharedPrefixes = 24;
  FigliftPolicy Without;
  Without.PrefixAwareness = false;
  const auto With = RoutingTrial(FigliftPolicy{}, Settings).run();
  const auto Off = RoutingTrial(Without, Settings).run();
  const auto Random = RoutingTrial(RandomPolicy{}, Settings).run();
  CHECK(With.CachedFraction > 0.8);
  CHECK(Off.CachedFraction < 0.4);
  CHECK(Random.CachedFraction < 0.4);
  CHECK(With.MeanWait < Off.MeanWait);
}

// Symptom: one engine of eight drowns though the others are free.
// Sequence: all prompts of a powder morning begin with the same roster, and
// follow it to the engine that holds it.
// Cause: affinity would win over load, did the wait not count as well.
TEST(RoutingTrial, OneHotPrefixSpreadsOnceItsEngineIsBusy) {
  TrialSettings Settings;
  Settings.SharedPrefixes = 1;
  Settings.ArrivalInterval = milliseconds(4);
  const auto With = RoutingTrial(FigliftPolicy{}, Settings).run();
  CHECK(With.WorstWait < Seconds(0.5));
  CHECK(With.CachedFraction > 0.9);
}
