//===- TestEngineSwitches.cpp - Engines that change their stage -----------===//
//
// How long an engine counts as unavailable after an order.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineSwitches.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(EngineSwitches) {
  EngineSwitches Switches;
  Target Engine;
  bool IsListed = true;
  BootTime Now{std::chrono::seconds(100)};

  void setup() override {
    Engine.Id = "e";
    Engine.EngineStage = Stage::Decode;
    Switches.recordOrder("e", "s", Stage::Prefill, Now + milliseconds(3700));
  }
  /// Time for which the engine counts as unavailable from now on.
  milliseconds unavailableFor() {
    const BootTime Begin = Now;
    for (int Tick = 0; Tick < 400; ++Tick) {
      Switches.update(
          [&](const std::string &) { return IsListed ? &Engine : nullptr; },
          Now);
      if (Switches.all().empty())
        break;
      Now += milliseconds(100);
    }
    return std::chrono::duration_cast<milliseconds>(Now - Begin);
  }
};

// Failure: gateways send work to an engine that still ends its streams before
// it changes, and that rejects what they send.
TEST(EngineSwitches, KeepsAnEngineUnavailableUntilItIsListed) {
  Switches.recordAcceptance("e");
  Now += milliseconds(9000);
  const auto Extended =
      Switches.update([&](const std::string &) { return &Engine; }, Now);
  LONGS_EQUAL(1, Extended.size());
  CHECK(*Switches.until("e") > Now);
  Engine.EngineStage = Stage::Prefill;
  LONGS_EQUAL(0, unavailableFor().count());
}

// Failure: an order is lost on its way, and the whole fleet sends nothing for
// 19 s to an engine that goes on working.
TEST(EngineSwitches, ExtendsNoOrderThatWasNotAccepted) {
  LONGS_EQUAL(3700, unavailableFor().count());
}

// Failure: a change that never completes makes the engine unavailable for good.
TEST(EngineSwitches, EndsAFailedChange) {
  Switches.recordAcceptance("e");
  LONGS_EQUAL(3700 + 15000, unavailableFor().count());
}

TEST(EngineSwitches, ForgetsEnginesThatAreNoLongerListed) {
  Switches.recordAcceptance("e");
  IsListed = false;
  LONGS_EQUAL(0, unavailableFor().count());
}
