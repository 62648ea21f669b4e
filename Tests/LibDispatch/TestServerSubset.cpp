//===- TestServerSubset.cpp - Tests of the servers a gateway uses ---------===//
//
// Thousands of servers before hundreds of gateways.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerSubset.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;

TEST_GROUP(ServerSubset) {
  std::vector<Target> Servers;

  /// \p Count servers in three zones; every third engine prefills.
  void addServers(size_t Count) {
    for (size_t Number = 0; Number < Count; ++Number) {
      Target Added;
      Added.Id = "i-" + std::to_string(Number * 7919);
      Added.Zone = std::string(1, static_cast<char>('a' + Number % 3));
      Added.EngineStage = Number / 3 % 3 == 0 ? Stage::Prefill : Stage::Decode;
      Servers.push_back(Added);
    }
  }
  std::vector<const Target *> subset(size_t Index, size_t Count) const {
    std::vector<const Target *> All;
    for (const Target &Server : Servers)
      All.push_back(&Server);
    return ServerRings(All).ofGateway({Index, Count});
  }
  static std::set<std::string> idsOf(
      const std::vector<const Target *> &Members) {
    std::set<std::string> Ids;
    for (const Target *Member : Members)
      Ids.insert(Member->Id);
    return Ids;
  }
};

TEST(ServerSubset, IsAllOfASmallService) {
  addServers(MaximumUsedServers);
  LONGS_EQUAL(MaximumUsedServers, subset(3, 300).size());
}

// Failure: servers that no gateway uses stand idle while others are overloaded.
TEST(ServerSubset, EachServerIsUsedByAboutAsManyGateways) {
  addServers(3000);
  std::map<std::string, unsigned> Users;
  for (size_t Index = 0; Index < 300; ++Index) {
    const auto Used = subset(Index, 300);
    CHECK(Used.size() <= MaximumUsedServers);
    for (const std::string &Id : idsOf(Used))
      ++Users[Id];
  }
  LONGS_EQUAL(3000, Users.size());
  for (const auto &[Id, Count] : Users)
    CHECK(Count >= 11 && Count <= 14);
}

// Failure: a gateway has no engine of one stage, or none of one zone, and
// cannot serve when the others are lost.
TEST(ServerSubset, HasEveryZoneInEachStage) {
  addServers(3000);
  for (size_t Index = 0; Index < 300; ++Index) {
    std::map<std::pair<Stage, std::string>, unsigned> Members;
    for (const Target *Server : subset(Index, 300))
      ++Members[{Server->EngineStage, Server->Zone}];
    LONGS_EQUAL(6, Members.size());
  }
}

// Failure: each gateway computes the prompts of a subject at other engines, and
// shared parts that are cached somewhere are computed again.
TEST(ServerSubset, IsTheSameForOneSubjectAtAllGateways) {
  addServers(3000);
  std::vector<const Target *> Listed;
  for (const Target &Server : Servers)
    Listed.push_back(&Server);
  const auto Part = idsOf(ServerRings(Listed).ofSubject(7));
  std::reverse(Listed.begin(), Listed.end());
  CHECK(Part == idsOf(ServerRings(Listed).ofSubject(7)));
  CHECK(Part.size() > 120);
  CHECK(Part != idsOf(ServerRings(Listed).ofSubject(8)));
}

// Failure: one server that leaves makes every gateway connect to all of its
// servers anew.
TEST(ServerSubset, ChangesLittleWithTheLists) {
  addServers(3000);
  const auto Before = idsOf(subset(120, 300));
  Servers.erase(Servers.begin() + 17);
  const auto After = idsOf(subset(120, 301));
  std::set<std::string> Kept;
  std::set_intersection(Before.begin(), Before.end(), After.begin(),
                        After.end(), std::inserter(Kept, Kept.begin()));
  CHECK(Kept.size() >= 115);
}
