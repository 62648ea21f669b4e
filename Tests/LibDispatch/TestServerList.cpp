//===- TestServerList.cpp - What the store lists --------------------------===//
//
// The same rows in each order in which reads and announcements can bring them,
// writes that the store performs late, and restarts that look like these.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerList.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(ServerList) {
  ServerList List;
  BootTime Now{std::chrono::seconds(100)};
  uint64_t Version = 0;

  static Target entry(int64_t Started, uint64_t Heartbeat,
                      bool Draining = false) {
    Target Entry;
    Entry.Id = "a";
    Entry.Service = "s";
    Entry.Address = {"10.0.0.1", 80};
    Entry.Started = StartTime(milliseconds(Started));
    Entry.Heartbeat = Heartbeat;
    Entry.Draining = Draining;
    return Entry;
  }
  static ServerChange row(uint64_t Number, const Target &Entry) {
    return {{1, Number}, Entry.Id, Entry};
  }
  static ServerChange removal(uint64_t Number) {
    return {{1, Number}, "a", {}};
  }
  ListUpdate read(const ServerChange &Row, Removals Kind = Removals::Ended) {
    return List.applyRead({Row}, Row.Version, Kind, Now);
  }
  /// Reads an entry that was written just now.
  ListUpdate write(const Target &Entry) { return read(row(++Version, Entry)); }
  ListUpdate remove() { return read(removal(++Version)); }
  ListUpdate announce(const std::vector<ServerChange> &Changes) {
    return List.applyAnnounced(Changes, {1, ++Version}, Removals::Ended, Now);
  }
  void advance(milliseconds Time) { Now += Time; }
};

// Failure: a gateway sends requests to a server that has left, because the
// answer that says so was overtaken by an older one, or the reverse.
TEST(ServerList, IsTheSameInEachOrder) {
  // Versions 1 to 3, of which the last one removes the entry of a drained
  // server, as a full read, as changes, and as announced by a peer.
  const std::vector<ServerChange> Rows = {
      row(1, entry(5, 1)), row(2, entry(5, 2, true)), removal(3)};
  const auto FullReadOf = [&](size_t Number) {
    return [&, Number](ServerList &To) {
      std::vector<ServerChange> Listed;
      if (Rows[Number - 1].Entry)
        Listed.push_back(Rows[Number - 1]);
      To.replaceAll(Listed, {1, Number}, Removals::Ended, Now);
    };
  };
  const auto ReadOf = [&](size_t From, size_t UpTo) {
    return [&, From, UpTo](ServerList &To) {
      To.applyRead({Rows.begin() + static_cast<long>(From) - 1,
                    Rows.begin() + static_cast<long>(UpTo)},
                   {1, UpTo}, Removals::Ended, Now);
    };
  };
  const auto AnnouncedOf = [&](size_t From, size_t UpTo) {
    return [&, From, UpTo](ServerList &To) {
      // An announcement that does not continue the known version is not
      // applied.
      if (To.version().Number + 1 >= From)
        To.applyAnnounced({Rows.begin() + static_cast<long>(From) - 1,
                           Rows.begin() + static_cast<long>(UpTo)},
                          {1, UpTo}, Removals::Ended, Now);
    };
  };
  const std::vector<std::function<void(ServerList &)>> Steps = {
      FullReadOf(1), FullReadOf(2),     FullReadOf(3),    ReadOf(2, 2),
      ReadOf(2, 3),  AnnouncedOf(2, 2), AnnouncedOf(2, 3)};
  std::vector<size_t> Order(Steps.size());
  std::iota(Order.begin(), Order.end(), 0);
  do {
    ServerList Gateway;
    FullReadOf(1)(Gateway);
    for (const size_t Step : Order) {
      const StoreVersion Before = Gateway.version();
      Steps[Step](Gateway);
      CHECK(Gateway.version() >= Before);
      const Target *Listed = Gateway.find("a");
      // What is listed at each version, however it was reached.
      if (Gateway.version().Number == 3)
        CHECK(!Listed);
      else
        CHECK(Listed && Listed->Draining == (Gateway.version().Number == 2));
    }
    LONGS_EQUAL(3, Gateway.version().Number);
  } while (std::next_permutation(Order.begin(), Order.end()));
}

// Failure: an answer of the store that was on its way while a peer announced a
// removal brings the server back.
TEST(ServerList, IgnoresRowsThatAReadBringsTooLate) {
  write(entry(5, 1));
  announce({removal(3)});
  List.applyRead({row(2, entry(5, 2))}, {1, 2}, Removals::Ended, Now);
  CHECK(!List.find("a"));
  List.replaceAll({row(2, entry(5, 2))}, {1, 2}, Removals::Ended, Now);
  CHECK(!List.find("a"));
}

// Failure: a peer that has a server listed never learns of its removal, because
// this process did not list it.
TEST(ServerList, ReportsRemovalsOfServersThatAreNotListedHere) {
  LONGS_EQUAL(1, remove().Changes.size());
}

// Failure: two late writes of a removed server bring it back.
TEST(ServerList, IgnoresLateWritesOfARemovedServer) {
  for (uint64_t Heartbeat = 1; Heartbeat <= 9; ++Heartbeat)
    write(entry(5, Heartbeat));
  remove();
  for (const uint64_t Heartbeat : {4, 5, 6}) {
    advance(milliseconds(1200));
    const ListUpdate Update = write(entry(5, Heartbeat));
    CHECK(Update.Changes.empty());
    CHECK(Update.Late.at(0).Reason == LateReason::EndedStart);
    LONGS_EQUAL(9, Update.Late.at(0).KnownHeartbeat);
    // The row is still there in the next full read.
    List.replaceAll({row(Version, entry(5, Heartbeat))}, {1, Version},
                    Removals::Ended, Now);
  }
  CHECK(!List.find("a"));
}

// Failure: late writes of a server that is ready bring it back after it has
// begun to drain.
TEST(ServerList, IgnoresLateWritesOfADrainingServer) {
  write(entry(5, 8));
  write(entry(5, 9, true));
  for (const uint64_t Heartbeat : {1, 2, 3})
    CHECK(write(entry(5, Heartbeat)).Changes.empty());
  CHECK(List.find("a")->Draining);
}

// Failure: late writes of the start before the last one bring a removed server
// back.
TEST(ServerList, IgnoresLateWritesOfAnEarlierStart) {
  write(entry(5, 8));
  write(entry(6, 1));
  for (const uint64_t Heartbeat : {9, 10})
    CHECK(write(entry(5, Heartbeat)).Changes.empty());
  write(entry(6, 2));
  remove();
  for (const uint64_t Heartbeat : {11, 12})
    CHECK(write(entry(5, Heartbeat)).Changes.empty());
  CHECK(!List.find("a"));
}

// Failure: two late writes of a start that this process has not seen bring a
// server back that has left.
TEST(ServerList, IgnoresLateWritesOfAStartThatWasNotSeen) {
  write(entry(6, 3));
  remove();
  for (const uint64_t Heartbeat : {8, 9}) {
    advance(milliseconds(1200));
    CHECK(write(entry(5, Heartbeat)).Changes.empty());
  }
  CHECK(!List.find("a"));
}

// Failure: a server of whose heartbeats peers tell only the first comes back
// with a late write, although it has left.
TEST(ServerList, IgnoresALateWriteWithAHeartbeatThatWasNotAnnounced) {
  write(entry(5, 1));
  announce({});
  remove();
  advance(milliseconds(4000));
  const ListUpdate Update = write(entry(5, 8));
  CHECK(Update.Changes.empty());
  CHECK(Update.Late.at(0).Reason == LateReason::UnknownLastWrite);
}

// Failure: a store that was restored from a copy brings a server back whose
// last heartbeat is not known.
TEST(ServerList, IgnoresACopyWithAHigherHeartbeatThanIsKnown) {
  write(entry(5, 1));
  announce({});
  remove();
  advance(milliseconds(8100));
  List.replaceAll({{{2, 1}, "a", entry(5, 8)}}, {2, 1}, Removals::Ended, Now);
  CHECK(!List.find("a"));
}

// Failure: a gateway that knows old heartbeats only leaves out a server that is
// listed again long after its removal.
TEST(ServerList, AcceptsAServerThatIsListedAgainLongAfterItsRemoval) {
  write(entry(5, 1));
  announce({});
  remove();
  advance(milliseconds(8100));
  LONGS_EQUAL(1, write(entry(5, 8)).Changes.size());
}

// Failure: a gateway that knows old heartbeats only leaves out a server that
// writes on after its entry was removed.
TEST(ServerList, AcceptsHigherHeartbeatsThanTheAnnouncedLastOne) {
  write(entry(5, 1));
  ServerChange Removal = removal(3);
  Removal.Last = LastWrite{StartTime(milliseconds(5)), 9};
  announce({Removal});
  Version = 3;
  CHECK(write(entry(5, 8)).Changes.empty());
  LONGS_EQUAL(1, write(entry(5, 10)).Changes.size());
}

// Failure: the same, where the gateway has read the removal itself before the
// peer announces it.
TEST(ServerList, LearnsTheLastWriteOfARemovalItHasRead) {
  write(entry(5, 1));
  announce({});
  remove();
  ServerChange Removal = removal(Version);
  Removal.Last = LastWrite{StartTime(milliseconds(5)), 9};
  announce({Removal});
  CHECK(write(entry(5, 9)).Changes.empty());
  LONGS_EQUAL(1, write(entry(5, 10)).Changes.size());
}

// Failure: a gateway that took an entry for a late write does not use the
// server that a peer has found to run.
TEST(ServerList, AcceptsAnAnnouncedEntryThatItTookForALateWrite) {
  write(entry(5, 1));
  announce({});
  remove();
  write(entry(5, 9));
  CHECK(!List.find("a"));
  LONGS_EQUAL(1, announce({row(Version, entry(5, 9))}).Changes.size());
}

// Failure: all gateways use a server that has left, because one that has just
// started, and so remembers nothing, announces its late write.
TEST(ServerList, IgnoresALateWriteThatAPeerAnnounces) {
  write(entry(5, 8));
  remove();
  const uint64_t Late = ++Version;
  for (const milliseconds Time : {milliseconds(500), milliseconds(6500)}) {
    advance(Time);
    CHECK(announce({row(Late, entry(5, 7))}).Changes.empty());
  }
  // By then the peer has seen more than a late write.
  advance(milliseconds(2000));
  LONGS_EQUAL(1, announce({row(Late, entry(5, 7))}).Changes.size());
}

// Failure: a removal is announced without its last heartbeat, or with one that
// this process does not know.
TEST(ServerList, TellsTheLastWriteOnlyIfAllWereRead) {
  write(entry(5, 1));
  write(entry(5, 2));
  CHECK(remove().Changes.at(0).Change.Last ==
        LastWrite({StartTime(milliseconds(5)), 2}));
  write(entry(5, 3));
  announce({});
  CHECK(!remove().Changes.at(0).Change.Last);
  // A full read has all rows.
  List.replaceAll({row(++Version, entry(5, 7))}, {1, Version}, Removals::Ended,
                  Now);
  announce({row(Version + 1, entry(5, 8))});
  List.replaceAll({row(++Version, entry(5, 9))}, {1, Version}, Removals::Ended,
                  Now);
  CHECK(remove().Changes.at(0).Change.Last.has_value());
}

// Failure: servers whose entries expired in an outage of the store are left out
// by the gateways that know old heartbeats only.
TEST(ServerList, AcceptsEntriesThatExpiredInAnOutage) {
  write(entry(5, 1));
  announce({});
  List.replaceAll({}, {1, ++Version}, Removals::MayBeExpired, Now);
  CHECK(!List.find("a"));
  advance(milliseconds(1300));
  LONGS_EQUAL(1, write(entry(5, 20)).Changes.size());
}

// Failure: a peer that lists a late write, because it has just started, is not
// told of the entry that follows.
TEST(ServerList, ReportsTheEntryAfterALateWriteAsAChange) {
  write(entry(5, 8));
  write(entry(5, 9, true));
  write(entry(5, 3));
  CHECK(!write(entry(5, 10, true)).Changes.at(0).OnlyHeartbeat);
  CHECK(write(entry(5, 11, true)).Changes.at(0).OnlyHeartbeat);
}

TEST(ServerList, AcceptsALaterStart) {
  write(entry(5, 8));
  LONGS_EQUAL(1, write(entry(6, 1)).Changes.size());
  remove();
  LONGS_EQUAL(1, write(entry(7, 1)).Changes.size());
}

// Failure: a server whose clock went back is left out after its restart.
TEST(ServerList, AcceptsAStartWhoseClockWentBack) {
  write(entry(5000, 8));
  write(entry(1000, 1));
  LONGS_EQUAL(1, write(entry(1000, 2)).Changes.size());
  remove();
  write(entry(500, 1));
  LONGS_EQUAL(1, write(entry(500, 2)).Changes.size());
}

// Failure: the same, where the first entries were not read.
TEST(ServerList, AcceptsEntriesThatSeemLateForLongerThanAnyWriteIsLate) {
  write(entry(5000, 8));
  uint64_t Heartbeat = 4;
  for (; Heartbeat <= 11; ++Heartbeat) {
    CHECK(write(entry(1000, Heartbeat)).Changes.empty());
    advance(milliseconds(1100));
  }
  LONGS_EQUAL(1, write(entry(1000, Heartbeat)).Changes.size());
}

TEST(ServerList, AcceptsARemovedServerThatWritesOn) {
  write(entry(5, 8));
  remove();
  LONGS_EQUAL(1, write(entry(5, 9)).Changes.size());
}

// Failure: a store that was restored from a copy brings servers back that were
// removed or replaced, and newer entries are replaced by older ones.
TEST(ServerList, IgnoresOldEntriesOfALaterEra) {
  write(entry(5, 8));
  write(entry(6, 1));
  write(entry(6, 2, true));
  List.replaceAll({{{2, 1}, "a", entry(5, 8)}}, {2, 1}, Removals::MayBeExpired,
                  Now);
  CHECK(*List.find("a") == entry(6, 2, true));
  List.replaceAll({{{2, 2}, "a", entry(6, 1)}}, {2, 2}, Removals::MayBeExpired,
                  Now);
  CHECK(*List.find("a") == entry(6, 2, true));
}

// Failure: the memory for starts that have ended grows without bound.
TEST(ServerList, BoundsTheMemoryForEndedStarts) {
  for (int64_t Started = 1; Started <= 1000; ++Started)
    write(entry(Started, 1));
  CHECK(List.endedStarts() <= ServerListOptions().MaximumEndedStarts);
  advance(milliseconds(31000));
  List.forgetEnded(Now);
  LONGS_EQUAL(0, List.endedStarts());
  CHECK(List.find("a"));
}
