//===- TestSharedReads.cpp - Calls that wait for a read -------------------===//
//
// Calls before, during and after reads, without a store.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/SharedReads.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(SharedReads) {
  SharedReads Reads;
  unsigned Served = 0;

  void wait() {
    Reads.wait([this] { ++Served; });
  }
  void endRead() {
    for (const auto &Call : Reads.ended())
      Call();
  }
};

// Failure: each of many calls at once reads the store.
TEST(SharedReads, OneReadServesAllThatWaitedForIt) {
  for (unsigned I = 0; I < 100; ++I)
    wait();
  CHECK(Reads.isWanted());
  Reads.begun();
  CHECK_FALSE(Reads.isWanted());
  endRead();
  LONGS_EQUAL(100, Served);
}

// Failure: a call is served by a read that was sent before it.
TEST(SharedReads, ReadOnItsWayDoesNotServeALaterCall) {
  wait();
  Reads.begun();
  wait();
  CHECK(Reads.isWanted());
  endRead();
  LONGS_EQUAL(1, Served);
  Reads.begun();
  endRead();
  LONGS_EQUAL(2, Served);
}

// Failure: a call is answered twice, or never.
TEST(SharedReads, EachCallIsServedOnce) {
  wait();
  Reads.begun();
  wait();
  for (const auto &Call : Reads.refuse())
    Call();
  LONGS_EQUAL(1, Served);
  endRead();
  LONGS_EQUAL(2, Served);
  endRead();
  CHECK(Reads.refuse().empty());
  LONGS_EQUAL(2, Served);
}
