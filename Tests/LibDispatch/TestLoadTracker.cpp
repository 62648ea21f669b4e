//===- TestLoadTracker.cpp - Outstanding work per target ------------------===//
//
// Work of this process and its peers, measured speed, and targets that reject
// work.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LoadTracker.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(LoadTracker) {
  LoadTracker Loads;
  BootTime Now{std::chrono::seconds(100)};
  Target Engine;

  void setup() override {
    Engine.Id = "e";
    Loads.targetAdded(Engine, 10000);
  }
  uint64_t start(double Cost) {
    return Loads.recordSent(
        "e", {Milliseconds(Cost), Milliseconds(Cost), Milliseconds(0), Now});
  }
};

TEST(LoadTracker, AddsPeerReportsUntilTheyExpire) {
  start(10);
  Loads.recordPeerReport("p", {{"e", Milliseconds(5), 2, 0.4}}, Now);
  DOUBLES_EQUAL(15, Loads.backlog("e", Now).count(), 1e-9);
  DOUBLES_EQUAL(3, Loads.items("e", Now), 1e-9);
  Now += milliseconds(600);
  DOUBLES_EQUAL(10, Loads.backlog("e", Now).count(), 1e-9);
}

// The sums over peers are updated incrementally: each report has to replace the
// previous one, also after peers have been silent for different times.
// Otherwise an idle engine looks busy forever, or a busy one idle.
TEST(LoadTracker, KeepsSumsEqualToTheLastPeerReports) {
  for (int Round = 0; Round < 100; ++Round) {
    Loads.recordPeerReport("p", {{"e", Milliseconds(0.1 * Round), 3, 0.1}},
                           Now);
    Loads.recordPeerReport("q", {{"e", Milliseconds(0.7), 1, 1 / 3.0}}, Now);
    Now += milliseconds(10);
  }
  DOUBLES_EQUAL(10.6, Loads.backlog("e", Now).count(), 0.01);
  DOUBLES_EQUAL(4, Loads.items("e", Now), 1e-9);
  Now += milliseconds(300);
  Loads.recordPeerReport("q", {}, Now);
  DOUBLES_EQUAL(9.9, Loads.backlog("e", Now).count(), 0.01);
  Now += milliseconds(300);
  DOUBLES_EQUAL(0, Loads.backlog("e", Now).count(), 1e-9);
  DOUBLES_EQUAL(0, Loads.completionRate("e", Now), 1e-9);
  Loads.recordPeerReport("p", {{"e", Milliseconds(5), 2, 0.4}}, Now);
  DOUBLES_EQUAL(2, Loads.items("e", Now), 1e-9);
}

// In a fleet of 400 processes reports arrive every 515 ms. With a lifetime that
// does not follow the interval each report expires before the next, and each
// process plans as if it were alone.
TEST(LoadTracker, KeepsReportsOfPeersWithALongInterval) {
  Loads.setReportInterval(milliseconds(515));
  Loads.recordPeerReport("p", {{"e", Milliseconds(5), 2, 0.4}}, Now);
  DOUBLES_EQUAL(2, Loads.items("e", Now + milliseconds(1500)), 1e-9);
  DOUBLES_EQUAL(0, Loads.items("e", Now + milliseconds(2500)), 1e-9);
}

// Failure: an urgent request is rejected for work that the engine admits after
// it, or admitted in spite of work that is as urgent.
TEST(LoadTracker, CountsWorkUpToAPriority) {
  Loads.recordSent(
      "e", {Milliseconds(10), {}, Milliseconds(7), Now, /*Priority=*/1});
  Loads.recordSent("e", {Milliseconds(10), {}, Milliseconds(4), Now});
  PeerLoad OfPeer{"e", Milliseconds(20), 5, 0.5, Milliseconds(9)};
  OfPeer.ByPriority = {{1, 2, Milliseconds(3)}, {6, 3, Milliseconds(6)}};
  Loads.recordPeerReport("p", {OfPeer}, Now);
  DOUBLES_EQUAL(0, Loads.items("e", Now, 0), 0);
  DOUBLES_EQUAL(3, Loads.items("e", Now, 1), 0);
  DOUBLES_EQUAL(10, Loads.prefillBacklog("e", Now, 1).count(), 1e-9);
  DOUBLES_EQUAL(4, Loads.items("e", Now, 5), 0);
  DOUBLES_EQUAL(14, Loads.prefillBacklog("e", Now, 5).count(), 1e-9);
  DOUBLES_EQUAL(7, Loads.items("e", Now), 0);
  DOUBLES_EQUAL(20, Loads.prefillBacklog("e", Now).count(), 1e-9);
  DOUBLES_EQUAL(40, Loads.backlog("e", Now).count(), 1e-9);
}

// Failure: while gateways of two program versions run side by side, the work of
// the earlier version counts as more urgent than anything, or not at all.
TEST(LoadTracker, CountsReportsWithoutPrioritiesAsFive) {
  Loads.recordPeerReport(
      "old", {{"e", Milliseconds(20), 5, 0.5, Milliseconds(9)}}, Now);
  DOUBLES_EQUAL(0, Loads.items("e", Now, 4), 0);
  DOUBLES_EQUAL(5, Loads.items("e", Now, 5), 0);
  DOUBLES_EQUAL(9, Loads.prefillBacklog("e", Now, 5).count(), 1e-9);
}

// Failure: after a lost report an engine looks idle to urgent requests, or its
// work of one priority stays counted after the peer has exited.
TEST(LoadTracker, KeepsWorkByPriorityUntilTheReportExpires) {
  PeerLoad OfPeer{"e", Milliseconds(20), 5, 0.5, Milliseconds(9)};
  OfPeer.ByPriority = {{1, 2, Milliseconds(3)}, {6, 3, Milliseconds(6)}};
  Loads.recordPeerReport("p", {OfPeer}, Now);
  Now += milliseconds(400);
  DOUBLES_EQUAL(2, Loads.items("e", Now, 1), 0);
  OfPeer.ByPriority = {{6, 3, Milliseconds(6)}};
  Loads.recordPeerReport("p", {OfPeer}, Now);
  DOUBLES_EQUAL(0, Loads.items("e", Now, 1), 0);
  DOUBLES_EQUAL(3, Loads.items("e", Now, 6), 0);
  Now += milliseconds(600);
  DOUBLES_EQUAL(0, Loads.items("e", Now), 0);
  DOUBLES_EQUAL(0, Loads.prefillBacklog("e", Now).count(), 0);
}

// Failure: reports of services without priorities grow.
TEST(LoadTracker, ReportsPrioritiesOnlyWhereTheyWereSent) {
  start(10);
  CHECK(Loads.localLoads().at(0).ByPriority.empty());
  Loads.recordSent("e", {Milliseconds(10), {}, Milliseconds(7), Now, 1});
  const PeerLoad Sent = Loads.localLoads().at(0);
  LONGS_EQUAL(2, Sent.Items);
  LONGS_EQUAL(2, Sent.ByPriority.size());
  LONGS_EQUAL(1, Sent.ByPriority[0].Priority);
  LONGS_EQUAL(1, Sent.ByPriority[0].Items);
  DOUBLES_EQUAL(7, Sent.ByPriority[0].PrefillCost.count(), 1e-9);
  LONGS_EQUAL(DefaultEnginePriority, Sent.ByPriority[1].Priority);
}

TEST(LoadTracker, CountsWorkUntilItEnds) {
  const uint64_t Ticket = start(10);
  Loads.recordAnswer("e", Ticket, Now);
  LONGS_EQUAL(1, Loads.localItems("e"));
  Loads.recordEnd("e", Ticket);
  LONGS_EQUAL(0, Loads.localItems("e"));
}

// An engine becomes five times slower while its health checks still pass.
// Within ten answers it must look at least twice as slow.
TEST(LoadTracker, DetectsATargetThatBecomesSlow) {
  for (int Index = 0; Index < 10; ++Index) {
    const uint64_t Ticket = start(10);
    Now += milliseconds(50);
    Loads.recordAnswer("e", Ticket, Now);
    Loads.recordEnd("e", Ticket);
  }
  CHECK(Loads.slowness("e", Now) > 2);
  Now += std::chrono::seconds(20);
  DOUBLES_EQUAL(1, Loads.slowness("e", Now), 0.01);
}

// A few streams hold their slots for seconds, the others for milliseconds. If
// the wait for a slot is derived from the sum of the work, it is planned as one
// second where it is ten milliseconds, and requests are rejected.
TEST(LoadTracker, ComputesTheCompletionRate) {
  start(3000);
  start(10);
  DOUBLES_EQUAL(0.1, Loads.completionRate("e", Now), 0.001);
}

// An engine answers 503 to all requests for three seconds while it changes its
// stage. Each of them uses up the retry budget.
TEST(LoadTracker, ExcludesARejectingTargetWithBackoff) {
  Loads.recordRejection("e", Now);
  CHECK(Loads.isExcluded("e", Now + milliseconds(20)));
  CHECK(!Loads.isExcluded("e", Now + milliseconds(40)));
  Loads.recordRejection("e", Now);
  Loads.recordRejection("e", Now);
  CHECK(Loads.isExcluded("e", Now + milliseconds(100)));
  for (int Index = 0; Index < 40; ++Index)
    Loads.recordRejection("e", Now);
  CHECK(!Loads.isExcluded("e", Now + milliseconds(1001)));
}

TEST(LoadTracker, ResetsTheBackoffAfterAnAnswer) {
  Loads.recordRejection("e", Now);
  Loads.recordRejection("e", Now);
  const uint64_t Ticket = start(10);
  Loads.recordAnswer("e", Ticket, Now);
  Now += std::chrono::seconds(1);
  Loads.recordRejection("e", Now);
  CHECK(!Loads.isExcluded("e", Now + milliseconds(31)));
}

TEST(LoadTracker, CountsFailures) {
  for (int Index = 0; Index < 5; ++Index)
    Loads.recordFailure("e", start(1), Now);
  CHECK(Loads.failureShare("e", Now) > 0.4);
  LONGS_EQUAL(0, Loads.localItems("e"));
}

TEST(LoadTracker, DropsRemovedTargets) {
  const uint64_t Ticket = start(10);
  Loads.targetRemoved("e");
  Loads.recordEnd("e", Ticket);
  DOUBLES_EQUAL(0, Loads.backlog("e", Now).count(), 0);
  DOUBLES_EQUAL(1, Loads.slowness("e", Now), 0);
}

// Servers fail and recover alternately. A server that is down fails immediately
// and so looks idle, and each attempt loses a request.
TEST(LoadTracker, EjectsAFailingTargetWithBackoff) {
  Loads.recordFailure("e", start(1), Now);
  CHECK(Loads.isEjected("e", Now));
  // Another request on the same connection.
  Loads.recordFailure("e", start(1), Now);
  Now += milliseconds(210);
  CHECK(!Loads.isEjected("e", Now));
  Loads.recordFailure("e", start(1), Now);
  Now += milliseconds(210);
  CHECK(Loads.isEjected("e", Now));
  Now += milliseconds(200);
  CHECK(!Loads.isEjected("e", Now));
}

// A server answers with errors for a while and then recovers. If errors do not
// decay, or if each of them postpones the decay of failures and slowness, the
// server gets no more requests for the rest of the day.
TEST(LoadTracker, DecaysErrorsIndependentlyOfFailures) {
  Loads.recordFailure("e", start(1), Now);
  const double Failures = Loads.failureShare("e", Now);
  Loads.recordError("e", Now);
  CHECK(Loads.errorShare("e", Now) > 0.09);
  Now += milliseconds(2000);
  Loads.recordError("e", Now);
  DOUBLES_EQUAL(Failures / 2, Loads.failureShare("e", Now), 1e-9);
  Now += milliseconds(20000);
  CHECK(Loads.errorShare("e", Now) < 0.001);
}
