//===- TestServerJournal.cpp - Changes of the list of servers, in order ---===//
//
// Spans of versions that go on from each other, and spans that do not.
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

  /// Of the first era.
  static StoreVersion at(uint64_t Number) { return {1, Number}; }
  static ServerChange removed(uint64_t Number) {
    return {at(Number), "e" + std::to_string(Number), {}};
  }
  void bothRead(uint64_t Number) {
    Reader.wholeRead(at(Number), Now);
    Peer.wholeRead(at(Number), Now);
  }
  size_t changes(const NewsVerdict &Verdict) {
    const auto *Told = std::get_if<NewChanges>(&Verdict);
    return Told ? Told->Changes.size() : 0;
  }
};

TEST(ServerJournal, TellsWhatWasRead) {
  bothRead(10);
  Now += milliseconds(800);
  Reader.changesRead(at(20), Now, {removed(12), removed(17)});
  LONGS_EQUAL(2, changes(Peer.heard(Reader.news(Now), Now)));
  CHECK(Peer.version() == at(20));
  CHECK(Peer.knownAt() == Now);
  // A second time it is nothing new.
  CHECK(std::holds_alternative<NothingNew>(Peer.heard(Reader.news(Now), Now)));
}

// Symptom: a server that has left gets requests for ever.
// Sequence: news with its removal are lost, those after it arrive.
// Cause: they were taken as if nothing were missing.
TEST(ServerJournal, TellsLostChangesAgainAndSeesGaps) {
  bothRead(10);
  Reader.changesRead(at(20), Now, {removed(12)});
  Now += milliseconds(800);
  Reader.changesRead(at(30), Now, {removed(25)});
  LONGS_EQUAL(2, changes(Peer.heard(Reader.news(Now), Now)));
  Reader.changesRead(at(40), Now, {removed(35)});
  Now += std::chrono::seconds(4);
  Reader.changesRead(at(50), Now, {});
  Now += std::chrono::seconds(4);
  Reader.changesRead(at(60), Now, {});
  CHECK(std::holds_alternative<MissingPart>(Peer.heard(Reader.news(Now), Now)));
  CHECK(Peer.version() == at(30));
}

// Symptom: a removed server is back.
// Sequence: news are held up on their way, and newer ones come first.
// Cause: what a peer told last counted, whatever it had known.
TEST(ServerJournal, PassesOverOldNews) {
  bothRead(10);
  const ServerNews Old = Reader.news(Now);
  Reader.changesRead(at(20), Now, {removed(12)});
  Peer.heard(Reader.news(Now), Now);
  CHECK(std::holds_alternative<NothingNew>(
      Peer.heard(Old, Now + milliseconds(900))));
  CHECK(Peer.version() == at(20));
  CHECK(Peer.knownAt() == Now);
}

// Sequence: a reader that has missed a change reads the whole list; in which
// order the changes came it does not know.
TEST(ServerJournal, LeavesAWholeListToBeRead) {
  bothRead(10);
  Reader.changesRead(at(20), Now, {removed(12)});
  Reader.wholeRead(at(30), Now);
  CHECK(std::holds_alternative<MissingPart>(Peer.heard(Reader.news(Now), Now)));
}

TEST(ServerJournal, AgesWhatIsTold) {
  bothRead(10);
  Now += milliseconds(800);
  Reader.changesRead(at(20), Now, {});
  Now += milliseconds(300);
  Peer.heard(Reader.news(Now), Now);
  CHECK(Peer.knownAt() == Now - milliseconds(300));
}

// Grounds: news have to fit into one datagram of 64 KiB.
TEST(ServerJournal, KeepsNewsSmall) {
  bothRead(10);
  std::vector<ServerChange> Many;
  for (uint64_t Number = 11; Number <= 1010; ++Number)
    Many.push_back(removed(Number));
  Reader.changesRead(at(1010), Now, Many);
  const ServerNews News = Reader.news(Now);
  CHECK(News.Changes.size() <= 200);
  LONGS_EQUAL(News.After.Number + 1, News.Changes.front().Version.Number);
  CHECK(std::holds_alternative<MissingPart>(Peer.heard(News, Now)));
}

// Failure: after the store came back from a copy, news of before it, with
// greater numbers, outrank what is read now; a removed server is back.
TEST(ServerJournal, PassesOverNewsOfAnEarlierEra) {
  bothRead(10);
  Reader.changesRead(at(500), Now, {removed(400)});
  const ServerNews Before = Reader.news(Now);
  Peer.wholeRead({2, 30}, Now);
  CHECK(std::holds_alternative<NothingNew>(Peer.heard(Before, Now)));
  CHECK(Peer.version() == StoreVersion({2, 30}));
}

// Failure: news of a later era are taken as the continuation of an earlier one,
// as their numbers look alike; what changed in between is never known.
TEST(ServerJournal, LeavesALaterEraToBeRead) {
  bothRead(10);
  Reader.wholeRead({2, 8}, Now);
  Reader.changesRead({2, 12}, Now, {{{2, 11}, "e", {}}});
  CHECK(std::holds_alternative<MissingPart>(Peer.heard(Reader.news(Now), Now)));
  CHECK(Peer.version() == at(10));
}

// Failure: a list of the new era that says nothing new is told as changes from
// a version of the old era on.
TEST(ServerJournal, GoesOnFromNothingOfAnEarlierEra) {
  bothRead(10);
  Reader.changesRead(at(20), Now, {removed(12)});
  Reader.changesRead({2, 15}, Now, {});
  const ServerNews News = Reader.news(Now);
  CHECK(News.After == StoreVersion({2, 15}));
  CHECK(News.UpTo == StoreVersion({2, 15}));
  CHECK(News.Changes.empty());
}
