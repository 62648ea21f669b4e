//===- TestStreamPaces.cpp - Pauses of streams by target ------------------===//
//
// Intervals of one stream, averages over the fleet, and what is expected of a
// target.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PaceUpdate.h"
#include "LibDispatch/StreamPaces.h"
#include "LibDispatch/StreamProgress.h"

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
