//===- TestHybridClock.cpp - Order of stamps --------------------*- C++ -*-===//
//
// A cause is stamped before its effect whatever the wall clocks say, and no
// wrong clock spoils the others for good.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/HybridClock.h"

#include <algorithm>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::timeline;
using std::chrono::milliseconds;

namespace {

WallTime at(int64_t Milliseconds) {
  return WallTime(milliseconds(Milliseconds));
}

} // namespace

TEST_GROUP(HybridClock){};

TEST(HybridClock, StepsFollowTheTable) {
  struct Case {
    Stamp Last, Received;
    int64_t Wall;
    Stamp Wanted;
  };
  auto S = [](int64_t Milliseconds, uint16_t Counter) {
    return Stamp::of(at(Milliseconds), Counter);
  };
  const Case Cases[] = {
      {{}, {}, 50, S(50, 0)},                // first event
      {S(50, 3), {}, 50, S(50, 4)},          // same millisecond
      {S(50, 3), {}, 40, S(50, 4)},          // clock stepped back
      {S(50, 0xffff), {}, 50, S(51, 0)},     // full counter
      {S(50, 3), S(50, 9), 50, S(50, 10)},   // peer is ahead
      {S(50, 3), S(49, 9), 50, S(50, 4)},    // peer is behind
      {S(50, 3), S(70, 0), 50, S(70, 1)},    // peer's clock is fast
      {S(50, 3), S(60051, 0), 50, S(50, 4)}, // peer's clock is wrong
  };
  for (const auto &[Last, Received, Wall, Wanted] : Cases) {
    CHECK(merge(Last, Received, at(Wall)) == Wanted);
    if (Received.isNone())
      CHECK(advance(Last, at(Wall)) == Wanted);
  }
}

TEST(HybridClock, AnEffectIsStampedAfterItsCauseDespiteSkew) {
  // Symptom: the time line shows an answer before its question. Sequence: the
  // question's sender has a clock 400 ms ahead of the receiver's. Cause:
  // stamps from wall clocks alone.
  HybridClock Fast([] { return at(10400); });
  HybridClock Slow([] { return at(10000); });
  Stamp Sent = Fast.tick();
  Stamp Received = Slow.mergeReceived(Sent.Value);
  CHECK(Sent < Received);
  CHECK(Received < Fast.mergeReceived(Slow.encode()));
  CHECK(Slow.mergeReceived(0) > Received);
}

TEST(HybridClock, StampsSurviveTheirText) {
  Stamp Some = Stamp::of(at(1700000000123), 77);
  CHECK(Stamp::parse(Some.toString()).value() == Some);
  CHECK(Some.wallTime() == at(1700000000123) && Some.counter() == 77);
  for (const char *Text : {"", "x", "1x", "-1", "18446744073709551616", " 1"})
    CHECK(!Stamp::parse(Text));
}

TEST(HybridClock, ThreadsNeverGetTheSameStamp) {
  HybridClock Clock([] { return at(1); });
  std::vector<std::vector<Stamp>> Got(4);
  {
    std::vector<std::jthread> Threads;
    for (auto &Own : Got)
      Threads.emplace_back([&] {
        for (int I = 0; I < 5000; ++I)
          Own.push_back(Clock.tick());
      });
  }
  std::vector<Stamp> All;
  for (auto &Own : Got) {
    CHECK(std::ranges::is_sorted(Own));
    All.insert(All.end(), Own.begin(), Own.end());
  }
  std::ranges::sort(All);
  CHECK(std::ranges::adjacent_find(All) == All.end());
}
