//===- TestSpeeds.cpp - Speeds of roles -------------------------*- C++ -*-===//
//
// Measured speeds of roles, and estimates for roles without measurements.
//
//===----------------------------------------------------------------------===//

#include "PlanFixture.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::plan;
using namespace figlift::plan::test;

TEST_GROUP(RoleSpeedEstimator) {
  PlanFixture Shard;
  RoleSpeedEstimator Estimator;
};

TEST(RoleSpeedEstimator, MeasuresEachRoleAndEstimatesTheOthers) {
  TargetState &Mixed = Shard.add("m", Role::Mixed);
  Mixed.Load.PrefillTokensPerSecond = 10000;
  Mixed.Load.DecodeTokensPerSecond = 2000;
  Estimator.observe(Shard.View.Targets);
  DOUBLES_EQUAL(10000, Estimator.speeds().Mixed.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(15000, Estimator.speeds().Prefill.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(800, Estimator.speeds().Prefill.DecodeTokensPerSecond, 1);
  // A prefill engine has measured its prefill speed, but not its decode speed.
  TargetState &Prefill = Shard.add("p", Role::Prefill);
  Prefill.Load.PrefillTokensPerSecond = 18000;
  Prefill.Load.DecodeTokensPerSecond = 0;
  Estimator.observe(Shard.View.Targets);
  DOUBLES_EQUAL(18000, Estimator.speeds().Prefill.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(800, Estimator.speeds().Prefill.DecodeTokensPerSecond, 1);
}

TEST(RoleSpeedEstimator, EstimatesOtherRolesFromASingleRole) {
  TargetState &Prefill = Shard.add("p", Role::Prefill);
  Prefill.Load.PrefillTokensPerSecond = 15000;
  Estimator.observe(Shard.View.Targets);
  DOUBLES_EQUAL(10000, Estimator.speeds().Mixed.PrefillTokensPerSecond, 1);
  DOUBLES_EQUAL(4000, Estimator.speeds().Decode.PrefillTokensPerSecond, 1);
}
