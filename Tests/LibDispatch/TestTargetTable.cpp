//===- TestTargetTable.cpp - Servers that are used ------------------------===//
//
// Complete lists, single changes, and outages of the store. The table gets its
// changes from a list of servers, as in a gateway.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/TargetTable.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

namespace {

/// Gives each row the next version of the store.
class ListedTable : public TargetTable {
public:
  std::vector<TargetEvent> replaceAll(const std::vector<Target> &Listed,
                                      BootTime Now) {
    recordStoreAnswer(Now);
    std::vector<ServerChange> Rows;
    for (const Target &Entry : Listed)
      Rows.push_back({nextVersion(), Entry.Id, Entry});
    return apply(
        m_List.replaceAll(Rows, nextVersion(), removals(Now), Now).Changes,
        Now);
  }
  std::vector<TargetEvent> update(const Target &Entry, BootTime Now) {
    return applyRow({nextVersion(), Entry.Id, Entry}, Now);
  }
  std::vector<TargetEvent> remove(const std::string &Id, BootTime Now) {
    return applyRow({nextVersion(), Id, {}}, Now);
  }
  std::vector<TargetEvent> tick(BootTime Now) {
    m_List.forgetEnded(Now);
    return TargetTable::tick(Now);
  }

private:
  StoreVersion nextVersion() { return {1, ++m_Version}; }
  Removals removals(BootTime Now) const {
    return awaitsRegistrations(Now) ? Removals::MayBeExpired : Removals::Ended;
  }
  std::vector<TargetEvent> applyRow(const ServerChange &Row, BootTime Now) {
    recordStoreAnswer(Now);
    return apply(
        m_List.applyRead({Row}, Row.Version, removals(Now), Now).Changes, Now);
  }

  ServerList m_List;
  uint64_t m_Version = 0;
};

} // namespace

TEST_GROUP(TargetTable) {
  ListedTable Table;
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

TEST(TargetTable, ReportsAddedAndRemovedTargets) {
  LONGS_EQUAL(2, Table.replaceAll({target("a"), target("b")}, Now).size());
  const auto Events = Table.replaceAll({target("b")}, Now);
  LONGS_EQUAL(1, Events.size());
  STRCMP_EQUAL("a", std::get<TargetRemoved>(Events[0]).Id.c_str());
}

TEST(TargetTable, ReportsADrainOnce) {
  Table.update(target("a"), Now);
  Target Leaving = target("a");
  Leaving.Draining = true;
  const auto Events = Table.update(Leaving, Now);
  CHECK(std::holds_alternative<TargetDraining>(Events.at(0)));
  CHECK(Table.update(Leaving, Now).empty());
}

// Failure: the next heartbeat of a server that has said that it is shutting
// down, and whose entry does not say so, brings it back.
TEST(TargetTable, BelievesAServerThatSaysItShutsDown) {
  Table.update(target("a"), Now);
  const auto Events = Table.recordShutdown(target("a").start(), Now);
  CHECK(std::holds_alternative<TargetDraining>(Events.at(0)));
  CHECK(Table.recordShutdown(target("a").start(), Now).empty());
  Target Later = target("a");
  Later.Heartbeat = 5;
  Later.Slots = 7;
  Table.update(Later, Now);
  CHECK(Table.find("a")->Draining);
  Table.replaceAll({Later}, Now);
  CHECK(Table.find("a")->Draining);
}

TEST(TargetTable, RemembersAShutdownWhileTheEntryIsMissing) {
  Table.update(target("a"), Now);
  Table.recordShutdown(target("a").start(), Now);
  Table.remove("a", Now);
  advance(milliseconds(20000));
  Table.tick(Now);
  Target Again = target("a");
  Again.Heartbeat = 5;
  Table.update(Again, Now);
  CHECK(Table.find("a")->Draining);
}

// Failure: the next start of a server gets no requests, because the one before
// had shut down.
TEST(TargetTable, EndsAShutdownWithTheStartOfTheServer) {
  Target First = target("a");
  First.Started = StartTime(milliseconds(1));
  Table.update(First, Now);
  Table.recordShutdown(First.start(), Now);
  Target Second = First;
  Second.Started = StartTime(milliseconds(2));
  Table.update(Second, Now);
  CHECK(!Table.find("a")->Draining);
  // A late answer of the first start.
  CHECK(Table.recordShutdown(First.start(), Now).empty());
  CHECK(!Table.find("a")->Draining);
}

TEST(TargetTable, ForgetsAShutdownSomeTimeAfterTheServerIsGone) {
  Table.update(target("a"), Now);
  Table.recordShutdown(target("a").start(), Now);
  advance(milliseconds(60000));
  Table.tick(Now);
  CHECK(Table.find("a")->Draining);
  Table.remove("a", Now);
  advance(milliseconds(31000));
  Table.tick(Now);
  Table.update(target("a"), Now);
  CHECK(!Table.find("a")->Draining);
}

// Entries expire during an outage of the store, which then returns an empty
// list until the servers have registered again, within two seconds. If the
// empty list is applied, all requests are rejected for that time.
TEST(TargetTable, KeepsEntriesThatExpiredDuringAStoreOutage) {
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

// Only this process loses its connection to the store, and a server leaves. The
// store is reachable again right after the last failed call, but the next call
// follows 800 ms later. If the grace period starts with the first answer, the
// server gets requests three seconds after its entry was removed.
TEST(TargetTable, StartsTheGracePeriodAtTheLastFailure) {
  Table.replaceAll({target("a")}, Now);
  Table.recordStoreFailure(Now);
  advance(milliseconds(800));
  CHECK(Table.replaceAll({}, Now).empty());
  advance(milliseconds(1600));
  LONGS_EQUAL(1, Table.tick(Now).size());
}

// The grace period after an outage must not apply to every later removal, or
// servers that have left keep getting requests.
TEST(TargetTable, RemovesEntriesImmediatelyWithoutAnOutage) {
  Table.replaceAll({target("a")}, Now);
  LONGS_EQUAL(1, Table.remove("a", Now).size());
  CHECK(Table.find("a") == nullptr);
}

TEST(TargetTable, DoesNotEndTheGracePeriodDuringAnotherOutage) {
  Table.replaceAll({target("a")}, Now);
  Table.recordStoreFailure(Now);
  Table.replaceAll({}, Now);
  Table.recordStoreFailure(Now);
  advance(milliseconds(5000));
  CHECK(Table.tick(Now).empty());
  CHECK(Table.find("a") != nullptr);
}

TEST_GROUP(RestartedTargets) {
  ListedTable Table;
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

// A server crashes and restarts under the same id. If starts are distinguished
// only by the id, prompts are planned with a cache that is empty, and slots
// used by the earlier start count as occupied.
TEST(RestartedTargets, AreNewTargets) {
  Table.update(entry(1000, 9), Now);
  expectRestart(Table.update(entry(2000, 1), Now));
  expectRestart(Table.replaceAll({entry(3000, 1)}, Now));
  CHECK(Table.update(entry(3000, 2), Now).empty());
}

// An entry written by an earlier start, or with an earlier heartbeat, reaches
// the store seconds late. If the last write counts as the newest, connections
// and cache view of a healthy server are dropped repeatedly, or a draining
// server gets work again.
TEST(RestartedTargets, AreNotRevertedByADelayedWrite) {
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

// The clock of a server goes back and the server restarts, so that it seems to
// have started earlier than before. If entries that seem older are ignored
// forever, no update of the server is applied any more.
TEST(RestartedTargets, AreAcceptedWhenTheirClockWentBack) {
  Table.update(entry(5000, 9), Now);
  CHECK(Table.update(entry(1000, 1), Now).empty());
  CHECK(Table.update(entry(1000, 1), Now).empty());
  expectRestart(Table.update(entry(1000, 2), Now));
}

// A store that was restored from a copy lists a removed server, which must not
// get requests again.
TEST(TargetTable, IgnoresOldEntriesOfARemovedServer) {
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

// A removed server that continues or restarts must be used again.
TEST(TargetTable, AddsARemovedServerThatWritesAgain) {
  Target LastEntry = target("a");
  LastEntry.Heartbeat = 7;
  Table.replaceAll({LastEntry}, Now);
  Table.remove("a", Now);
  Target Next = LastEntry;
  Next.Heartbeat = 8;
  LONGS_EQUAL(1, Table.update(Next, Now).size());
  Table.remove("a", Now);
  // The heartbeat restarts, and the server does not report its start time.
  Next.Heartbeat = 1;
  CHECK(Table.update(Next, Now).empty());
  Next.Heartbeat = 2;
  LONGS_EQUAL(1, Table.update(Next, Now).size());
}
