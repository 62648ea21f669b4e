//===- TestAcceptControl.cpp - Whether new connections are read -----------===//
//
// Delays of the event loop and what they mean for new connections.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/AcceptControl.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(AcceptControl) { AcceptControl Control; };

// Guards against: a process that gets its share of a processor in each tenth of
// a second turns callers away between its shares.
TEST(AcceptControl, ReadsDuringShortPauses) {
  Control.recordDelay(90ms);
  CHECK(Control.mayRead(90ms));
}

// Guards against: after a suspension, new connections are closed although the
// process has time to serve them.
TEST(AcceptControl, ReadsAfterAStall) {
  Control.recordDelay(0ms);
  CHECK(Control.mayRead(3s));
  Control.recordDelay(3s);
  CHECK(Control.mayRead(0ms));
}

// Guards against: connections are read until the next regular check, which is
// late itself.
TEST(AcceptControl, StopsReadingBeforeTheCheck) {
  Control.recordDelay(60ms);
  CHECK(!Control.mayRead(101ms));
  CHECK(!Control.mayRead(0ms));
}

// Guards against: reading starts and stops with each connection.
TEST(AcceptControl, ReadsAgainWhenTheDelayIsShort) {
  Control.recordDelay(200ms);
  Control.recordDelay(200ms);
  CHECK(!Control.mayRead(0ms));
  Control.recordDelay(80ms);
  CHECK(!Control.mayRead(0ms));
  Control.recordDelay(40ms);
  CHECK(Control.mayRead(0ms));
}

TEST(AcceptControl, CountsClosedConnections) {
  Control.recordClosed();
  LONGS_EQUAL(1, Control.takeClosed());
  LONGS_EQUAL(0, Control.takeClosed());
  LONGS_EQUAL(1, Control.closed());
}
