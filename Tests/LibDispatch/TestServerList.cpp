//===- TestServerList.cpp - What the store lists --------------------------===//
//
// The same rows in each order in which reads and announcements can bring them.
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
  ListUpdate read(const ServerChange &Row) {
    return List.applyChanges({Row}, Row.Version, Removals::Ended, Now);
  }
  /// Reads an entry that was written just now.
  ListUpdate write(const Target &Entry) { return read(row(++Version, Entry)); }
  ListUpdate remove() { return read(removal(++Version)); }
  ListUpdate announce(const std::vector<ServerChange> &Changes) {
    return List.applyChanges(Changes, {1, ++Version}, Removals::Ended, Now);
  }
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
      To.applyChanges({Rows.begin() + static_cast<long>(From) - 1,
                       Rows.begin() + static_cast<long>(UpTo)},
                      {1, UpTo}, Removals::Ended, Now);
    };
  };
  const auto AnnouncedOf = [&](size_t From, size_t UpTo) {
    return [&, From, UpTo](ServerList &To) {
      // An announcement that does not continue the known version is not
      // applied.
      if (To.version().Number + 1 >= From)
        To.applyChanges({Rows.begin() + static_cast<long>(From) - 1,
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
  List.applyChanges({row(2, entry(5, 2))}, {1, 2}, Removals::Ended, Now);
  CHECK(!List.find("a"));
  List.replaceAll({row(2, entry(5, 2))}, {1, 2}, Removals::Ended, Now);
  CHECK(!List.find("a"));
}

// Failure: a peer that has a server listed never learns of its removal, because
// this process did not list it.
TEST(ServerList, ReportsRemovalsOfServersThatAreNotListedHere) {
  LONGS_EQUAL(1, remove().Changes.size());
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
