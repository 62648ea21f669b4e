//===- TestBursts.cpp - Many gateways at several times normal load --------===//
//
// The load rises to three to five times the normal rate within a second, which
// is up to twice the capacity of the engines, and stays there for a second or
// two. Without the mechanisms tested here, engines stay as busy as ever, but
// nearly every response is late, and full engines reject as many decode
// requests as they complete.
//
// A response is on time if it begins within its latency target, counted from
// when a gateway received the request, as no gateway knows of earlier
// rejections.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace figlift::dispatch::test;
using std::chrono::milliseconds;

TEST_GROUP(Bursts){
    // The leak detector searches all allocations at each release, which slows
    // the simulation down.
    void setup()
        override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}

/// Compares the responses on time per second at three and five times the load
/// with the maximum at any load.
void checkGoodput(FleetOptions Options) {
  constexpr double MinimumFraction = 0.8;
  double HighestGoodput = 0;
  std::vector<std::pair<double, double>> Overloads;
  for (const double Load : {1.5, 2.0, 3.0, 5.0}) {
    Options.Load = Load;
    const double Goodput = FleetModel(Options).run().Goodput;
    HighestGoodput = std::max(HighestGoodput, Goodput);
    if (Load >= 3)
      Overloads.emplace_back(Load, Goodput);
  }
  for (const auto &[Load, Goodput] : Overloads) {
    const std::string Message =
        std::to_string(Goodput) + " responses on time per second at " +
        std::to_string(Load) + " times the load, the maximum at any load is " +
        std::to_string(HighestGoodput);
    CHECK_TRUE_TEXT(Goodput >= MinimumFraction * HighestGoodput,
                    Message.c_str());
  }
}
}
;

TEST(Bursts, HoldsGoodputWithReportsOfOneHundredGateways) {
  FleetOptions Options;
  Options.Gateways = 103;
  Options.ReportInterval = milliseconds(150);
  checkGoodput(Options);
}

TEST(Bursts, HoldsGoodputWithFreshReports) {
  FleetOptions Options;
  Options.Gateways = 30;
  Options.ReportInterval = milliseconds(60);
  checkGoodput(Options);
}

TEST(Bursts, HoldsGoodputWithReportsHalfASecondOld) {
  FleetOptions Options;
  Options.Gateways = 200;
  Options.ReportInterval = milliseconds(500);
  checkGoodput(Options);
}

TEST(Bursts, HoldsGoodputWithAlternatingLoad) {
  FleetOptions Options;
  Options.SwingPeriod = milliseconds(700);
  checkGoodput(Options);
}

TEST(Bursts, HoldsGoodputWithFewDecodeEngines) {
  FleetOptions Options;
  Options.PrefillEngines = 38;
  Options.DecodeEngines = 20;
  checkGoodput(Options);
}

TEST(Bursts, HoldsGoodputWithFewPrefillEngines) {
  FleetOptions Options;
  Options.PrefillEngines = 12;
  Options.DecodeEngines = 46;
  checkGoodput(Options);
}

// A burst of long prompts with few prefill engines: decode engines prefill what
// waits there.
TEST(Bursts, DecodeEnginesTakePromptsThatFewPrefillEnginesCannot) {
  FleetOptions Options;
  Options.Gateways = 20;
  Options.ReportInterval = milliseconds(50);
  Options.Rate = 460;
  Options.PrefillEngines = 5;
  Options.DecodeEngines = 25;
  Options.Load = 3;
  const double Goodput = FleetModel(Options).run().Goodput;
  Options.Spills = false;
  CHECK(Goodput > 1.2 * FleetModel(Options).run().Goodput);
}

// The same with few decode engines: what they would prefill delays the prompts
// that others have prefilled for them.
TEST(Bursts, FewDecodeEnginesAreNotOverloadedWithPrefills) {
  FleetOptions Options;
  Options.PrefillEngines = 40;
  Options.DecodeEngines = 18;
  Options.Load = 3;
  const double Goodput = FleetModel(Options).run().Goodput;
  Options.Spills = false;
  CHECK(Goodput > 0.95 * FleetModel(Options).run().Goodput);
}

/// Half of the engines reject everything for half a second and ask for a pause
/// of 3 s, at twice the load.
FleetOptions pausingHalf() {
  FleetOptions Options;
  Options.Gateways = 30;
  Options.ReportInterval = milliseconds(60);
  Options.Load = 2;
  Options.Duration = milliseconds(5000);
  Options.RejectingShare = 0.5;
  return Options;
}

// Failure: engines that have asked for a pause get requests, each of which is
// rejected and has to be sent again.
TEST(Bursts, EnginesGetNoRequestsDuringAPause) {
  FleetOptions Options = pausingHalf();
  const FleetResult Result = FleetModel(Options).run();
  CHECK(Result.PausesAskedFor > 100);
  LONGS_EQUAL(0, Result.MostRequestsDuringPause);
  Options.KeepsPauses = false;
  const FleetResult Without = FleetModel(Options).run();
  CHECK(Without.MostRequestsDuringPause > 2);
  CHECK(Result.PausesAskedFor < Without.PausesAskedFor);
}

// Failure: the rest of the engines do less than they can while the others
// pause.
TEST(Bursts, TheOtherEnginesServeWhatTheyCanDuringAPause) {
  FleetOptions Options = pausingHalf();
  const FleetResult Result = FleetModel(Options).run();
  FleetOptions Half = Options;
  Half.RejectingShare = 0;
  Half.PrefillEngines /= 2;
  Half.DecodeEngines /= 2;
  const FleetResult HalfFleet = FleetModel(Half).run();
  for (const size_t Second : {2, 3})
    CHECK(Result.OnTimeBySecond.at(Second) >=
          0.8 * HalfFleet.OnTimeBySecond.at(Second));
}

// Failure: after a pause of all engines, which ends for all at once, callers
// return in one moment and fill the first engines up.
TEST(Bursts, ServesAsBeforeAfterAPauseOfAllEngines) {
  FleetOptions Options = pausingHalf();
  Options.Gateways = 4;
  Options.PrefillEngines = 3;
  Options.DecodeEngines = 5;
  Options.Rate = 200;
  Options.Load = 1;
  Options.Duration = milliseconds(7000);
  Options.RejectingShare = 1;
  const FleetResult Result = FleetModel(Options).run();
  LONGS_EQUAL(0, Result.MostRequestsDuringPause);
  // Nothing is sent from two to four and a half seconds after the start.
  LONGS_EQUAL(0, Result.OnTimeBySecond.at(3));
  CHECK(Result.OnTimeBySecond.at(5) >= 0.9 * Options.Rate);
  CHECK(Result.OnTimeBySecond.at(6) >= 0.9 * Options.Rate);
  CHECK(Result.EngineRejections - Result.PausesAskedFor < 100);
}

// At normal load, all requests are served on time.
TEST(Bursts, RejectsNothingAtNormalLoad) {
  const FleetResult Result = FleetModel({}).run();
  LONGS_EQUAL(0, Result.GatewayRejections);
  CHECK(Result.OnTime >= 0.99 * Result.Requested);
}
