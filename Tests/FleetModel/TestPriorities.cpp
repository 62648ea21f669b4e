//===- TestPriorities.cpp - Urgent requests beside less urgent ones -------===//
//
// The rate of urgent requests stays the same; that of less urgent ones rises.
// Engines admit urgent requests first, and take nothing back from others.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace figlift::dispatch::test;
using std::chrono::milliseconds;

TEST_GROUP(Priorities){
    // The leak detector searches all allocations at each release, which slows
    // the simulation down.
    void setup()
        override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}

/// 25 gateways with views 150 ms old; three in ten requests are urgent at
/// normal load.
FleetOptions options(double Load) {
  FleetOptions Options;
  Options.Gateways = 25;
  Options.ReportInterval = milliseconds(150);
  Options.Rate = 1100;
  Options.UrgentShare = 0.3;
  Options.Load = Load;
  Options.Duration = milliseconds(4000);
  return Options;
}

/// The share may be below that of calm hours by Loss.
void checkUrgentAreServed(const FleetOptions &Options, double Calm) {
  constexpr double Loss = 0.02;
  const FleetResult Result = FleetModel(Options).run();
  const std::string Message =
      std::to_string(Result.Urgent.share()) + " of the urgent and " +
      std::to_string(Result.LessUrgent.share()) +
      " of the less urgent requests were served on time; in calm hours " +
      std::to_string(Calm);
  CHECK_TRUE_TEXT(Result.Urgent.share() >= Calm - Loss, Message.c_str());
  CHECK_TRUE_TEXT(Result.Urgent.share() >= Result.LessUrgent.share() - 0.05,
                  Message.c_str());
}
double calmShare() { return FleetModel(options(1)).run().Urgent.share(); }
}
;

// Failure: a burst of less urgent requests takes slots and queue places that
// urgent requests need a moment later.
TEST(Priorities, UrgentRequestsAreServedDuringALessUrgentBurst) {
  const double Calm = calmShare();
  CHECK(Calm > 0.98);
  for (const double Load : {3.0, 5.0})
    checkUrgentAreServed(options(Load), Calm);
  FleetOptions Without = options(3);
  Without.SendsPriorities = false;
  Without.KeepsReserve = false;
  CHECK(FleetModel(Without).run().Urgent.share() < Calm - 0.1);
}

// Failure: after a lost report gateways plan urgent requests behind work that
// has ended, or less urgent ones as if there were no other.
TEST(Priorities, UrgentRequestsAreServedWhileReportsAreLost) {
  FleetOptions Options = options(3);
  Options.LostReports = 0.2;
  checkUrgentAreServed(Options, calmShare());
}

// Failure: while half of the gateways run the earlier program, whose reports
// have no priorities, their work hides urgent work or counts as urgent.
TEST(Priorities, UrgentRequestsAreServedBesideOlderReports) {
  FleetOptions Options = options(3);
  Options.GatewaysWithoutPriorities = 12;
  checkUrgentAreServed(Options, calmShare());
}

// Failure: less urgent requests are rejected although there is capacity.
TEST(Priorities, NothingIsRejectedAtNormalLoad) {
  const FleetResult Result = FleetModel(options(1)).run();
  CHECK(Result.LessUrgent.share() > 0.98);
  CHECK(Result.GatewayRejections < 0.01 * Result.Requested);
}

// Failure: less urgent requests are starved under overload.
TEST(Priorities, LessUrgentRequestsKeepAQuarterOfTheMeanShare) {
  const FleetResult Result = FleetModel(options(5)).run();
  const double Mean = static_cast<double>(Result.OnTime) / Result.Requested;
  CHECK(Result.LessUrgent.share() >= 0.25 * Mean);
}
