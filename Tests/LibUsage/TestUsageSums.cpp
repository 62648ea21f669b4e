//===- TestUsageSums.cpp - Tests of clocks, meters and ledgers ------------===//
//
// What gateways count, and what the one that reports makes of it.
//
//===----------------------------------------------------------------------===//

#include "LibUsage/FleetClock.h"
#include "LibUsage/UsageLedger.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::usage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Length{5000};
/// Start of window 1000.
const WallTime Start{Length * 1000};
const BootTime Boot{seconds(100)};

} // namespace

TEST_GROUP(FleetClock){};

TEST(FleetClock, FollowsItsOwnClockWithoutPeers) {
  FleetClock Clock;
  Clock.recordOwn(Start, Boot);
  CHECK(Clock.at(Boot + seconds(2)) == Start + seconds(2));
}

// Failure: the time of day of one VM jumps, and it reports the counts of
// another window.
TEST(FleetClock, IsNotMovedByOneClockThatJumps) {
  FleetClock Clock;
  Clock.recordOwn(Start, Boot);
  Clock.recordPeer("a", Start - milliseconds(3), Boot);
  Clock.recordPeer("b", Start - milliseconds(1), Boot);
  Clock.recordOwn(Start + seconds(40), Boot);
  CHECK(Clock.at(Boot) == Start - milliseconds(1));
  Clock.recordOwn(Start, Boot);
  Clock.recordPeer("a", Start - seconds(40), Boot + seconds(1));
  CHECK(Clock.at(Boot + seconds(1)) >= Start + milliseconds(999));
}

TEST(FleetClock, UsesTheMessageWithTheShortestDelay) {
  FleetClock Clock;
  Clock.recordOwn(Start - seconds(60), Boot);
  Clock.recordPeer("a", Start, Boot);
  Clock.recordPeer("a", Start, Boot + milliseconds(80));
  Clock.recordPeer("b", Start, Boot);
  CHECK(Clock.at(Boot) == Start);
}

TEST(FleetClock, ForgetsSilentPeers) {
  FleetClock Clock;
  Clock.recordOwn(Start, Boot);
  Clock.recordPeer("a", Start + seconds(9), Boot);
  Clock.recordPeer("b", Start + seconds(9), Boot);
  CHECK(Clock.at(Boot + seconds(4)) == Start + seconds(4));
}

TEST_GROUP(UsageSums) {
  UsageMeter Meter{Length};
  UsageLedger Ledger;

  UsageUpdate updateOf(const char *Sender, uint64_t Incarnation,
                       std::vector<WindowSum> Sums) {
    return {Sender, Incarnation, std::move(Sums)};
  }
};

TEST(UsageSums, CountByWindow) {
  LONGS_EQUAL(1000, Meter.recordStart("t", Start));
  LONGS_EQUAL(1000, Meter.recordStart("t", Start + milliseconds(4999)));
  LONGS_EQUAL(1001, Meter.recordStart("t", Start + seconds(5)));
  const auto Sums = Meter.sums(Start + milliseconds(5100));
  // Earlier windows are final, and without requests.
  LONGS_EQUAL(5, Sums.size());
  CHECK(Sums[2].Final && Sums[2].Requests.empty());
  LONGS_EQUAL(1000, Sums[3].Window);
  LONGS_EQUAL(2, Sums[3].Requests.at("t"));
  CHECK(!Sums[3].Final);
  LONGS_EQUAL(1, Sums[4].Requests.at("t"));
}

// Failure: a request that its server rejected is billed.
TEST(UsageSums, LeaveOutRequestsThatDidNotRun) {
  const WindowNumber Window = Meter.recordStart("t", Start);
  Meter.undoStart("t", Window);
  Meter.undoStart("t", Window);
  Meter.undoStart("other", Window + 9);
  Ledger.apply(updateOf("a", 1, Meter.sums(Start + seconds(6))));
  CHECK(Ledger.totals(1000).empty());
}

TEST(UsageSums, AreFinalAfterTheEndOfTheirWindow) {
  const auto Sums = Meter.sums(Start + milliseconds(5800));
  LONGS_EQUAL(1000, Sums.back().Window);
  CHECK(Sums.back().Final);
  CHECK(Meter.sums(Start + milliseconds(5700)).back().Window == 999);
}

TEST(UsageSums, AddUpOverGatewaysAndTheirStarts) {
  Ledger.apply(updateOf("a", 1, {{1000, false, {{"t", 5}}}}));
  Ledger.apply(updateOf("a", 1, {{1000, false, {{"t", 7}}}}));
  Ledger.apply(updateOf("a", 2, {{1000, true, {{"t", 1}, {"u", 2}}}}));
  Ledger.apply(updateOf("b", 1, {{1000, true, {{"u", 3}}}}));
  CHECK(Ledger.totals(1000) == (Counts{{"t", 8}, {"u", 5}}));
  CHECK(Ledger.isComplete(1000, {"a", "b"}));
  CHECK(!Ledger.isComplete(1000, {"a", "b", "c"}));
  CHECK(!Ledger.isComplete(1001, {"a"}));
}

// Failure: a late message replaces the final sum with a smaller one.
TEST(UsageSums, StayFinal) {
  Ledger.apply(updateOf("a", 1, {{1000, true, {{"t", 7}}}}));
  Ledger.apply(updateOf("a", 1, {{1000, false, {{"t", 6}}}}));
  LONGS_EQUAL(7, Ledger.totals(1000).at("t"));
}

TEST(UsageSums, AreForgottenOnceReported) {
  Meter.recordStart("t", Start);
  Meter.forgetThrough(1000);
  CHECK(Meter.sums(Start + seconds(6)).empty());
  Ledger.apply(updateOf("a", 1, {{1000, true, {{"t", 7}}}}));
  Ledger.forgetThrough(1000);
  Ledger.apply(updateOf("a", 1, {{1000, true, {{"t", 7}}}}));
  CHECK(Ledger.totals(1000).empty());
}

TEST(UsageSums, ArriveAsTheyWereSent) {
  const auto Decoded = decodeUsageUpdate(
      encodeUsageUpdate(updateOf("a", 9, {{1000, true, {{"t", 7}}}})));
  CHECK(Decoded.has_value());
  LONGS_EQUAL(9, Decoded.value().Incarnation);
  CHECK(Decoded.value().Sums[0].Requests == (Counts{{"t", 7}}));
  CHECK(!decodeUsageUpdate("x").has_value());
  CHECK(!decodeReport(R"({"window":"x"})").has_value());
  const Report Written{1000, {{"t", 7}, {"u", 1}}};
  CHECK(decodeReport(encodeReport(Written)).value() == Written);
}
