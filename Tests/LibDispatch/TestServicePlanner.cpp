//===- TestServicePlanner.cpp - Where a plain request runs ----------------===//
//
// Load, speed, failures, and a deadline that cannot be met.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServicePlanner.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;

TEST_GROUP(ServicePlanner) {
  LoadTracker Loads;
  ServicePlanner Planner{{}, Loads};
  Target A;
  Target B;
  std::vector<const Target *> Servers{&A, &B};
  ServiceRequest Request{Milliseconds(1000), {}, 0};
  BootTime Now{std::chrono::seconds(100)};

  void setup() override {
    A.Id = "a";
    B.Id = "b";
    A.Slots = B.Slots = 2;
    Loads.targetAdded(A, 0);
    Loads.targetAdded(B, 0);
  }
  std::string chosen() {
    const auto Plan = Planner.plan(Request, Servers, Now);
    const auto *Assignment = std::get_if<ServiceAssignment>(&Plan);
    return Assignment ? Assignment->TargetId : std::string();
  }
  uint64_t start(const std::string &Id) {
    return Loads.recordSent(
        Id, {Milliseconds(20), Milliseconds(20), Milliseconds(0), Now});
  }
};

TEST(ServicePlanner, PrefersFreeSlots) {
  start("a");
  start("a");
  STRCMP_EQUAL("b", chosen().c_str());
}

TEST(ServicePlanner, DrawsAmongEquals) {
  const std::string First = chosen();
  Request.Draw = 0.6;
  CHECK(chosen() != First);
}

// Load: one server of two turns slow. Grounds: after ten answers of five times
// the time it must not be chosen while the other is free.
TEST(ServicePlanner, LeavesASlowServer) {
  for (int Count = 0; Count < 10; ++Count) {
    const uint64_t Ticket = start("a");
    Now += std::chrono::milliseconds(100);
    Loads.recordAnswer("a", Ticket, Now);
    Loads.recordEnd("a", Ticket);
  }
  STRCMP_EQUAL("b", chosen().c_str());
}

TEST(ServicePlanner, LeavesAServerThatFails) {
  Loads.recordFailure("a", start("a"), Now);
  STRCMP_EQUAL("b", chosen().c_str());
}

// Load: a burst far above the slots. Grounds: a request that cannot be answered
// in its time is refused at once and takes no slot from one that can.
TEST(ServicePlanner, RefusesWhatCannotBeAnsweredInTime) {
  for (int Count = 0; Count < 200; ++Count) {
    start("a");
    start("b");
  }
  STRCMP_EQUAL("", chosen().c_str());
}

TEST(ServicePlanner, RefusesWithoutServers) {
  Request.Excluded = {"a", "b"};
  STRCMP_EQUAL("", chosen().c_str());
}

// Symptom: a third of the notices fail at one of four servers, whose health
// check is good. Sequence: it answers part of the requests with errors of its
// own. Cause: an error that a server signed was held against nobody.
TEST(ServicePlanner, LeavesAServerThatGivesMoreErrorsThanTheOthers) {
  for (int Count = 0; Count < 5; ++Count) {
    Loads.recordError("a", Now);
    Loads.recordAnswer("b", start("b"), Now);
  }
  Loads.recordEnd("b", 0);
  for (const double Draw : {0.0, 0.6}) {
    Request.Draw = Draw;
    STRCMP_EQUAL("b", chosen().c_str());
  }
}

// Load: a service whose requests fail by right at every server. Grounds: no
// server is better for it, and load decides.
TEST(ServicePlanner, TakesErrorsThatAllGiveForTheRequestsOwn) {
  for (int Count = 0; Count < 5; ++Count) {
    Loads.recordError("a", Now);
    Loads.recordError("b", Now);
  }
  start("a");
  start("a");
  STRCMP_EQUAL("b", chosen().c_str());
  start("b");
  start("b");
  start("b");
  STRCMP_EQUAL("a", chosen().c_str());
}

TEST(ServicePlanner, GoesToAServerThatFailedWhenThereIsNoOther) {
  Loads.recordFailure("a", start("a"), Now);
  Loads.recordFailure("b", start("b"), Now);
  CHECK(!chosen().empty());
}
