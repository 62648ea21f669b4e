//===- TestPrefixAndSubset.cpp - Hashes, subsets and gauges -----*- C++ -*-===//
//
// The components that the choice of a target is built on.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/InFlightTracker.h"
#include "LibRoute/PrefixHash.h"
#include "LibRoute/Subset.h"

#include <algorithm>
#include <map>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::route;

TEST_GROUP(PrefixHash){};

TEST(PrefixHash, ChainsOverWholeBlocks) {
  const std::string Roster(2 * PrefixBlockBytes, 'r');
  const auto First = prefixHashes(Roster + "notes of one family");
  const auto Second = prefixHashes(Roster + std::string(1024, 'n'));
  LONGS_EQUAL(2, First.size());
  LONGS_EQUAL(3, Second.size());
  CHECK(First[0] == Second[0] && First[1] == Second[1]);
  // The same block at another position is not the same prefix.
  CHECK(First[0] != First[1]);
  CHECK(prefixHashes(std::string(PrefixBlockBytes - 1, 'x')).empty());
}

TEST(PrefixHash, LongestCachedBlockCountsDespiteLostCacheEvents) {
  const auto Hashes = prefixHashes(std::string(4 * PrefixBlockBytes, 'r'));
  const std::vector<uint64_t> Cached{Hashes[2], Hashes[0]};
  const PrefixSummary Summary(Cached);
  LONGS_EQUAL(3, Summary.matchingBlocks(Hashes));
  LONGS_EQUAL(1, PrefixSummary(Cached, 1).size());
  LONGS_EQUAL(0, PrefixSummary().matchingBlocks(Hashes));
}

TEST_GROUP(Subset){std::vector<SubsetMember> fleet(unsigned Count)
                       const {std::vector<SubsetMember> Members;
for (unsigned I = 0; I < Count; ++I)
  Members.push_back({"vm-" + std::to_string(I),
                     "zone-" + std::to_string(I % 4)});
return Members;
}
}
;

TEST(Subset, PrefersOwnZoneAndKeepsOthers) {
  const auto Chosen = subsetFor("entry-1", "zone-2", fleet(64), 12);
  LONGS_EQUAL(12, Chosen.size());
  const auto InOwnZone =
      std::ranges::count_if(Chosen, [](const std::string &Id) {
        return std::stoi(Id.substr(3)) % 4 == 2;
      });
  LONGS_EQUAL(8, InOwnZone);
  LONGS_EQUAL(3, subsetFor("entry-1", "zone-2", fleet(3), 12).size());
}

TEST(Subset, ChangesLittleWhenATargetIsRemoved) {
  auto Members = fleet(64);
  const auto Before = subsetFor("entry-1", "zone-2", Members, 12);
  std::erase_if(
      Members, [&](const auto &Member) { return Member.Id == Before.front(); });
  const auto After = subsetFor("entry-1", "zone-2", Members, 12);
  std::set<std::string> Previous(Before.begin(), Before.end());
  const auto Same = std::ranges::count_if(
      After, [&](const auto &Id) { return Previous.contains(Id); });
  LONGS_EQUAL(11, Same);
}

// Guards against a target that is idle while the fleet is overloaded: if each
// entry selects its subset independently of the other entries, a target may be
// in none of the subsets.
TEST(Subset, EveryTargetIsInSomeSubset) {
  const auto Members = fleet(200);
  std::vector<std::string> Entries;
  for (int I = 0; I < 20; ++I)
    Entries.push_back("entry-" + std::to_string(I));
  std::map<std::string, int> Holders;
  size_t Largest = 0;
  for (const std::string &Entry : Entries) {
    const auto Chosen = subsetFor(Entry, "zone-0", Members, 24, Entries);
    Largest = std::max(Largest, Chosen.size());
    for (const std::string &Id : Chosen)
      ++Holders[Id];
  }
  LONGS_EQUAL(Members.size(), Holders.size());
  for (const auto &[Target, Count] : Holders)
    CHECK(Count >= 2);
  CHECK(Largest <= 40);
}

TEST_GROUP(InFlightTracker){};

// Guards against an entry that permanently avoids an idle target, or overloads
// one: if an update by concurrent threads is lost, the count of work in flight
// never returns to zero.
TEST(InFlightTracker, CountsAreExactUnderManyThreads) {
  InFlightTracker Tracker;
  std::vector<std::thread> Threads;
  for (int ThreadIndex = 0; ThreadIndex < 4; ++ThreadIndex)
    Threads.emplace_back([&Tracker, ThreadIndex] {
      const auto Gauge = Tracker.gauge("vm-" + std::to_string(ThreadIndex % 2));
      for (int I = 0; I < 5000; ++I) {
        InFlightTicket Ticket(Gauge, {record::ServiceClass::Interactive, 7, 3});
        InFlightTicket Moved = std::move(Ticket);
        Gauge->report({}, BootTime::clock::time_point{});
        (void)Gauge->corrected();
        Moved.settle();
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (const char *Id : {"vm-0", "vm-1"}) {
    LONGS_EQUAL(0, Tracker.gauge(Id)->unaccountedRequests());
    LONGS_EQUAL(0, Tracker.gauge(Id)->corrected().prefillTotal());
  }
  LONGS_EQUAL(2, Tracker.size());
  Tracker.removeUnused();
  LONGS_EQUAL(0, Tracker.size());
}
