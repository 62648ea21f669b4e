//===- TestCapacityReserve.cpp - Capacity for more urgent requests --------===//
//
// Demand, its variability, and priorities that are hardly served.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CapacityReserve.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(CapacityReserve) {
  CapacityReserve Reserve;
  BootTime Now{std::chrono::seconds(100)};

  /// A request each 20 ms, each of which prefills for \p Prefill.
  void requests(unsigned Priority, double Prefill, int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      Reserve.recordRequest(Priority, Milliseconds(Prefill), Milliseconds(1),
                            Now);
      Now += milliseconds(20);
    }
  }
  void outcomes(unsigned Priority, int Served, int Rejected) {
    for (int Index = 0; Index < Served + Rejected; ++Index)
      Reserve.recordOutcome(Priority, Index < Served, Now);
  }
  double reserve(unsigned Priority, double OwnShare = 1) {
    Reserve.setOwnShare(OwnShare, Now);
    return Reserve.reserve(Priority, Milliseconds(400), {4, 4}, Now).count();
  }
};

// Steady demand of 40 ms each 20 ms keeps two of four engines busy.
TEST(CapacityReserve, IsTheMeasuredDemandOfMoreUrgentRequests) {
  requests(1, 40, 1000);
  DOUBLES_EQUAL(200, reserve(6), 5);
  DOUBLES_EQUAL(0, reserve(1), 0);
  DOUBLES_EQUAL(0, reserve(0), 0);
}

// Failure: less urgent requests are rejected although no urgent ones arrive.
TEST(CapacityReserve, IsNothingWithoutMoreUrgentRequests) {
  DOUBLES_EQUAL(0, reserve(6), 0);
  requests(6, 40, 500);
  requests(7, 40, 500);
  DOUBLES_EQUAL(0, reserve(6), 0);
  requests(1, 40, 100);
  CHECK(reserve(6) > 100);
  Now += milliseconds(15000);
  CHECK(reserve(6) < 5);
  Now += milliseconds(60000);
  DOUBLES_EQUAL(0, reserve(6), 0);
}

// Failure: urgent requests that arrive in bursts find the engines full, since
// only their mean is reserved.
TEST(CapacityReserve, GrowsWithTheVariability) {
  requests(1, 40, 500);
  const double Steady = reserve(6);
  CapacityReserve Other;
  std::swap(Reserve, Other);
  for (int Round = 0; Round < 25; ++Round) {
    requests(1, 80, 10);
    Now += milliseconds(200);
  }
  CHECK(reserve(6) > 1.5 * Steady);
}

// A quarter of the demand of the fleet passes through this process.
TEST(CapacityReserve, CountsTheDemandAtOtherProcesses) {
  requests(1, 10, 1000);
  DOUBLES_EQUAL(200, reserve(6, 0.25), 5);
}

TEST(CapacityReserve, IsAtMostTheLatencyTarget) {
  requests(1, 400, 500);
  DOUBLES_EQUAL(400, reserve(6), 0);
}

// Failure: while urgent requests need all capacity, less urgent ones are never
// served.
TEST(CapacityReserve, IsNothingForAStarvedPriority) {
  requests(1, 40, 500);
  outcomes(1, 90, 10);
  outcomes(6, 10, 20);
  CHECK(!Reserve.isStarved(6, Now));
  CHECK(reserve(6) > 100);
  outcomes(6, 0, 70);
  CHECK(Reserve.isStarved(6, Now));
  DOUBLES_EQUAL(0, reserve(6), 0);
  Now += milliseconds(5000);
  outcomes(1, 90, 10);
  outcomes(6, 60, 40);
  CHECK(!Reserve.isStarved(6, Now));
}

// Failure: the first request that is rejected removes the reserve.
TEST(CapacityReserve, NeedsSeveralOutcomesToCountAsStarved) {
  outcomes(1, 90, 10);
  outcomes(6, 0, 2);
  CHECK(!Reserve.isStarved(6, Now));
  CHECK(!Reserve.isStarved(7, Now));
}
