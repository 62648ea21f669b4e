//===- TestBudgetAndHealth.cpp - Retry budget and ejection ------*- C++ -*-===//
//
// The retry budget in a small simulation and under threads, and the ejection
// of targets.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/RetryDecision.h"
#include "LibRetry/TargetHealth.h"

#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::retry;
using std::chrono::milliseconds;

namespace {

struct SimulationResult {
  double AttemptsPerRequest = 0;
  double SuccessRate = 0;
};

/// Sends requests one after the other; each attempt fails with probability
/// \p FailureRate.
SimulationResult simulate(double FailureRate, RetryBudget &Budget) {
  constexpr int Requests = 20000;
  std::mt19937_64 Random(11);
  std::bernoulli_distribution Fails(FailureRate);
  unsigned Attempts = 0, Succeeded = 0;
  for (int I = 0; I < Requests; ++I) {
    RequestHistory Request;
    for (;; ++Request.Attempts) {
      ++Attempts;
      if (!Fails(Random)) {
        Budget.earn();
        ++Succeeded;
        break;
      }
      if (std::holds_alternative<GiveUp>(
              decide({}, Request, TargetFailed{}, Budget, BootTime{})))
        break;
    }
  }
  return {static_cast<double>(Attempts) / Requests,
          static_cast<double>(Succeeded) / Requests};
}

} // namespace

TEST_GROUP(RetryBudget){};

// Guards against retry storms: when 30 % (then all) of the attempts
// recordFailures and each failure is retried, a back end that fails in part
// receives a multiple of its load and fails completely, unless retries are
// bounded by successes.
TEST(RetryBudget, KeepsAttemptsPerRequestBounded) {
  RetryBudget Budget;
  const SimulationResult PartialFailure = simulate(0.3, Budget);
  CHECK(PartialFailure.AttemptsPerRequest < 1.3);
  CHECK(PartialFailure.SuccessRate > 0.78);
  RetryBudget TotalFailureBudget;
  CHECK(simulate(1.0, TotalFailureBudget).AttemptsPerRequest < 1.01);
  // With few failures the budget does not limit retries.
  RetryBudget FewFailuresBudget;
  CHECK(simulate(0.05, FewFailuresBudget).SuccessRate > 0.999);

  RetryBudget Unlimited({1000.0, 1e9});
  CHECK(simulate(0.3, Unlimited).AttemptsPerRequest > 1.3);
}

TEST(RetryBudget, IsExactUnderManyThreads) {
  RetryBudget Budget({0.5, 100000});
  while (Budget.spend()) {
  }
  std::atomic<unsigned> Spent{0};
  std::vector<std::thread> Threads;
  for (int ThreadIndex = 0; ThreadIndex < 4; ++ThreadIndex)
    Threads.emplace_back([&] {
      for (int I = 0; I < 4000; ++I) {
        Budget.earn();
        if (I % 3 == 0 && Budget.spend())
          ++Spent;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  while (Budget.spend())
    ++Spent;
  LONGS_EQUAL(8000, Spent.load());
}

TEST_GROUP(TargetHealth) {
  BootTime Now{std::chrono::seconds(100)};
  TargetHealth Health;
  void recordFailures(unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      Health.recordFailure(Now);
  }
};

TEST(TargetHealth, EjectsOnlyAfterConsecutiveFailures) {
  recordFailures(2);
  Health.recordSuccess();
  recordFailures(2);
  CHECK(Health.allows(Now));
  recordFailures(1);
  CHECK(!Health.allows(Now));
}

// Guards against bursts at a target that is down: without a half-open state,
// all threads that check the target when its ejection time has passed send it
// requests, and all of these recordFailures.
TEST(TargetHealth, ProbesWithOneRequestAndBacksOff) {
  recordFailures(3);
  Now += milliseconds(500);
  CHECK(Health.allows(Now));
  CHECK(!Health.allows(Now));
  Health.recordFailure(Now);
  CHECK(!Health.allows(Now + milliseconds(900)));
  CHECK(Health.allows(Now + milliseconds(1000)));
  Health.recordSuccess();
  CHECK(Health.allows(Now) && Health.allows(Now));
}

TEST(TargetHealth, UnsentProbeDoesNotBlockTheTarget) {
  recordFailures(3);
  Now += milliseconds(500);
  CHECK(Health.allows(Now));
  CHECK(Health.allows(Now + milliseconds(500)));
}

// Guards against an ejection of 15 s after a short interruption: when a link
// with many streams is lost, each stream fails, and each failure was counted as
// a failed probe.
TEST(TargetHealth, SimultaneousFailuresCountAsOneEjection) {
  recordFailures(1000);
  CHECK(!Health.allows(Now + milliseconds(499)));
  CHECK(Health.allows(Now + milliseconds(500)));
}

TEST(TargetHealth, EjectionTimeIsBoundedAfterManyFailedProbes) {
  recordFailures(3);
  for (int Probe = 0; Probe < 1000; ++Probe) {
    Now += milliseconds(5000);
    CHECK(Health.allows(Now));
    recordFailures(1);
  }
  CHECK(!Health.allows(Now + milliseconds(4999)));
  CHECK(Health.allows(Now + milliseconds(5000)));
}

TEST(TargetHealth, TrackerListsEjectedTargets) {
  HealthTracker Tracker;
  for (int I = 0; I < 3; ++I)
    Tracker.health("bad")->recordFailure(Now);
  Tracker.health("good")->recordSuccess();
  LONGS_EQUAL(1, Tracker.ejectedTargets().size());
  LONGS_EQUAL(0, Tracker.targetsDueForProbe(Now).size());
  Now += milliseconds(500);
  // A query does not claim the probe; only allows() does.
  for (int I = 0; I < 2; ++I) {
    LONGS_EQUAL(1, Tracker.ejectedTargets().size());
    LONGS_EQUAL(1, Tracker.targetsDueForProbe(Now).size());
  }
  CHECK(Tracker.health("bad")->allows(Now));
  LONGS_EQUAL(1, Tracker.ejectedTargets().size());
  LONGS_EQUAL(0, Tracker.targetsDueForProbe(Now).size());
  Tracker.health("bad")->recordSuccess();
  LONGS_EQUAL(0, Tracker.ejectedTargets().size());
  for (int I = 0; I < 3; ++I)
    Tracker.health("bad")->recordFailure(Now);
  Tracker.remove("bad");
  LONGS_EQUAL(0, Tracker.ejectedTargets().size());
}
