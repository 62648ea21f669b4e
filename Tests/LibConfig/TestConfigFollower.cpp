//===- TestConfigFollower.cpp - Following the configuration ---------------===//
//
// The state machine alone, with times made up by the tests.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigFollower.h"
#include "LibConfig/SnapshotCell.h"
#include "LibConfig/WireDelta.h"

#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::config;
using namespace figlift::config::follower;
using namespace std::chrono_literals;

// CppUTest's leak table is not locked and these suites have threads.
[[maybe_unused]] static const bool LeakDetectorIsOff =
    (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

namespace {

Entry drainOf(const std::string &Name, uint64_t Revision,
              const std::string &Intent = "drain") {
  return {"target",
          Name,
          1,
          Revision,
          false,
          R"({"schemaVersion":1,"kind":"target","name":")" + Name +
              R"(","spec":{"intent":")" + Intent + R"("}})"};
}

Delta full(uint64_t Head, std::vector<Entry> Entries = {}) {
  return {0, Head, true, std::move(Entries)};
}

template <typename T> const T *find(const std::vector<Action> &Actions) {
  for (const Action &Each : Actions)
    if (const T *Found = std::get_if<T>(&Each))
      return Found;
  return nullptr;
}

} // namespace

TEST_GROUP(ConfigFollower) {
  BootTime Now{1h};
  ConfigFollower Follower;

  std::vector<Action> after(std::chrono::milliseconds Time, Event What) {
    Now += Time;
    return Follower.step(What, Now);
  }
  std::vector<Action> at(Event What) { return after(0ms, std::move(What)); }
  void begin(Delta Changes) {
    at(Tick{});
    at(ChangesFetched{std::move(Changes)});
    at(PolledHead{Follower.revision()});
  }
};

TEST(ConfigFollower, ServesOnceItHasTheConfiguration) {
  auto Actions = at(Tick{});
  CHECK(find<PollHead>(Actions));
  CHECK_EQUAL(0u, find<FetchChanges>(Actions)->After);
  CHECK_FALSE(Follower.serving());
  Actions = at(ChangesFetched{full(3, {drainOf("a", 3)})});
  CHECK_EQUAL(3u, find<Publish>(Actions)->Next->revision());
  CHECK(find<ResumeServing>(Actions));
}

TEST(ConfigFollower, TakesAnEmptyTableForTheEmptyConfiguration) {
  at(Tick{});
  CHECK(find<ResumeServing>(at(ChangesFetched{full(0)})));
  CHECK_EQUAL(0u, Follower.revision());
}

TEST(ConfigFollower, FetchesWhenThePollOrAMessageShowsANewerRevision) {
  begin(full(3));
  auto Actions = after(600ms, PolledHead{4});
  CHECK_EQUAL(3u, find<FetchChanges>(Actions)->After);
  Actions = at(ChangesFetched{{3, 4, false, {drainOf("a", 4)}}});
  CHECK_EQUAL(4u, find<Publish>(Actions)->Next->revision());
  Actions = after(600ms, SeenRevision{5});
  CHECK_EQUAL(4u, find<FetchChanges>(Actions)->After);
}

TEST(ConfigFollower, NeverGoesBackwards) {
  // Symptom: a drained target gets work again after the drain was in force.
  // Sequence: a fetch begins; a push brings revision 5; the answer of the
  // fetch, revision 4, arrives last, or a lagging peer sends its full state.
  // Cause: the newest message is taken for the newest configuration.
  begin(full(3));
  at(PushedByPeer{{3, 5, false, {drainOf("a", 5)}}});
  CHECK(!find<Publish>(at(ChangesFetched{{3, 4, false, {}}})));
  CHECK(!find<Publish>(at(PushedByPeer{full(4)})));
  CHECK_EQUAL(5u, Follower.revision());
  // Even a newer delta can't bring back an older state of one record.
  at(PushedByPeer{{3, 6, false, {drainOf("a", 4, "serve")}}});
  CHECK_TRUE(Follower.snapshot()->targetIntent("a") ==
             record::TargetIntent::Drain);
}

TEST(ConfigFollower, FetchesInsteadOfApplyingADeltaWithAGap) {
  // Symptom: one change is missing for good on one process.
  // Sequence: the push of revision 4 is lost; that of 5 arrives and is applied
  // as if it were complete. Cause: nobody compares where a delta begins.
  begin(full(3));
  auto Actions = after(200ms, PushedByPeer{{4, 5, false, {drainOf("b", 5)}}});
  CHECK(!find<Publish>(Actions));
  CHECK_EQUAL(3u, find<FetchChanges>(Actions)->After);
}

TEST(ConfigFollower, TakesTheNewestOfItsPeersWhenItIsNewDuringAnOutage) {
  at(Tick{});
  auto Actions = at(StoreFailed{});
  CHECK_TRUE(find<FetchFromPeers>(Actions)->AskAll);
  CHECK_FALSE(Follower.serving());
  CHECK(!find<FetchFromPeers>(at(PeersFailed{})));
  Actions = after(100ms, Tick{});
  CHECK(find<FetchFromPeers>(Actions));
  Actions = at(PeersFetched{full(7, {drainOf("a", 7)})});
  CHECK(find<Publish>(Actions));
  CHECK(find<ResumeServing>(Actions));
}

TEST(ConfigFollower, ServesOnThroughAnOutageOfTheTableWhilePeersAnswer) {
  begin(full(3));
  for (int Poll = 0; Poll < 40; ++Poll) {
    after(500ms, Tick{});
    CHECK(find<FetchFromPeers>(at(StoreFailed{})));
    at(PeersFetched{{3, 3, false, {}}});
    CHECK_TRUE(Follower.serving());
  }
}

TEST(ConfigFollower, StopsWhenNeitherTheTableNorAnyPeerIsReached) {
  begin(full(3));
  std::vector<Action> Actions;
  for (int Poll = 0; Poll < 11; ++Poll) {
    after(500ms, Tick{});
    at(StoreFailed{});
    Actions = at(PeersFailed{});
  }
  CHECK_FALSE(Follower.serving());
  Actions = after(100ms, PeerHeard{});
  CHECK(find<ResumeServing>(Actions));
}

TEST(ConfigFollower, StopsWhenItStaysBehindAKnownRevision) {
  begin(full(3));
  after(10ms, SeenRevision{4});
  CHECK_TRUE(Follower.serving());
  auto Actions = after(300ms, Tick{});
  CHECK_TRUE(find<StopServing>(Actions)->Reason == StopReason::Behind);
  CHECK(find<ResumeServing>(at(ChangesFetched{{3, 4, false, {}}})));
}

TEST(ConfigFollower, ForgetsARevisionThatTheTableNeverHad) {
  // Symptom: one garbled number stops a process for ever.
  // Sequence: a message claims revision 10^12; every fetch brings less.
  // Cause: what peers say is never measured against the table.
  begin(full(3));
  at(SeenRevision{1'000'000'000'000});
  after(600ms, Tick{});
  CHECK_FALSE(Follower.serving());
  CHECK(find<ResumeServing>(at(PolledHead{3})));
}

TEST(ConfigFollower, HoldsItsInvariantsUnderRandomEvents) {
  std::mt19937_64 Random(7);
  for (int Round = 0; Round < 300; ++Round) {
    ConfigFollower Any;
    uint64_t Before = 0;
    for (int Step = 0; Step < 100; ++Step) {
      uint64_t Head = Random() % 20, Base = Random() % 20;
      Delta Changes{Base, Head, Random() % 4 == 0, {}};
      const Event Events[] = {Tick{},
                              PolledHead{Head},
                              StoreFailed{},
                              ChangesFetched{Changes},
                              PeersFetched{Changes},
                              PeersFailed{},
                              PushedByPeer{Changes},
                              SeenRevision{Head},
                              PeerHeard{}};
      Now += std::chrono::milliseconds(Random() % 300);
      auto Actions = Any.step(Events[Random() % std::size(Events)], Now);
      if (const auto *New = find<Publish>(Actions)) {
        CHECK_TRUE(New->Next->revision() > Before || Before == 0);
        CHECK_TRUE(Changes.Full || Changes.Base <= Before);
      }
      CHECK_TRUE(Any.revision() >= Before);
      Before = Any.revision();
    }
  }
}

TEST_GROUP(Snapshot){};

TEST(Snapshot, CarriesEveryChangeInItsDiffAlsoOnTheWire) {
  auto First =
      Snapshot::empty()->with(full(2, {drainOf("a", 1), drainOf("b", 2)}));
  Entry Gone = drainOf("a", 3);
  Gone.Withdrawn = true;
  auto Second = First->with({2, 3, false, {Gone}});
  CHECK_TRUE(Second->targetIntent("a") == record::TargetIntent::Serve);
  CHECK_EQUAL(1u, Second->diffSince(2).Entries.size());
  auto Whole = fromReply(toReply(Second->diffSince(0)), 0);
  CHECK_TRUE(Whole.Full && Whole.Entries == Second->diffSince(0).Entries);
  auto Copy = First->with(fromSyncUp(toSyncUp(Second->diffSince(2), "e")));
  CHECK_EQUAL(3u, Copy->revision());
  CHECK_TRUE(Copy->find("target", "a")->Stored.Withdrawn);
}

TEST(Snapshot, KeepsTheLastFormItCanReadOfARecord) {
  // Symptom: a back end vanishes while entries are upgraded one by one.
  // Sequence: a newer entry accepts a record of a schema version that this
  // build doesn't know. Cause: what can't be parsed is dropped.
  auto First = Snapshot::empty()->with(full(1, {drainOf("a", 1)}));
  Entry Newer = drainOf("a", 2);
  Newer.Text.replace(Newer.Text.find(":1"), 2, ":9");
  auto Second = First->with({1, 2, false, {Newer}});
  CHECK_TRUE(Second->targetIntent("a") == record::TargetIntent::Drain);
  CHECK_FALSE(Second->find("target", "a")->Unreadable.empty());
}

TEST(Snapshot, IsReadWhileItIsReplaced) {
  SnapshotCell Cell;
  std::atomic<bool> Stop = false;
  std::atomic<unsigned> Backwards = 0;
  std::vector<std::thread> Readers;
  for (int Count = 0; Count < 3; ++Count)
    Readers.emplace_back([&] {
      uint64_t Last = 0;
      while (!Stop) {
        uint64_t Seen = Cell.read([](const Snapshot *Current) {
          return Current ? Current->revision() : uint64_t(0);
        });
        Backwards += Seen < Last;
        Last = Seen;
      }
    });
  auto Current = Snapshot::empty();
  for (uint64_t Revision = 1; Revision <= 200; ++Revision) {
    Current = Current->with(full(Revision, {drainOf("a", Revision)}));
    Cell.publish(Current);
  }
  Stop = true;
  for (auto &Each : Readers)
    Each.join();
  CHECK_EQUAL(0u, Backwards);
  CHECK_EQUAL(200u, Cell.get()->revision());
}
