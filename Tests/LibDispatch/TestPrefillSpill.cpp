//===- TestPrefillSpill.cpp - Tests of prompts at decode engines ----------===//
//
// The share of late prompts that decode engines prefill, by their outcomes.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PrefillSpill.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(PrefillSpill) { PrefillSpill Spill; };

TEST(PrefillSpill, GrowsWhilePromptsAreInTime) {
  for (int I = 0; I < 10; ++I)
    Spill.recordSpilled(true);
  DOUBLES_EQUAL(1, Spill.share(), 1e-9);
}

// Failure: decode engines that are busy with streams get more and more prompts
// to prefill, and all of their work is late.
TEST(PrefillSpill, FallsWithinAFewLatePrompts) {
  for (int I = 0; I < 10; ++I)
    Spill.recordSpilled(false);
  CHECK(Spill.share() < 0.06);
  for (int I = 0; I < 100; ++I)
    Spill.recordLateSmallPrompt();
  // Never zero, or it could not recover.
  CHECK(Spill.share() > 0);
}

TEST(PrefillSpill, StaysHighIfOneInTenIsLate) {
  for (int I = 0; I < 200; ++I)
    Spill.recordSpilled(I % 10 != 0);
  CHECK(Spill.share() > 0.7);
}

// Failure: prompts at decode engines lengthen the streams there, prefill
// engines become decode engines, and still more prompts go to decode engines.
TEST(PrefillSpill, RemembersThatPrefillEnginesAreShort) {
  const figlift::BootTime Now(std::chrono::seconds(100));
  CHECK(!Spill.isPrefillShort(Now));
  Spill.recordPlaced(Now);
  CHECK(Spill.isPrefillShort(Now + std::chrono::milliseconds(2900)));
  CHECK(!Spill.isPrefillShort(Now + std::chrono::seconds(3)));
}
