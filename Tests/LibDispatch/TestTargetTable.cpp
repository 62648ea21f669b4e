//===- TestTargetTable.cpp - The servers that may get work ----------------===//
//
// Whole lists, single changes, and a store that goes away.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/TargetTable.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(TargetTable) {
  TargetTable Table;
  BootTime Now{std::chrono::seconds(100)};

  static Target target(const std::string &Id) {
    Target Made;
    Made.Id = Id;
    Made.Service = "s";
    Made.Address = {"10.0.0.1", 80};
    return Made;
  }
  void pass(milliseconds Time) { Now += Time; }
};

TEST(TargetTable, TellsWhatCameAndWent) {
  LONGS_EQUAL(2, Table.replaceAll({target("a"), target("b")}, Now).size());
  const auto Events = Table.replaceAll({target("b")}, Now);
  LONGS_EQUAL(1, Events.size());
  STRCMP_EQUAL("a", std::get<TargetGone>(Events[0]).Id.c_str());
}

TEST(TargetTable, TellsADrainOnce) {
  Table.update(target("a"), Now);
  Target Leaving = target("a");
  Leaving.Draining = true;
  const auto Events = Table.update(Leaving, Now);
  CHECK(std::holds_alternative<TargetDrains>(Events.at(0)));
  CHECK(Table.update(Leaving, Now).empty());
}

// Symptom: after an outage of the store all requests are refused for seconds.
// Sequence: entries lapse while the store is away; it returns with an empty
// list; the servers register again over the next two seconds.
// Cause: the empty list was taken at its word.
TEST(TargetTable, KeepsEntriesThatLapsedWhileTheStoreWasAway) {
  Table.replaceAll({target("a"), target("b")}, Now);
  Table.storeLost(Now);
  pass(milliseconds(8000));
  Table.storeLost(Now);
  pass(milliseconds(200));
  CHECK(Table.replaceAll({}, Now).empty());
  LONGS_EQUAL(2, Table.all().size());
  pass(milliseconds(1000));
  Table.update(target("a"), Now);
  CHECK(Table.tick(Now).empty());
  pass(milliseconds(1000));
  const auto Events = Table.tick(Now);
  LONGS_EQUAL(1, Events.size());
  STRCMP_EQUAL("b", std::get<TargetGone>(Events[0]).Id.c_str());
  CHECK(Table.find("a") != nullptr);
}

// Symptom: a server gets requests three seconds after its entry was removed.
// Sequence: this process alone is cut off from the store; a server leaves; the
// store takes calls again right after the last one that failed, and the next
// call comes 800 ms later.
// Cause: the grace for entries that lapsed counted from the first answer.
TEST(TargetTable, CountsTheGraceFromTheLastFailure) {
  Table.replaceAll({target("a")}, Now);
  Table.storeLost(Now);
  pass(milliseconds(800));
  CHECK(Table.replaceAll({}, Now).empty());
  pass(milliseconds(1600));
  LONGS_EQUAL(1, Table.tick(Now).size());
}

// Symptom: a server that left long ago gets requests again and again.
// Cause: the grace after an outage applied to every removal since.
TEST(TargetTable, DropsEntriesAtOnceWhileTheStoreIsSound) {
  Table.replaceAll({target("a")}, Now);
  LONGS_EQUAL(1, Table.remove("a", Now).size());
  CHECK(Table.find("a") == nullptr);
}

TEST(TargetTable, DoesNotEndTheGraceDuringAnotherOutage) {
  Table.replaceAll({target("a")}, Now);
  Table.storeLost(Now);
  Table.replaceAll({}, Now);
  Table.storeLost(Now);
  pass(milliseconds(5000));
  CHECK(Table.tick(Now).empty());
  CHECK(Table.find("a") != nullptr);
}
