//===- TestEngineTrial.cpp - Admission before a small engine ----*- C++ -*-===//
//
// Measured speeds under mixed work, and goodput under overload.
//
//===----------------------------------------------------------------------===//

#include "EngineTrial.h"

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

/// Half as much again as the engine can do; returns the part of the answers
/// that the engine could have given in time.
double goodput(bool Deadlines) {
  AdmissionSettings Settings;
  Settings.Classes[1].MaximumQueuedTokens = 400000;
  EngineTrial Engine(Settings);
  constexpr milliseconds Patience{3000};
  constexpr double Capacity = EngineTrial::PrefillRate / 4000;
  constexpr int Requests = 300;
  for (int I = 0; I < Requests; ++I) {
    Engine.runUntil(Seconds(I / (1.5 * Capacity)));
    Work Request = work(4000, 1);
    if (Deadlines)
      Request.Deadline = Engine.now() + Patience;
    Engine.arrive(Request, Patience);
  }
  const Seconds End = Engine.elapsed();
  Engine.runUntil(End + Seconds(60));
  return Engine.InTime / (End.count() * Capacity);
}

} // namespace

TEST_GROUP(EngineTrial){};

// Symptom: the planner takes a half busy engine for overloaded.
// Sequence: prompts and answers share the engine; each is timed by itself, so
// each time contains the other.
// Cause: busy time counted twice.
TEST(EngineTrial, SpeedsAreToldApartUnderMixedWork) {
  for (const uint32_t Prompt : {500u, 1500u, 3000u}) {
    EngineTrial Engine{AdmissionSettings{}};
    for (int I = 0; I < 400; ++I) {
      Engine.runUntil(Seconds(I * 0.25));
      // Bursts, so that the mix of the windows varies.
      for (int J = 0; J < (I / 8) % 3; ++J)
        Engine.arrive(work(Prompt, 30), milliseconds(60000));
    }
    const auto Load = Engine.Book.load(Engine.now());
    DOUBLES_EQUAL(20000, Load.PrefillTokensPerSecond, 4000);
    DOUBLES_EQUAL(64 / 0.02, Load.DecodeTokensPerSecond, 640);
  }
}

// Symptom: an entry believes in four times the engine's speed, and sends it
// work that it cannot do in time.
// Sequence: prompts are at the engine from the first moment on; no decode step
// was ever seen without them.
// Cause: a step that contains prompts was taken out of the prompts' time.
TEST(EngineTrial, NoPureStepLeavesThePromptSpeedUsable) {
  EngineTrial Engine{AdmissionSettings{}};
  for (int I = 0; I < 100; ++I) {
    Engine.runUntil(Seconds(I * 0.25));
    Engine.arrive(work(6000, 30), milliseconds(60000));
  }
  const auto Load = Engine.Book.load(Engine.now());
  DOUBLES_EQUAL(20000, Load.PrefillTokensPerSecond, 5000);
  CHECK(Load.DecodeTokensPerSecond > 0);
}

// Symptom: the engine is fully busy, and nearly every answer comes too late.
// Sequence: half as much again arrives as the engine can do; first come first
// served, everybody waits longer than their patience.
// Cause: work is taken that can no longer make its deadline.
TEST(EngineTrial, DeadlinesKeepGoodputUnderOverload) {
  CHECK(goodput(true) > 0.9);
  CHECK(goodput(false) < 0.5);
}
