//===- TestServicePlanner.cpp - Places requests of plain services ---------===//
//
// Load, speed, failures, and deadlines that cannot be met.
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

TEST(ServicePlanner, ChoosesRandomlyAmongEquals) {
  const std::string First = chosen();
  Request.Draw = 0.6;
  CHECK(chosen() != First);
}

// Failure: while all servers of a service are down, each request connects to
// every one of them in turn.
TEST(ServicePlanner, ChoosesNoEjectedServerIfToldSo) {
  Loads.recordFailure("a", start("a"), Now);
  Loads.recordFailure("b", start("b"), Now);
  CHECK(!chosen().empty());
  Request.MayUseEjected = false;
  CHECK(chosen().empty());
  Now += LoadTrackerOptions{}.EjectionTime;
  CHECK(!chosen().empty());
}

// One server of two becomes slow. After ten answers that take five times the
// planned time it must not be chosen while the other one is idle.
TEST(ServicePlanner, AvoidsASlowServer) {
  for (int Count = 0; Count < 10; ++Count) {
    const uint64_t Ticket = start("a");
    Now += std::chrono::milliseconds(100);
    Loads.recordAnswer("a", Ticket, Now);
    Loads.recordEnd("a", Ticket);
  }
  STRCMP_EQUAL("b", chosen().c_str());
}

TEST(ServicePlanner, AvoidsAFailingServer) {
  Loads.recordFailure("a", start("a"), Now);
  STRCMP_EQUAL("b", chosen().c_str());
}

// In a burst far above the number of slots, a request that cannot be answered
// in time is rejected immediately, so that it takes no slot from others.
TEST(ServicePlanner, RejectsRequestsThatCannotBeAnsweredInTime) {
  for (int Count = 0; Count < 200; ++Count) {
    start("a");
    start("b");
  }
  STRCMP_EQUAL("", chosen().c_str());
}

TEST(ServicePlanner, RejectsWithoutServers) {
  Request.Excluded = {"a", "b"};
  STRCMP_EQUAL("", chosen().c_str());
}

// One of four servers answers part of the requests with errors while its health
// check passes. If error responses do not count against the server, a third of
// the requests fail there.
TEST(ServicePlanner, AvoidsAServerWithMoreErrorsThanTheOthers) {
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

// Some requests correctly fail on every server. No server is better than the
// others then, so the load decides.
TEST(ServicePlanner, IgnoresErrorsThatAllServersReturn) {
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

TEST(ServicePlanner, UsesAnEjectedServerWhenThereIsNoOther) {
  Loads.recordFailure("a", start("a"), Now);
  Loads.recordFailure("b", start("b"), Now);
  CHECK(!chosen().empty());
}
