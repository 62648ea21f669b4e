//===- TestFleetRetryBudget.cpp - Retry budget of a fleet -------*- C++ -*-===//
//
// Shares of processes, the sliding window, and processes that restart.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/FleetRetryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::retry;
using std::chrono::milliseconds;

TEST_GROUP(FleetRetryBudget) {
  BootTime Now{std::chrono::seconds(100)};
  FleetRetryBudgetSettings Settings{0.2, 50, milliseconds(10000)};

  int spendAll(FleetRetryBudget & Budget) {
    int Count = 0;
    for (; Budget.remaining("s", Now) >= 1; ++Count)
      Budget.recordRetry("s", Now);
    return Count;
  }
};

TEST(FleetRetryBudget, DividesFixedPartAmongProcesses) {
  FleetRetryBudget Budget(Settings, true, Now);
  Budget.setProcessCount(4, Now);
  LONGS_EQUAL(10, spendAll(Budget));
}

TEST(FleetRetryBudget, RequestsEarnRetries) {
  Settings.Base = 0;
  FleetRetryBudget Budget(Settings, true, Now);
  for (int I = 0; I < 100; ++I)
    Budget.recordRequest("s", Now);
  LONGS_EQUAL(16, spendAll(Budget));
}

// Guards against exceeding the fleet's budget when processes restart often: a
// process spends its share and is killed, and its successor starts with a full
// share within the same window.
TEST(FleetRetryBudget, RestartedProcessHasNoFixedPartForOneWindow) {
  FleetRetryBudget Budget(Settings, false, Now);
  LONGS_EQUAL(0, spendAll(Budget));
  Now += milliseconds(10001);
  LONGS_EQUAL(40, spendAll(Budget));
}

// Guards against exceeding the fleet's budget when processes stop: if the fixed
// part were divided by the live processes only, the remaining ones would take
// over shares that have already been spent.
TEST(FleetRetryBudget, DividesByMaximumProcessCountOfWindow) {
  FleetRetryBudget Budget(Settings, true, Now);
  Budget.setProcessCount(4, Now);
  Now += milliseconds(1000);
  Budget.setProcessCount(1, Now);
  LONGS_EQUAL(10, spendAll(Budget));
}

TEST(FleetRetryBudget, CountsOverASlidingWindow) {
  FleetRetryBudget Budget(Settings, true, Now);
  LONGS_EQUAL(40, spendAll(Budget));
  Now += milliseconds(9000);
  LONGS_EQUAL(0, spendAll(Budget));
  Now += milliseconds(1001);
  LONGS_EQUAL(40, spendAll(Budget));
}

TEST(FleetRetryBudget, ServicesHaveSeparateBudgets) {
  FleetRetryBudget Budget(Settings, true, Now);
  spendAll(Budget);
  CHECK(Budget.remaining("other", Now) >= 1);
}

// Guards against retries that are granted together and whose second parts then
// exceed the budget.
TEST(FleetRetryBudget, KeepsRoomForReservedRetries) {
  FleetRetryBudget Budget(Settings, true, Now);
  for (int I = 0; I < 10; ++I)
    Budget.reserveRetry("s");
  LONGS_EQUAL(30, spendAll(Budget));
  Budget.cancelReservation("s");
  LONGS_EQUAL(1, spendAll(Budget));
}
