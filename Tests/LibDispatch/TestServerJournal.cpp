//===- TestServerJournal.cpp - Recent changes of the server list ----------===//
//
// Covers updates that continue the known versions, and updates that do not.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerJournal.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(ServerJournal) {
  ServerJournal Reader;
  ServerJournal Peer;
  BootTime Now{std::chrono::seconds(100)};

  /// A version of the first era.
  static StoreVersion at(uint64_t Number) { return {1, Number}; }
  static ServerChange removed(uint64_t Number) {
    return {at(Number), "e" + std::to_string(Number), {}};
  }
  void bothRead(uint64_t Number) {
    Reader.recordFullRead(at(Number), Now);
    Peer.recordFullRead(at(Number), Now);
  }
  size_t changes(const UpdateResult &Result) {
    const auto *Accepted = std::get_if<ServerChanges>(&Result);
    return Accepted ? Accepted->Changes.size() : 0;
  }
};

TEST(ServerJournal, ReportsChanges) {
  bothRead(10);
  Now += milliseconds(800);
  Reader.recordChanges(at(20), Now, {removed(12), removed(17)});
  LONGS_EQUAL(2, changes(Peer.applyUpdate(Reader.makeUpdate(Now), Now)));
  CHECK(Peer.version() == at(20));
  CHECK(Peer.knownAt() == Now);
  // A duplicate contains no changes.
  CHECK(std::holds_alternative<NoChanges>(
      Peer.applyUpdate(Reader.makeUpdate(Now), Now)));
}

// Guards against: an update with the removal of a server is lost, later ones
// are accepted in spite of the gap, and the server gets requests forever.
TEST(ServerJournal, RetransmitsChangesAndDetectsGaps) {
  bothRead(10);
  Reader.recordChanges(at(20), Now, {removed(12)});
  Now += milliseconds(800);
  Reader.recordChanges(at(30), Now, {removed(25)});
  LONGS_EQUAL(2, changes(Peer.applyUpdate(Reader.makeUpdate(Now), Now)));
  Reader.recordChanges(at(40), Now, {removed(35)});
  Now += std::chrono::seconds(4);
  Reader.recordChanges(at(50), Now, {});
  Now += std::chrono::seconds(4);
  Reader.recordChanges(at(60), Now, {});
  CHECK(std::holds_alternative<MissingVersions>(
      Peer.applyUpdate(Reader.makeUpdate(Now), Now)));
  CHECK(Peer.version() == at(30));
}

// Guards against: an update that is delayed and arrives after a newer one
// brings a removed server back.
TEST(ServerJournal, IgnoresOutdatedUpdate) {
  bothRead(10);
  const ServerUpdate Outdated = Reader.makeUpdate(Now);
  Reader.recordChanges(at(20), Now, {removed(12)});
  Peer.applyUpdate(Reader.makeUpdate(Now), Now);
  CHECK(std::holds_alternative<NoChanges>(
      Peer.applyUpdate(Outdated, Now + milliseconds(900))));
  CHECK(Peer.version() == at(20));
  CHECK(Peer.knownAt() == Now);
}

// A process that reads the whole list does not know the order of the changes
// since its previous version, so its peers have to read the list, too.
TEST(ServerJournal, DoesNotReportFullRead) {
  bothRead(10);
  Reader.recordChanges(at(20), Now, {removed(12)});
  Reader.recordFullRead(at(30), Now);
  CHECK(std::holds_alternative<MissingVersions>(
      Peer.applyUpdate(Reader.makeUpdate(Now), Now)));
}

TEST(ServerJournal, AddsAgeOfUpdate) {
  bothRead(10);
  Now += milliseconds(800);
  Reader.recordChanges(at(20), Now, {});
  Now += milliseconds(300);
  Peer.applyUpdate(Reader.makeUpdate(Now), Now);
  CHECK(Peer.knownAt() == Now - milliseconds(300));
}

// An update has to fit into one datagram of 64 KiB.
TEST(ServerJournal, LimitsSizeOfUpdate) {
  bothRead(10);
  std::vector<ServerChange> Changes;
  for (uint64_t Number = 11; Number <= 1010; ++Number)
    Changes.push_back(removed(Number));
  Reader.recordChanges(at(1010), Now, Changes);
  const ServerUpdate Update = Reader.makeUpdate(Now);
  CHECK(Update.Changes.size() <= 200);
  LONGS_EQUAL(Update.After.Number + 1, Update.Changes.front().Version.Number);
  CHECK(std::holds_alternative<MissingVersions>(Peer.applyUpdate(Update, Now)));
}

// Guards against: after the store was restored from a copy, updates of the
// earlier era, with greater version numbers, outrank newer data and bring a
// removed server back.
TEST(ServerJournal, IgnoresUpdateOfEarlierEra) {
  bothRead(10);
  Reader.recordChanges(at(500), Now, {removed(400)});
  const ServerUpdate EarlierEra = Reader.makeUpdate(Now);
  Peer.recordFullRead({2, 30}, Now);
  CHECK(std::holds_alternative<NoChanges>(Peer.applyUpdate(EarlierEra, Now)));
  CHECK(Peer.version() == StoreVersion({2, 30}));
}

// Guards against: an update of a later era is accepted as the continuation of
// an earlier era because the version numbers match, and the changes between are
// lost.
TEST(ServerJournal, RequiresReadInLaterEra) {
  bothRead(10);
  Reader.recordFullRead({2, 8}, Now);
  Reader.recordChanges({2, 12}, Now, {{{2, 11}, "e", {}}});
  CHECK(std::holds_alternative<MissingVersions>(
      Peer.applyUpdate(Reader.makeUpdate(Now), Now)));
  CHECK(Peer.version() == at(10));
}

// Guards against: a list of a new era without changes is reported as changes
// since a version of the earlier era.
TEST(ServerJournal, DoesNotContinueEarlierEra) {
  bothRead(10);
  Reader.recordChanges(at(20), Now, {removed(12)});
  Reader.recordChanges({2, 15}, Now, {});
  const ServerUpdate Update = Reader.makeUpdate(Now);
  CHECK(Update.After == StoreVersion({2, 15}));
  CHECK(Update.UpTo == StoreVersion({2, 15}));
  CHECK(Update.Changes.empty());
}
