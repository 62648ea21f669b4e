//===- TestServerBackoffs.cpp - Servers that asked for a pause ------------===//
//
// Answers that ask for a pause, in any order, and servers that restart.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerBackoffs.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(ServerBackoffs) {
  ServerBackoffs Backoffs;
  const BootTime Start{std::chrono::hours(1)};
  const ServerStart First{"a", StartTime(milliseconds(1))};
  const ServerStart Restarted{"a", StartTime(milliseconds(2))};
  const ServerStart Other{"b", std::nullopt};

  bool isBackingOff(const ServerStart &Server, int AfterMs) const {
    return Backoffs.isBackingOff(Server, Start + milliseconds(AfterMs));
  }
};

TEST(ServerBackoffs, LastForTheTimeThatWasAskedFor) {
  CHECK(Backoffs.record(First, milliseconds(3000), Start));
  CHECK(isBackingOff(First, 0));
  CHECK(isBackingOff(First, 2999));
  CHECK(!isBackingOff(First, 3000));
  CHECK(!isBackingOff(Other, 0));
}

// Failure: an answer that overtook another one ends a pause too early.
TEST(ServerBackoffs, EndAtTheLaterOfTwoTimes) {
  CHECK(Backoffs.record(First, milliseconds(3000), Start));
  CHECK(!Backoffs.record(First, milliseconds(500), Start + milliseconds(100)));
  CHECK(isBackingOff(First, 2999));
  CHECK(Backoffs.record(First, milliseconds(3000), Start + milliseconds(100)));
  CHECK(isBackingOff(First, 3099));
}

TEST(ServerBackoffs, BelongToOneStartOfAServer) {
  Backoffs.record(First, milliseconds(3000), Start);
  CHECK(!isBackingOff(Restarted, 0));
  Backoffs.record(Restarted, milliseconds(1000), Start);
  CHECK(isBackingOff(First, 2000));
  CHECK(!isBackingOff(Restarted, 1000));
}

TEST(ServerBackoffs, OfNoTimeDoNotBegin) {
  CHECK(!Backoffs.record(First, milliseconds(0), Start));
  CHECK(!isBackingOff(First, 0));
  LONGS_EQUAL(0, Backoffs.activeCount(Start));
}

TEST(ServerBackoffs, NameTheServersAndTheFirstEnd) {
  Backoffs.record(First, milliseconds(3000), Start);
  Backoffs.record(Other, milliseconds(1000), Start);
  const BootTime Now = Start + milliseconds(400);
  CHECK((Backoffs.activeIds(Now) == std::vector<std::string>{"a", "b"}));
  Target A;
  A.Id = First.TargetId;
  A.Started = First.Started;
  Target B;
  B.Id = Other.TargetId;
  Target Free;
  Free.Id = "c";
  CHECK(Backoffs.firstEnd(std::vector<const Target *>{&A, &B, &Free}, Now) ==
        milliseconds(600));
  CHECK(!Backoffs.firstEnd(std::vector<const Target *>{&Free}, Now));
  CHECK(!Backoffs.firstEnd(std::vector<const Target *>{&B},
                           Start + milliseconds(1000)));
}
