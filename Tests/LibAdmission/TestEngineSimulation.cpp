//===- TestEngineSimulation.cpp - Admission with a small engine -*- C++ -*-===//
//
// Measured speeds under mixed work, and goodput under overload.
//
//===----------------------------------------------------------------------===//

#include "EngineSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::admission;
using namespace figlift::admission::test;

namespace {

Work work(uint32_t Prompt, uint32_t Output,
          ServiceClass Class = ServiceClass::Interactive) {
  Work Request;
  Request.Class = Class;
  Request.PromptTokens = Prompt;
  Request.MaximumTokens = Output;
  return Request;
}

/// Offers 150 % of the engine's capacity. Returns the answers that met their
/// deadline as a fraction of the engine's capacity.
double goodput(bool Deadlines) {
  AdmissionSettings Settings;
  Settings.Classes[1].MaximumQueuedTokens = 400000;
  EngineSimulation Engine(Settings);
  constexpr milliseconds TimeLimit{3000};
  constexpr double Capacity = EngineSimulation::PrefillRate / 4000;
  constexpr int Requests = 300;
  for (int I = 0; I < Requests; ++I) {
    Engine.runUntil(Seconds(I / (1.5 * Capacity)));
    Work Request = work(4000, 1);
    if (Deadlines)
      Request.Deadline = Engine.now() + TimeLimit;
    Engine.arrive(Request, TimeLimit);
  }
  const Seconds End = Engine.elapsed();
  Engine.runUntil(End + Seconds(60));
  return Engine.InTime / (End.count() * Capacity);
}

} // namespace

TEST_GROUP(EngineSimulation){};

// Guards against speeds that are too low: prefill and decode share the engine,
// and if each is timed independently, busy time is counted twice, and the
// planner considers a half utilized engine overloaded.
TEST(EngineSimulation, MeasuresBothSpeedsUnderMixedWork) {
  for (const uint32_t Prompt : {500u, 1500u, 3000u}) {
    EngineSimulation Engine{AdmissionSettings{}};
    for (int I = 0; I < 400; ++I) {
      Engine.runUntil(Seconds(I * 0.25));
      // Send bursts, so that the mix of work varies between windows.
      for (int J = 0; J < (I / 8) % 3; ++J)
        Engine.arrive(work(Prompt, 30), milliseconds(60000));
    }
    const auto Load = Engine.Controller.load(Engine.now());
    DOUBLES_EQUAL(20000, Load.PrefillTokensPerSecond, 4000);
    DOUBLES_EQUAL(64 / 0.02, Load.DecodeTokensPerSecond, 640);
  }
}

// Guards against a prefill speed that is four times too high, for which entries
// send more work than the engine can do in time: if prompts are always at the
// engine, every measured decode step includes prefill, and must not be
// subtracted from the prefill time.
TEST(EngineSimulation, PrefillSpeedIsUsableWithoutPureDecodeSteps) {
  EngineSimulation Engine{AdmissionSettings{}};
  for (int I = 0; I < 100; ++I) {
    Engine.runUntil(Seconds(I * 0.25));
    Engine.arrive(work(6000, 30), milliseconds(60000));
  }
  const auto Load = Engine.Controller.load(Engine.now());
  DOUBLES_EQUAL(20000, Load.PrefillTokensPerSecond, 5000);
  CHECK(Load.DecodeTokensPerSecond > 0);
}

// Guards against an engine that is fully utilized while nearly every answer
// misses its deadline: at 150 % of its capacity, first come first served, every
// request waits too long unless work that cannot meet its deadline is refused.
TEST(EngineSimulation, DeadlinesPreserveGoodputUnderOverload) {
  CHECK(goodput(true) > 0.9);
  CHECK(goodput(false) < 0.5);
}
