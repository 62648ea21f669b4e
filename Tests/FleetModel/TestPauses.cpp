//===- TestPauses.cpp - Long streams on engines of two speeds -------------===//
//
// Half of the decode engines take 65 ms from one event to the next, the others
// 30 ms. All are slower by 2.5 for 15% of the time, so that a long stream at a
// slow engine has a pause of 162 ms, where 150 ms are allowed.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace figlift::dispatch;
using namespace figlift::dispatch::test;

TEST_GROUP(Pauses) {
  FleetOptions Options;

  // The leak detector searches all allocations at each release, which slows the
  // simulation down.
  void setup() override {
    MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    Options.Gateways = 25;
    Options.PrefillEngines = 8;
    Options.DecodeEngines = 8;
    Options.Rate = 200;
    Options.Duration = std::chrono::seconds(20);
    Options.FastInterval = Milliseconds(30);
    Options.SlowInterval = Milliseconds(65);
  }
  void teardown() override {
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
  }
  /// Share of the long streams without too long a pause, over two seeds: a
  /// minute of one has some 150 streams.
  double shareOnTime(bool PlacesByPauses) {
    Options.Duration = std::chrono::seconds(60);
    Options.PlacesByPauses = PlacesByPauses;
    unsigned OnTime = 0;
    unsigned Streams = 0;
    for (Options.Seed = 1; Options.Seed <= 2; ++Options.Seed) {
      const FleetResult Result = FleetModel(Options).run();
      OnTime += Result.StreamsWithoutLongPause;
      Streams += Result.Streams;
    }
    return OnTime / double(Streams);
  }
};

// Failure: streams are placed without regard to the speed of the engines, and
// many of them are late by a single pause. Not all are on time: the intervals
// of an engine that gets no streams decay, and it is tried again. Over four
// seeds of a minute 0.54 to 0.83 were on time without, 0.90 to 0.92 with.
TEST(Pauses, KeepLongStreamsOnTime) {
  const double Without = shareOnTime(false);
  const double With = shareOnTime(true);
  const std::string Message = std::to_string(Without) + " on time without, " +
                              std::to_string(With) + " with";
  CHECK_TRUE_TEXT(With > 0.85, Message.c_str());
  CHECK_TRUE_TEXT((1 - With) * 2 < 1 - Without, Message.c_str());
}

// Failure: all gateways send their streams to the one engine that looks best.
TEST(Pauses, SpreadLongStreamsOverTheFastEngines) {
  const FleetResult Result = FleetModel(Options).run();
  unsigned Most = 0;
  for (const auto &[Id, Streams] : Result.StreamsByEngine)
    Most = std::max(Most, Streams);
  CHECK(Most * 2 < Result.Streams);
}

// Failure: all engines are too slow, and requests are refused or late for it.
TEST(Pauses, ServeAsBeforeIfAllEnginesAreSlow) {
  Options.FastInterval = Options.SlowInterval;
  Options.PlacesByPauses = false;
  const FleetResult Without = FleetModel(Options).run();
  Options.PlacesByPauses = true;
  const FleetResult With = FleetModel(Options).run();
  // The first events are not later for it, and no more requests are refused.
  CHECK(With.OnTime * 100 >= Without.OnTime * 99);
  CHECK(With.GatewayRejections <= Without.GatewayRejections + 5);
}
