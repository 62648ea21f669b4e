//===- TestHybridClock.cpp - Causal order of stamps -------------*- C++ -*-===//
//
// A cause is stamped before its effect regardless of wall clock skew, and a
// wrong clock does not permanently advance the clocks of other processes.
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

TEST(HybridClock, AdvanceAndMergeFollowTable) {
  struct Case {
    Stamp Last, Received;
    int64_t Wall;
    Stamp Expected;
  };
  auto S = [](int64_t Milliseconds, uint16_t Counter) {
    return Stamp::of(at(Milliseconds), Counter);
  };
  const Case Cases[] = {
      {{}, {}, 50, S(50, 0)},                // first event
      {S(50, 3), {}, 50, S(50, 4)},          // same millisecond
      {S(50, 3), {}, 40, S(50, 4)},          // clock set back
      {S(50, 0xffff), {}, 50, S(51, 0)},     // counter overflow
      {S(50, 3), S(50, 9), 50, S(50, 10)},   // peer is ahead
      {S(50, 3), S(49, 9), 50, S(50, 4)},    // peer is behind
      {S(50, 3), S(70, 0), 50, S(70, 1)},    // peer's clock is fast
      {S(50, 3), S(60051, 0), 50, S(50, 4)}, // peer exceeds maximum skew
  };
  for (const auto &[Last, Received, Wall, Expected] : Cases) {
    CHECK(merge(Last, Received, at(Wall)) == Expected);
    if (Received.isNone())
      CHECK(advance(Last, at(Wall)) == Expected);
  }
}

TEST(HybridClock, StampsEffectAfterCauseDespiteSkew) {
  // Guards against a timeline that shows a response before its request. With
  // stamps from wall clocks alone, this happens if the sender's clock is 400 ms
  // ahead of the receiver's.
  HybridClock Fast([] { return at(10400); });
  HybridClock Slow([] { return at(10000); });
  Stamp Sent = Fast.tick();
  Stamp Received = Slow.mergeReceived(Sent.Value);
  CHECK(Sent < Received);
  CHECK(Received < Fast.mergeReceived(Slow.encode()));
  CHECK(Slow.mergeReceived(0) > Received);
}

TEST(HybridClock, StampsRoundTripThroughText) {
  Stamp Original = Stamp::of(at(1700000000123), 77);
  CHECK(Stamp::parse(Original.toString()).value() == Original);
  CHECK(Original.wallTime() == at(1700000000123) && Original.counter() == 77);
  for (const char *Text : {"", "x", "1x", "-1", "18446744073709551616", " 1"})
    CHECK(!Stamp::parse(Text));
}

TEST(HybridClock, StampsAreUniqueAcrossThreads) {
  HybridClock Clock([] { return at(1); });
  std::vector<std::vector<Stamp>> StampsByThread(4);
  {
    std::vector<std::jthread> Threads;
    for (auto &Stamps : StampsByThread)
      Threads.emplace_back([&] {
        for (int I = 0; I < 5000; ++I)
          Stamps.push_back(Clock.tick());
      });
  }
  std::vector<Stamp> All;
  for (auto &Stamps : StampsByThread) {
    CHECK(std::ranges::is_sorted(Stamps));
    All.insert(All.end(), Stamps.begin(), Stamps.end());
  }
  std::ranges::sort(All);
  CHECK(std::ranges::adjacent_find(All) == All.end());
}
