//===- TestBudgetAndHealth.cpp - Bounds on retries --------------*- C++ -*-===//
//
// The retry budget in a small simulation, target health, and both on threads.
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

struct Outcome {
  double AttemptsEach = 0;
  double Succeeded = 0;
};

/// Requests one after the other, each attempt failing with \p FailureRate.
Outcome simulate(double FailureRate, RetryBudget &Budget) {
  constexpr int Requests = 20000;
  std::mt19937_64 Random(11);
  std::bernoulli_distribution Fails(FailureRate);
  unsigned Attempts = 0, Good = 0;
  for (int I = 0; I < Requests; ++I) {
    RequestHistory Request;
    for (;; ++Request.Attempts) {
      ++Attempts;
      if (!Fails(Random)) {
        Budget.earn();
        ++Good;
        break;
      }
      if (std::holds_alternative<GiveUp>(
              decide({}, Request, TargetFailed{}, Budget, BootTime{})))
        break;
    }
  }
  return {static_cast<double>(Attempts) / Requests,
          static_cast<double>(Good) / Requests};
}

} // namespace

TEST_GROUP(RetryBudget){};

// Symptom: a back end that fails in part gets a multiple of its load and
// fails wholly.
// Sequence: 30% (then all) of the attempts fail; each failure is retried.
// Cause: retries without a bound that depends on successes.
TEST(RetryBudget, KeepsAttemptsPerRequestBounded) {
  RetryBudget Budget;
  const Outcome Partly = simulate(0.3, Budget);
  CHECK(Partly.AttemptsEach < 1.3);
  CHECK(Partly.Succeeded > 0.78);
  RetryBudget Second;
  CHECK(simulate(1.0, Second).AttemptsEach < 1.01);
  // With few failures the budget never stands in the way.
  RetryBudget Third;
  CHECK(simulate(0.05, Third).Succeeded > 0.999);

  RetryBudget Boundless({1000.0, 1e9});
  CHECK(simulate(0.3, Boundless).AttemptsEach > 1.3);
}

TEST(RetryBudget, IsExactUnderManyThreads) {
  RetryBudget Budget({0.5, 100000});
  while (Budget.spend()) {
  }
  std::atomic<unsigned> Spent{0};
  std::vector<std::thread> Threads;
  for (int T = 0; T < 4; ++T)
    Threads.emplace_back([&] {
      for (int I = 0; I < 4000; ++I) {
        Budget.earn();
        if (I % 3 == 0 && Budget.spend())
          ++Spent;
      }
    });
  for (std::thread &One : Threads)
    One.join();
  while (Budget.spend())
    ++Spent;
  LONGS_EQUAL(8000, Spent.load());
}

TEST_GROUP(TargetHealth) {
  BootTime Now{std::chrono::seconds(100)};
  TargetHealth Health;
  void fail(unsigned Times) {
    for (unsigned I = 0; I < Times; ++I)
      Health.failed(Now);
  }
};

TEST(TargetHealth, ExcludesAfterConsecutiveFailuresOnly) {
  fail(2);
  Health.succeeded();
  fail(2);
  CHECK(Health.allows(Now));
  fail(1);
  CHECK(!Health.allows(Now));
}

// Symptom: a target that is down gets a burst of requests each time its
// exclusion ends, and all of them fail.
// Sequence: the exclusion passes; many threads ask at once.
// Cause: no half-open state.
TEST(TargetHealth, ProbesWithOneRequestAndBacksOff) {
  fail(3);
  Now += milliseconds(500);
  CHECK(Health.allows(Now));
  CHECK(!Health.allows(Now));
  Health.failed(Now);
  CHECK(!Health.allows(Now + milliseconds(900)));
  CHECK(Health.allows(Now + milliseconds(1000)));
  Health.succeeded();
  CHECK(Health.allows(Now) && Health.allows(Now));
}

TEST(TargetHealth, ProbeThatWasNeverSentBlocksNothing) {
  fail(3);
  Now += milliseconds(500);
  CHECK(Health.allows(Now));
  CHECK(Health.allows(Now + milliseconds(500)));
}

// Symptom: an engine whose link broke for a moment gets no work for 15 s.
// Sequence: the link breaks under many streams, and each of them fails.
// Cause: one event counted as many failed probes.
TEST(TargetHealth, FailuresAtOnceCountAsOneExclusion) {
  fail(1000);
  CHECK(!Health.allows(Now + milliseconds(499)));
  CHECK(Health.allows(Now + milliseconds(500)));
}

TEST(TargetHealth, ExclusionIsBoundedAfterManyFailedProbes) {
  fail(3);
  for (int Probe = 0; Probe < 1000; ++Probe) {
    Now += milliseconds(5000);
    CHECK(Health.allows(Now));
    fail(1);
  }
  CHECK(!Health.allows(Now + milliseconds(4999)));
  CHECK(Health.allows(Now + milliseconds(5000)));
}

TEST(TargetHealth, BookListsExcludedTargets) {
  HealthBook Book;
  for (int I = 0; I < 3; ++I)
    Book.health("bad")->failed(Now);
  Book.health("good")->succeeded();
  LONGS_EQUAL(1, Book.excluded().size());
  LONGS_EQUAL(0, Book.wantingProbes(Now).size());
  Now += milliseconds(500);
  // Asking takes nothing from whoever sends the probe, which is one.
  for (int Times = 0; Times < 2; ++Times) {
    LONGS_EQUAL(1, Book.excluded().size());
    LONGS_EQUAL(1, Book.wantingProbes(Now).size());
  }
  CHECK(Book.health("bad")->allows(Now));
  LONGS_EQUAL(1, Book.excluded().size());
  LONGS_EQUAL(0, Book.wantingProbes(Now).size());
  Book.health("bad")->succeeded();
  LONGS_EQUAL(0, Book.excluded().size());
  for (int I = 0; I < 3; ++I)
    Book.health("bad")->failed(Now);
  Book.forget("bad");
  LONGS_EQUAL(0, Book.excluded().size());
}
