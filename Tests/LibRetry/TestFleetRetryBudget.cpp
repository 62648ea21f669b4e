//===- TestFleetRetryBudget.cpp - Retry budget of a fleet -------*- C++ -*-===//
//
// Shares of processes, the sliding window, and processes that restart.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/FleetRetryBudget.h"

#include <algorithm>
#include <deque>
#include <vector>

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
  FleetRetryBudget Budget(Settings, Now - Settings.Window);
  Budget.setProcessCount(4, Now);
  LONGS_EQUAL(10, spendAll(Budget));
}

TEST(FleetRetryBudget, RequestsEarnRetries) {
  Settings.Base = 0;
  FleetRetryBudget Budget(Settings, Now - Settings.Window);
  for (int I = 0; I < 100; ++I)
    Budget.recordRequest("s", Now);
  LONGS_EQUAL(16, spendAll(Budget));
}

// Guards against exceeding the fleet's budget when processes restart often: a
// process spends its share and is killed, and its successor starts with a full
// share within the same window.
TEST(FleetRetryBudget, RestartedProcessHasNoFixedPartForOneWindow) {
  FleetRetryBudget Budget(Settings, Now);
  LONGS_EQUAL(0, spendAll(Budget));
  Now += milliseconds(10001);
  LONGS_EQUAL(40, spendAll(Budget));
}

// Guards against exceeding the fleet's budget when processes stop: if the fixed
// part were divided by the live processes only, the remaining ones would take
// over shares that have already been spent.
TEST(FleetRetryBudget, DividesByMaximumProcessCountOfWindow) {
  FleetRetryBudget Budget(Settings, Now - Settings.Window);
  Budget.setProcessCount(4, Now);
  Now += milliseconds(1000);
  Budget.setProcessCount(1, Now);
  LONGS_EQUAL(10, spendAll(Budget));
}

TEST(FleetRetryBudget, CountsOverASlidingWindow) {
  FleetRetryBudget Budget(Settings, Now - Settings.Window);
  LONGS_EQUAL(40, spendAll(Budget));
  Now += milliseconds(9000);
  LONGS_EQUAL(0, spendAll(Budget));
  Now += milliseconds(1001);
  LONGS_EQUAL(40, spendAll(Budget));
}

TEST(FleetRetryBudget, ServicesHaveSeparateBudgets) {
  FleetRetryBudget Budget(Settings, Now - Settings.Window);
  spendAll(Budget);
  CHECK(Budget.remaining("other", Now) >= 1);
}

// Guards against retries that are granted together and whose second parts then
// exceed the budget.
TEST(FleetRetryBudget, KeepsRoomForReservedRetries) {
  FleetRetryBudget Budget(Settings, Now - Settings.Window);
  for (int I = 0; I < 10; ++I)
    Budget.reserveRetry("s");
  LONGS_EQUAL(30, spendAll(Budget));
  Budget.cancelReservation("s");
  LONGS_EQUAL(1, spendAll(Budget));
}

// Failure: processes that start one after another spend twice the fixed part.
TEST(FleetRetryBudget, IsNotExceededWhileProcessesStart) {
  constexpr size_t Processes = 30;
  std::vector<FleetRetryBudget> Started;
  std::deque<BootTime> Retries;
  size_t Most = 0;
  const BootTime End = Now + 4 * Settings.Window;
  for (; Now < End; Now += milliseconds(100)) {
    if (Started.size() < Processes) {
      Started.emplace_back(Settings, Now);
      Started.back().setStartPlace(Started.size());
    }
    for (FleetRetryBudget &Budget : Started) {
      Budget.setProcessCount(Started.size(), Now);
      Retries.insert(Retries.end(), static_cast<size_t>(spendAll(Budget)), Now);
    }
    while (!Retries.empty() && Retries.front() + Settings.Window < Now)
      Retries.pop_front();
    Most = std::max(Most, Retries.size());
  }
  CHECK(Most > Settings.Base / 3);
  CHECK(static_cast<double>(Most) <= Settings.Base);
}

// Failure: the retries that the first process has just sent are not covered
// when the others reach their equal shares.
TEST(FleetRetryBudget, IsNotExceededWhenEqualSharesBegin) {
  constexpr size_t Processes = 30;
  int Spent = 0;
  std::vector<FleetRetryBudget> All(Processes, {Settings, Now});
  for (size_t I = 0; I < Processes; ++I)
    All[I].setStartPlace(I + 1);
  for (const auto Age : {Settings.Window - milliseconds(1), Settings.Window}) {
    const BootTime Start = Now;
    Now += Age;
    for (FleetRetryBudget &Budget : All) {
      Budget.setProcessCount(Processes, Now);
      Spent += spendAll(Budget);
    }
    Now = Start;
  }
  CHECK(Spent <= Settings.Base);
}
