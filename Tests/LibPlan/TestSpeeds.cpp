//===- TestSpeeds.cpp - Speeds of roles -------------------------*- C++ -*-===//
//
// What the planner learns of roles, and assumes of those it has not seen.
//
//===----------------------------------------------------------------------===//

#include "PlanFixture.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::plan;
using namespace figlift::plan::test;

TEST_GROUP(SpeedLearner) {
  PlanFixture Shard;
  SpeedLearner Learner;
};

TEST(SpeedLearner, LearnsEachRoleAndAssumesTheOthers) {
  TargetState &Mixed = Shard.add("m", Role::Mixed);
  Mixed.Load.PrefillTokensPerSecond = 10000;
  Mixed.Load.DecodeTokensPerSecond = 2000;
  Learner.observe(Shard.Seen.Targets);
  DOUBLES_EQUAL(10000, Learner.speeds().Mixed.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(15000, Learner.speeds().Prefill.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(800, Learner.speeds().Prefill.DecodeTokensPerSecond, 1);
  // A prefill engine has measured its prompts, and no answer yet.
  TargetState &Prefill = Shard.add("p", Role::Prefill);
  Prefill.Load.PrefillTokensPerSecond = 18000;
  Prefill.Load.DecodeTokensPerSecond = 0;
  Learner.observe(Shard.Seen.Targets);
  DOUBLES_EQUAL(18000, Learner.speeds().Prefill.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(800, Learner.speeds().Prefill.DecodeTokensPerSecond, 1);
}

TEST(SpeedLearner, OneRoleAloneGivesAnEstimateOfTheOthers) {
  TargetState &Prefill = Shard.add("p", Role::Prefill);
  Prefill.Load.PrefillTokensPerSecond = 15000;
  Learner.observe(Shard.Seen.Targets);
  DOUBLES_EQUAL(10000, Learner.speeds().Mixed.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(4000, Learner.speeds().Decode.PrefillTokensPerSecond, 1);
}
