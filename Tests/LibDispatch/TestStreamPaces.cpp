//===- TestStreamPaces.cpp - Pauses of streams by target ------------------===//
//
// Intervals of one stream, averages over the fleet, and what is expected of a
// target.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LoopDelay.h"
#include "LibDispatch/PaceUpdate.h"
#include "LibDispatch/StreamPaces.h"
#include "LibDispatch/StreamProgress.h"

#include <cmath>
#include <cstdint>
#include <map>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(StreamPaces) {
  StreamPaces Paces;
  BootTime Now{std::chrono::seconds(100)};
};

TEST(StreamPaces, ExpectsNothingOfAnUnknownTarget) {
  Paces.recordInterval("e", Milliseconds(500), 2, Now);
  CHECK(!Paces.expectedLongestPause("s", "e", Now));
}

TEST(StreamPaces, ExpectsTheMeanIntervalTimesTheRatioOfWholeStreams) {
  Paces.recordInterval("e", Milliseconds(60), 100, Now);
  for (int Count = 0; Count < 400; ++Count)
    Paces.recordPauseRatio("s", 2.5, Now);
  DOUBLES_EQUAL(150, Paces.expectedLongestPause("s", "e", Now)->count(), 2);
}

// Failure: a gateway that sees few streams does not notice that an engine is
// slow, although the streams of its peers show it.
TEST(StreamPaces, CountsTheIntervalsOfPeers) {
  Paces.recordInterval("e", Milliseconds(50), 10, Now);
  Paces.intervals().recordPeerReport("g2", {{"e", 9000, 90}}, Now);
  DOUBLES_EQUAL(95, Paces.meanInterval("e", Now)->count(), 0.01);
}

// Failure: a target stays slow, or quick, in the view of all because a gateway
// that measured it has ended or stands still.
TEST(StreamPaces, ForgetsAPeerThatReportsNoMore) {
  Paces.intervals().recordPeerReport("g2", {{"e", 20000, 100}}, Now);
  for (int Second = 0; Second < 20; ++Second) {
    Now += milliseconds(1000);
    Paces.recordInterval("e", Milliseconds(50), 10, Now);
  }
  CHECK(Paces.meanInterval("e", Now)->count() < 75);
}

// Failure: a lost report leaves gaps, or a repeated one counts twice.
TEST(StreamPaces, ReplacesTheReportOfAPeer) {
  for (int Repetition = 0; Repetition < 5; ++Repetition)
    Paces.intervals().recordPeerReport("g2", {{"e", 1000, 10}}, Now);
  Paces.recordInterval("e", Milliseconds(50), 10, Now);
  DOUBLES_EQUAL(75, Paces.meanInterval("e", Now)->count(), 0.01);
}

TEST(StreamPaces, RoundTripsAnUpdate) {
  const auto Read = decodePaceUpdate(
      encodePaceUpdate({"g1", {{"e", 1234.5, 20}}, {{"p", 1.5, 1}}, {}}));
  CHECK(Read.has_value());
  STRCMP_EQUAL("g1", Read.value().Sender.c_str());
  DOUBLES_EQUAL(1234.5, Read.value().Intervals.at(0).Sum, 0.01);
  DOUBLES_EQUAL(1.5, Read.value().ReadRatios.at(0).Sum, 0.01);
  CHECK(!decodePaceUpdate("x"));
}

namespace {

/// A pace update with one row of intervals.
std::string updateWithRow(const nlohmann::json &Row,
                          const std::string &Sender = "g1") {
  using Json = nlohmann::json;
  std::string Bytes;
  Json::to_cbor(
      Json::array({Sender, Json::array({Row}), Json::array(), Json::array()}),
      Bytes);
  return Bytes;
}

} // namespace

// Failure: a negative or huge number of samples outweighs what all gateways
// have measured, and a negative sum makes the mean interval negative. A number
// that is not an integer has no defined conversion if it is NaN or too large.
TEST(StreamPaces, RejectsAnUpdateWithImpossibleNumbers) {
  CHECK(decodePaceUpdate(updateWithRow({"e", 6000, 100})).has_value());
  CHECK(!decodePaceUpdate(updateWithRow({"e", -6000, 100})));
  CHECK(!decodePaceUpdate(updateWithRow({"e", 6000, -100})));
  CHECK(!decodePaceUpdate(updateWithRow({"e", 6000, 0})));
  CHECK(!decodePaceUpdate(updateWithRow({"e", 6000, INT64_MAX})));
  CHECK(!decodePaceUpdate(updateWithRow({"e", INT64_MAX, 100})));
  CHECK(!decodePaceUpdate(updateWithRow({"e", std::nan(""), 100})));
  CHECK(!decodePaceUpdate(updateWithRow({"e", 6000, 1e300})));
  CHECK(!decodePaceUpdate(updateWithRow({"e", 6000, HUGE_VAL})));
}

// Failure: this process stores its own samples without a name, so an update
// without a sender replaces them.
TEST(StreamPaces, RejectsAnUpdateWithoutSender) {
  CHECK(!decodePaceUpdate(updateWithRow({"e", 6000, 100}, "")));
}

// Failure: an engine restarts and this process drops what it knew of it, but a
// peer that has dropped its samples as well no longer lists the engine, so that
// its last report counts on.
TEST(StreamPaces, DropsWhatAPeerNoLongerReports) {
  Paces.intervals().recordPeerReport("g2", {{"e", 20000, 100}, {"f", 50, 1}},
                                     Now);
  Paces.intervals().recordPeerReport("g2", {{"f", 50, 1}}, Now);
  CHECK(!Paces.meanInterval("e", Now));
}

// Failure: each peer and each target that ever was stays in memory: gateways
// restart under new names, and streams may end after their target was removed.
TEST(StreamPaces, KeepsNoEntriesOfDeadPeersAndRemovedTargets) {
  for (int Peer = 0; Peer < 100; ++Peer)
    Paces.intervals().recordPeerReport("g" + std::to_string(Peer),
                                       {{"e", 1000, 10}}, Now);
  for (int Target = 0; Target < 100; ++Target)
    Paces.recordInterval("t" + std::to_string(Target), Milliseconds(60), 10,
                         Now);
  LONGS_EQUAL(200, Paces.intervals().entries());
  Now += std::chrono::seconds(90);
  Paces.recordInterval("e", Milliseconds(60), 10, Now);
  Paces.removeDecayed(Now);
  LONGS_EQUAL(1, Paces.intervals().entries());
  DOUBLES_EQUAL(60, Paces.meanInterval("e", Now)->count(), 0.5);
}

// Failure: an engine has restarted on slower hardware, or without the load that
// it had. A peer whose list is older still reports the previous start, and the
// averages that were dropped with it come back.
TEST(StreamPaces, DropsReportedSamplesOfAnotherStart) {
  const StartTime First{milliseconds(1000)};
  const StartTime Second{milliseconds(2000)};
  const auto Sent =
      decodePaceUpdate(encodePaceUpdate({"g1",
                                         {{"old", 6000, 100, First},
                                          {"new", 6000, 100, Second},
                                          {"silent", 6000, 100},
                                          {"gone", 6000, 100, First}},
                                         {{"old", 100, 100, First}},
                                         {{"s", 20, 10}, {"other", 20, 10}}}));
  CHECK(Sent.has_value());
  const std::map<std::string, std::optional<StartTime>> Listed = {
      {"old", Second}, {"new", Second}, {"silent", std::nullopt}};
  const PaceUpdate Kept = currentSamples(
      Sent.value(),
      [&](const TargetSamples &Row) {
        const auto Found = Listed.find(Row.TargetId);
        return Found != Listed.end() && Found->second == Row.Started;
      },
      [](const std::string &Service) { return Service == "s"; });
  LONGS_EQUAL(2, Kept.Intervals.size());
  STRCMP_EQUAL("new", Kept.Intervals[0].TargetId.c_str());
  STRCMP_EQUAL("silent", Kept.Intervals[1].TargetId.c_str());
  LONGS_EQUAL(0, Kept.ReadRatios.size());
  LONGS_EQUAL(1, Kept.PauseRatios.size());
}

// Failure: an update about 760 servers with long names exceeds the size of a
// datagram, is never delivered, and the peers learn nothing.
TEST(StreamPaces, SendsAnUpdateOfManyTargetsInOneDatagram) {
  PaceUpdate Update{"g1", {}, {}, {}};
  for (int At = 0; At < 760; ++At)
    Update.Intervals.push_back({std::string(40, 'x') + std::to_string(At),
                                1e6 + At, 1000.0 + At,
                                StartTime(milliseconds(1764800000000 + At))});
  Update.ReadRatios = Update.Intervals;
  const std::string Bytes = encodePaceUpdate(Update);
  CHECK(Bytes.size() < 65000);
  const auto Read = decodePaceUpdate(Bytes);
  CHECK(Read.has_value());
  LONGS_EQUAL(256, Read.value().Intervals.size());
  for (const TargetSamples &Row : Read.value().Intervals)
    CHECK(Row.Count >= 1000 + 760 - 256);
}

// Failure: a peer reports that the longest pause is shorter than the mean, and
// every engine looks fast enough.
TEST(StreamPaces, ExpectsNoLongestPauseBelowTheMean) {
  Paces.recordInterval("e", Milliseconds(60), 100, Now);
  Paces.ratios().recordPeerReport("g2", {{"s", 0, 10000}}, Now);
  CHECK(Paces.expectedLongestPause("s", "e", Now)->count() >= 60);
}

// Failure: a single measurement that is not a number makes the average of the
// target not a number until the target is removed.
TEST(StreamPaces, IgnoresMeasurementsThatAreNoNumbers) {
  Paces.recordInterval("e", Milliseconds(50), 10, Now);
  Paces.recordInterval("e", Milliseconds(std::nan("")), 1, Now);
  Paces.recordInterval("e", Milliseconds(HUGE_VAL), 1, Now);
  Paces.intervals().recordPeerReport("g2", {{"e", -900, 10}}, Now);
  DOUBLES_EQUAL(50, Paces.meanInterval("e", Now)->count(), 0.01);
}

TEST_GROUP(StreamProgress) {
  StreamProgress Progress;
  BootTime Now{std::chrono::seconds(100)};
  BootClock::duration OwnDelay{};
  uint64_t Events = 0;

  std::optional<StreamProgress::Interval> event(milliseconds After,
                                                uint64_t Count = 1) {
    Now += After;
    Events += Count;
    return Progress.recordEvents(Events, OwnDelay, Now);
  }
};

TEST(StreamProgress, TellsTheLongestPauseAndWhereItWas) {
  CHECK(!event(milliseconds(20)));
  event(milliseconds(60));
  event(milliseconds(170));
  event(milliseconds(60));
  DOUBLES_EQUAL(170, Progress.longestPause().count(), 0.01);
  LONGS_EQUAL(2, Progress.longestPauseAfter());
  CHECK(!Progress.isLongestOwnDelay());
}

TEST(StreamProgress, DividesTheTimeOfEventsThatArriveTogether) {
  event(milliseconds(20));
  const auto Interval = event(milliseconds(120), 2);
  DOUBLES_EQUAL(60, Interval->Length.count(), 0.01);
  LONGS_EQUAL(2, Interval->Events);
}

// Failure: a gateway whose event loop is late takes its own delay for the pace
// of the engine and makes all gateways avoid it.
TEST(StreamProgress, DoesNotBlameTheTargetForTheDelayOfThisProcess) {
  event(milliseconds(20));
  OwnDelay += milliseconds(100);
  const auto Interval = event(milliseconds(160));
  CHECK(!Interval->IsOfTarget);
  CHECK(Progress.isLongestOwnDelay());
}

// Failure: the time in which a stream changes its server counts as the pace of
// the new one.
TEST(StreamProgress, DoesNotBlameTheTargetForAChangeOfServer) {
  event(milliseconds(20));
  Progress.serverChanged();
  CHECK(!event(milliseconds(400))->IsOfTarget);
  CHECK(event(milliseconds(60))->IsOfTarget);
}

// Failure: a stream is resumed at another server, the time until its first
// event there counts as the longest pause of the service's streams, and after a
// crash of a few engines all engines look too slow.
TEST(StreamProgress, TellsAPauseOfAChangeOfServerFromOneOfTheTarget) {
  event(milliseconds(20));
  event(milliseconds(60));
  CHECK(Progress.isLongestOfTarget());
  Progress.serverChanged();
  event(milliseconds(400));
  CHECK(!Progress.isLongestOfTarget());
  CHECK(!Progress.isLongestOwnDelay());
}

// Failure: a process that was frozen for a second handles the events that
// arrived meanwhile before its next tick. The delay is not in the total yet, so
// the second counts as the pace of the engine.
TEST(StreamProgress, CountsADelayThatNoTickHasRecordedYet) {
  LoopDelay Delay(milliseconds(100), Now);
  event(milliseconds(20));
  OwnDelay = Delay.total(Now);
  event(milliseconds(60));
  Now += milliseconds(1000);
  OwnDelay = Delay.total(Now);
  CHECK(!event(milliseconds(0))->IsOfTarget);
  const auto Before = Delay.total(Now);
  Delay.recordTick(Now);
  CHECK(Before == Delay.total(Now));
}

// Failure: a process that ticks as planned counts the time between two ticks as
// a delay and records no intervals at all.
TEST(StreamProgress, CountsNoDelayBetweenTicks) {
  LoopDelay Delay(milliseconds(100), Now);
  for (int Tick = 0; Tick < 10; ++Tick) {
    CHECK(Delay.total(Now + milliseconds(90)) == BootClock::duration::zero());
    Now += milliseconds(100);
    Delay.recordTick(Now);
  }
  CHECK(Delay.total(Now) == BootClock::duration::zero());
}
