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

  static ServerChange removed(uint64_t Version) {
    return {Version, "e" + std::to_string(Version), {}};
  }
  void bothRead(uint64_t Version) {
    Reader.wholeRead(Version, Now);
    Peer.wholeRead(Version, Now);
  }
  size_t changes(const NewsVerdict &Verdict) {
    const auto *Told = std::get_if<NewChanges>(&Verdict);
    return Told ? Told->Changes.size() : 0;
  }
};

TEST(ServerJournal, TellsWhatWasRead) {
  bothRead(10);
  Now += milliseconds(800);
  Reader.changesRead(20, Now, {removed(12), removed(17)});
  LONGS_EQUAL(2, changes(Peer.heard(Reader.news(Now), Now)));
  LONGS_EQUAL(20, Peer.version());
  CHECK(Peer.knownAt() == Now);
  // A second time it is nothing new.
  CHECK(std::holds_alternative<NothingNew>(Peer.heard(Reader.news(Now), Now)));
}

// Symptom: a server that has left gets requests for ever.
// Sequence: news with its removal are lost, those after it arrive.
// Cause: they were taken as if nothing were missing.
TEST(ServerJournal, TellsLostChangesAgainAndSeesGaps) {
  bothRead(10);
  Reader.changesRead(20, Now, {removed(12)});
  Now += milliseconds(800);
  Reader.changesRead(30, Now, {removed(25)});
  LONGS_EQUAL(2, changes(Peer.heard(Reader.news(Now), Now)));
  Reader.changesRead(40, Now, {removed(35)});
  Now += std::chrono::seconds(4);
  Reader.changesRead(50, Now, {});
  Now += std::chrono::seconds(4);
  Reader.changesRead(60, Now, {});
  CHECK(std::holds_alternative<MissingPart>(Peer.heard(Reader.news(Now), Now)));
  LONGS_EQUAL(30, Peer.version());
}

// Symptom: a removed server is back.
// Sequence: news are held up on their way, and newer ones come first.
// Cause: what a peer told last counted, whatever it had known.
TEST(ServerJournal, PassesOverOldNews) {
  bothRead(10);
  const ServerNews Old = Reader.news(Now);
  Reader.changesRead(20, Now, {removed(12)});
  Peer.heard(Reader.news(Now), Now);
  CHECK(std::holds_alternative<NothingNew>(
      Peer.heard(Old, Now + milliseconds(900))));
  LONGS_EQUAL(20, Peer.version());
  CHECK(Peer.knownAt() == Now);
}

// Sequence: a reader that has missed a change reads the whole list; in which
// order the changes came it does not know.
TEST(ServerJournal, LeavesAWholeListToBeRead) {
  bothRead(10);
  Reader.changesRead(20, Now, {removed(12)});
  Reader.wholeRead(30, Now);
  CHECK(std::holds_alternative<MissingPart>(Peer.heard(Reader.news(Now), Now)));
}

TEST(ServerJournal, AgesWhatIsTold) {
  bothRead(10);
  Now += milliseconds(800);
  Reader.changesRead(20, Now, {});
  Now += milliseconds(300);
  Peer.heard(Reader.news(Now), Now);
  CHECK(Peer.knownAt() == Now - milliseconds(300));
}

// Grounds: news have to fit into one datagram of 64 KiB.
TEST(ServerJournal, KeepsNewsSmall) {
  bothRead(10);
  std::vector<ServerChange> Many;
  for (uint64_t Version = 11; Version <= 1010; ++Version)
    Many.push_back(removed(Version));
  Reader.changesRead(1010, Now, Many);
  const ServerNews News = Reader.news(Now);
  CHECK(News.Changes.size() <= 200);
  LONGS_EQUAL(News.After + 1, News.Changes.front().Version);
  CHECK(std::holds_alternative<MissingPart>(Peer.heard(News, Now)));
}
