//===- TestLoadTracker.cpp - Work at the targets
//-----------------------------===//
//
// Own and peers' work, measured speed, and targets that turn work away.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/LoadTracker.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(LoadTracker) {
  LoadTracker Book;
  BootTime Now{std::chrono::seconds(100)};
  Target Engine;

  void setup() override {
    Engine.Id = "e";
    Book.targetAdded(Engine, 10000);
  }
  uint64_t start(double Cost) {
    return Book.recordSent(
        "e", {Milliseconds(Cost), Milliseconds(Cost), Milliseconds(0), Now});
  }
};

TEST(LoadTracker, AddsWhatPeersTellForAShortTime) {
  start(10);
  Book.recordPeerReport("p", {{"e", Milliseconds(5), 2, 0.4}}, Now);
  DOUBLES_EQUAL(15, Book.backlog("e", Now).count(), 1e-9);
  DOUBLES_EQUAL(3, Book.items("e", Now), 1e-9);
  Now += milliseconds(600);
  DOUBLES_EQUAL(10, Book.backlog("e", Now).count(), 1e-9);
}

// Symptom: an engine without work looks busy for ever, or one with work free.
// Sequence: peers report again and again, fall silent at unlike times, and come
// back. Cause: sums are kept, so each report has to take back the one before.
TEST(LoadTracker, KeepsItsSumsEqualToWhatPeersToldLast) {
  for (int Round = 0; Round < 100; ++Round) {
    Book.recordPeerReport("p", {{"e", Milliseconds(0.1 * Round), 3, 0.1}}, Now);
    Book.recordPeerReport("q", {{"e", Milliseconds(0.7), 1, 1 / 3.0}}, Now);
    Now += milliseconds(10);
  }
  DOUBLES_EQUAL(10.6, Book.backlog("e", Now).count(), 0.01);
  DOUBLES_EQUAL(4, Book.items("e", Now), 1e-9);
  Now += milliseconds(300);
  Book.recordPeerReport("q", {}, Now);
  DOUBLES_EQUAL(9.9, Book.backlog("e", Now).count(), 0.01);
  Now += milliseconds(300);
  DOUBLES_EQUAL(0, Book.backlog("e", Now).count(), 1e-9);
  DOUBLES_EQUAL(0, Book.completionRate("e", Now), 1e-9);
  Book.recordPeerReport("p", {{"e", Milliseconds(5), 2, 0.4}}, Now);
  DOUBLES_EQUAL(2, Book.items("e", Now), 1e-9);
}

// Symptom: in a fleet of 400 each process plans as if it were alone.
// Sequence: reports come each 515 ms; each is forgotten before the next.
// Cause: a lifetime that did not follow the interval.
TEST(LoadTracker, KeepsPeersThatReportSeldom) {
  Book.setReportInterval(milliseconds(515));
  Book.recordPeerReport("p", {{"e", Milliseconds(5), 2, 0.4}}, Now);
  DOUBLES_EQUAL(2, Book.items("e", Now + milliseconds(1500)), 1e-9);
  DOUBLES_EQUAL(0, Book.items("e", Now + milliseconds(2500)), 1e-9);
}

TEST(LoadTracker, CountsWorkUntilItEnds) {
  const uint64_t Ticket = start(10);
  Book.recordAnswer("e", Ticket, Now);
  LONGS_EQUAL(1, Book.localItems("e"));
  Book.recordEnd("e", Ticket);
  LONGS_EQUAL(0, Book.localItems("e"));
}

// Load: one engine of several turns five times slower; its health answers stay
// good. Grounds: within ten answers it must look at least twice as slow.
TEST(LoadTracker, SeesATargetThatTurnsSlow) {
  for (int Index = 0; Index < 10; ++Index) {
    const uint64_t Ticket = start(10);
    Now += milliseconds(50);
    Book.recordAnswer("e", Ticket, Now);
    Book.recordEnd("e", Ticket);
  }
  CHECK(Book.slowness("e", Now) > 2);
  Now += std::chrono::seconds(20);
  DOUBLES_EQUAL(1, Book.slowness("e", Now), 0.01);
}

// Symptom: the wait for a slot is planned at a second where it is ten
// milliseconds, and requests are refused.
// Sequence: a few streams of seconds hold slots; the others hold theirs for
// milliseconds. Cause: the wait went by the sum of the work.
TEST(LoadTracker, MeasuresHowFastSlotsChangeHands) {
  start(3000);
  start(10);
  DOUBLES_EQUAL(0.1, Book.completionRate("e", Now), 0.001);
}

// Load: an engine answers 503 to everything for three seconds while it changes
// its stage; each arrival there counts against the budget of repeats.
TEST(LoadTracker, LeavesOutATargetThatTurnsWorkAwayLongerEachTime) {
  Book.recordRejection("e", Now);
  CHECK(Book.isExcluded("e", Now + milliseconds(20)));
  CHECK(!Book.isExcluded("e", Now + milliseconds(40)));
  Book.recordRejection("e", Now);
  Book.recordRejection("e", Now);
  CHECK(Book.isExcluded("e", Now + milliseconds(100)));
  for (int Index = 0; Index < 40; ++Index)
    Book.recordRejection("e", Now);
  CHECK(!Book.isExcluded("e", Now + milliseconds(1001)));
}

TEST(LoadTracker, ForgetsRefusalsAfterAnAnswer) {
  Book.recordRejection("e", Now);
  Book.recordRejection("e", Now);
  const uint64_t Ticket = start(10);
  Book.recordAnswer("e", Ticket, Now);
  Now += std::chrono::seconds(1);
  Book.recordRejection("e", Now);
  CHECK(!Book.isExcluded("e", Now + milliseconds(31)));
}

TEST(LoadTracker, RemembersFailures) {
  for (int Index = 0; Index < 5; ++Index)
    Book.recordFailure("e", start(1), Now);
  CHECK(Book.failureShare("e", Now) > 0.4);
  LONGS_EQUAL(0, Book.localItems("e"));
}

TEST(LoadTracker, KnowsNothingOfTargetsThatWent) {
  const uint64_t Ticket = start(10);
  Book.targetRemoved("e");
  Book.recordEnd("e", Ticket);
  DOUBLES_EQUAL(0, Book.backlog("e", Now).count(), 0);
  DOUBLES_EQUAL(1, Book.slowness("e", Now), 0);
}

// Load: servers that go down and up by turns. Grounds: a server that is down
// fails at once and so looks free; each try of it loses a request.
TEST(LoadTracker, LetsATargetRestLongerEachTimeThatItFails) {
  Book.recordFailure("e", start(1), Now);
  CHECK(Book.isEjected("e", Now));
  // The rest of what was on the same connection.
  Book.recordFailure("e", start(1), Now);
  Now += milliseconds(210);
  CHECK(!Book.isEjected("e", Now));
  Book.recordFailure("e", start(1), Now);
  Now += milliseconds(210);
  CHECK(Book.isEjected("e", Now));
  Now += milliseconds(200);
  CHECK(!Book.isEjected("e", Now));
}

// Symptom: a server that failed requests for a while gets none for the rest of
// the day, and a slow one is never tried again. Sequence: it answers with
// errors, then with none. Cause: errors were never forgiven, and each of them
// put off the forgiving of everything else.
TEST(LoadTracker, ForgivesErrorsAndLetsThemPutOffNothing) {
  Book.recordFailure("e", start(1), Now);
  const double Failures = Book.failureShare("e", Now);
  Book.recordError("e", Now);
  CHECK(Book.errorShare("e", Now) > 0.09);
  Now += milliseconds(2000);
  Book.recordError("e", Now);
  DOUBLES_EQUAL(Failures / 2, Book.failureShare("e", Now), 1e-9);
  Now += milliseconds(20000);
  CHECK(Book.errorShare("e", Now) < 0.001);
}
