//===- TestFleetBudget.cpp - One budget of repeats for a whole fleet ------===//
//
// Shares, the sliding window, and processes that come back.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/FleetBudget.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::retry;
using std::chrono::milliseconds;

TEST_GROUP(FleetBudget) {
  BootTime Now{std::chrono::seconds(100)};
  FleetBudgetTerms Terms{0.2, 50, milliseconds(10000)};

  int spendAll(FleetBudget & Budget) {
    int Count = 0;
    for (; Budget.left("s", Now) >= 1; ++Count)
      Budget.charge("s", Now);
    return Count;
  }
};

TEST(FleetBudget, DividesTheFixedPartAmongProcesses) {
  FleetBudget Budget(Terms, true, Now);
  Budget.setProcesses(4, Now);
  LONGS_EQUAL(10, spendAll(Budget));
}

TEST(FleetBudget, EarnsWithRequests) {
  Terms.Base = 0;
  FleetBudget Budget(Terms, true, Now);
  for (int At = 0; At < 100; ++At)
    Budget.requestSent("s", Now);
  LONGS_EQUAL(16, spendAll(Budget));
}

// Symptom: the fleet's bound is broken during a storm of restarts.
// Sequence: a process spends its share, is killed, and its successor spends
// the same share again within the window.
// Cause: a restarted process began with a full share.
TEST(FleetBudget, GivesARestartedProcessNoFixedPartForOneWindow) {
  FleetBudget Budget(Terms, false, Now);
  LONGS_EQUAL(0, spendAll(Budget));
  Now += milliseconds(10001);
  LONGS_EQUAL(40, spendAll(Budget));
}

// Symptom: as above. Sequence: half of the processes go; those that are left
// take their shares at once. Cause: the share went by the live ones alone.
TEST(FleetBudget, DividesByTheMostProcessesOfTheWindow) {
  FleetBudget Budget(Terms, true, Now);
  Budget.setProcesses(4, Now);
  Now += milliseconds(1000);
  Budget.setProcesses(1, Now);
  LONGS_EQUAL(10, spendAll(Budget));
}

TEST(FleetBudget, CountsOverASlidingWindow) {
  FleetBudget Budget(Terms, true, Now);
  LONGS_EQUAL(40, spendAll(Budget));
  Now += milliseconds(9000);
  LONGS_EQUAL(0, spendAll(Budget));
  Now += milliseconds(1001);
  LONGS_EQUAL(40, spendAll(Budget));
}

TEST(FleetBudget, KeepsServicesApart) {
  FleetBudget Budget(Terms, true, Now);
  spendAll(Budget);
  CHECK(Budget.left("other", Now) >= 1);
}
