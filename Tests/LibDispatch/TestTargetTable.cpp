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
    Target Entry;
    Entry.Id = Id;
    Entry.Service = "s";
    Entry.Address = {"10.0.0.1", 80};
    return Entry;
  }
  void advance(milliseconds Time) { Now += Time; }
};

TEST(TargetTable, TellsWhatCameAndWent) {
  LONGS_EQUAL(2, Table.replaceAll({target("a"), target("b")}, Now).size());
  const auto Events = Table.replaceAll({target("b")}, Now);
  LONGS_EQUAL(1, Events.size());
  STRCMP_EQUAL("a", std::get<TargetRemoved>(Events[0]).Id.c_str());
}

TEST(TargetTable, TellsADrainOnce) {
  Table.update(target("a"), Now);
  Target Leaving = target("a");
  Leaving.Draining = true;
  const auto Events = Table.update(Leaving, Now);
  CHECK(std::holds_alternative<TargetDraining>(Events.at(0)));
  CHECK(Table.update(Leaving, Now).empty());
}

// Symptom: after an outage of the store all requests are refused for seconds.
// Sequence: entries lapse while the store is away; it returns with an empty
// list; the servers register again over the next two seconds.
// Cause: the empty list was taken at its word.
TEST(TargetTable, KeepsEntriesThatLapsedWhileTheStoreWasAway) {
  Table.replaceAll({target("a"), target("b")}, Now);
  Table.recordStoreFailure(Now);
  advance(milliseconds(8000));
  Table.recordStoreFailure(Now);
  advance(milliseconds(200));
  CHECK(Table.replaceAll({}, Now).empty());
  LONGS_EQUAL(2, Table.all().size());
  advance(milliseconds(1000));
  Table.update(target("a"), Now);
  CHECK(Table.tick(Now).empty());
  advance(milliseconds(1000));
  const auto Events = Table.tick(Now);
  LONGS_EQUAL(1, Events.size());
  STRCMP_EQUAL("b", std::get<TargetRemoved>(Events[0]).Id.c_str());
  CHECK(Table.find("a") != nullptr);
}

// Symptom: a server gets requests three seconds after its entry was removed.
// Sequence: this process alone is cut off from the store; a server leaves; the
// store takes calls again right after the last one that failed, and the next
// call comes 800 ms later.
// Cause: the grace for entries that lapsed counted from the first answer.
TEST(TargetTable, CountsTheGraceFromTheLastFailure) {
  Table.replaceAll({target("a")}, Now);
  Table.recordStoreFailure(Now);
  advance(milliseconds(800));
  CHECK(Table.replaceAll({}, Now).empty());
  advance(milliseconds(1600));
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
  Table.recordStoreFailure(Now);
  Table.replaceAll({}, Now);
  Table.recordStoreFailure(Now);
  advance(milliseconds(5000));
  CHECK(Table.tick(Now).empty());
  CHECK(Table.find("a") != nullptr);
}

TEST_GROUP(RestartedTargets) {
  TargetTable Table;
  BootTime Now{std::chrono::seconds(100)};

  static Target entry(int64_t Started, uint64_t Heartbeat) {
    Target Entry;
    Entry.Id = "a";
    Entry.Service = "s";
    Entry.Address = {"10.0.0.1", 80};
    Entry.Started = StartTime(milliseconds(Started));
    Entry.Heartbeat = Heartbeat;
    return Entry;
  }
  void expectRestart(const std::vector<TargetEvent> &Events) {
    LONGS_EQUAL(2, Events.size());
    CHECK(std::holds_alternative<TargetRemoved>(Events[0]));
    CHECK(std::holds_alternative<TargetAdded>(Events[1]));
  }
};

// Symptom: prompts wait for a cache that is empty; new work counts on slots
// that an earlier start had taken.
// Sequence: a server crashes and starts again under its id.
// Cause: only the id told one start from another.
TEST(RestartedTargets, AreOtherTargets) {
  Table.update(entry(1000, 9), Now);
  expectRestart(Table.update(entry(2000, 1), Now));
  expectRestart(Table.replaceAll({entry(3000, 1)}, Now));
  CHECK(Table.update(entry(3000, 2), Now).empty());
}

// Symptom: connections and cache of a good server are dropped, again and
// again; or a server that leaves gets work once more.
// Sequence: a write of an earlier start, or of an earlier heartbeat, reaches
// the store seconds late.
// Cause: what was written last was taken for what is newest.
TEST(RestartedTargets, AreNotUndoneByALateWrite) {
  Table.update(entry(2000, 1), Now);
  CHECK(Table.update(entry(1000, 9), Now).empty());
  CHECK(Table.find("a")->Started == StartTime(milliseconds(2000)));
  Target Leaving = entry(2000, 3);
  Leaving.Draining = true;
  Table.update(Leaving, Now);
  CHECK(Table.update(entry(2000, 2), Now).empty());
  CHECK(Table.find("a")->Draining);
  CHECK(Table.replaceAll({entry(2000, 2)}, Now).empty());
  CHECK(Table.find("a")->Draining);
}

// Symptom: nothing that a server says is heard any more.
// Sequence: its clock goes back, then it starts again: it seems to have
// started earlier than before.
// Cause: whatever seemed older was passed over for good.
TEST(RestartedTargets, AreBelievedWhenTheirClockWentBack) {
  Table.update(entry(5000, 9), Now);
  CHECK(Table.update(entry(1000, 1), Now).empty());
  CHECK(Table.update(entry(1000, 1), Now).empty());
  expectRestart(Table.update(entry(1000, 2), Now));
}

// Failure: a server that had left gets requests again, as a store that came
// back from a copy lists it.
TEST(TargetTable, TakesNoOldEntryOfAServerThatIsGone) {
  Target LastEntry = target("a");
  LastEntry.Heartbeat = 7;
  Table.replaceAll({LastEntry}, Now);
  Table.remove("a", Now);
  advance(milliseconds(5000));
  Target Copied = LastEntry;
  Copied.Heartbeat = 5;
  CHECK(Table.replaceAll({Copied}, Now).empty());
  CHECK(Table.replaceAll({LastEntry}, Now).empty());
  CHECK(Table.all().empty());
}

// Failure: a server that goes on, or starts again, is never used.
TEST(TargetTable, TakesAGoneServerBackThatWrites) {
  Target LastEntry = target("a");
  LastEntry.Heartbeat = 7;
  Table.replaceAll({LastEntry}, Now);
  Table.remove("a", Now);
  Target Next = LastEntry;
  Next.Heartbeat = 8;
  LONGS_EQUAL(1, Table.update(Next, Now).size());
  Table.remove("a", Now);
  // Its count begins anew, and it does not tell when it started.
  Next.Heartbeat = 1;
  CHECK(Table.update(Next, Now).empty());
  Next.Heartbeat = 2;
  LONGS_EQUAL(1, Table.update(Next, Now).size());
}
