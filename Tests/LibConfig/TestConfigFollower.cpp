//===- TestConfigFollower.cpp - Following the configuration ---------------===//
//
// Tests the state machine with simulated time.
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

// CppUTest's leak table is not thread-safe and these suites use threads.
[[maybe_unused]] static const bool LeakDetectorIsOff =
    (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

namespace {

StoredRecord drainRecord(const std::string &Name, uint64_t Revision,
                         const std::string &Intent = "drain") {
  return {"target",
          Name,
          1,
          Revision,
          false,
          R"({"schemaVersion":1,"kind":"target","name":")" + Name +
              R"(","spec":{"intent":")" + Intent + R"("}})"};
}

Delta full(uint64_t Head, std::vector<StoredRecord> Records = {}) {
  return {0, Head, true, std::move(Records)};
}

template <typename T> const T *find(const std::vector<Action> &Actions) {
  for (const Action &Candidate : Actions)
    if (const T *Match = std::get_if<T>(&Candidate))
      return Match;
  return nullptr;
}

} // namespace

TEST_GROUP(ConfigFollower) {
  BootTime Now{1h};
  ConfigFollower Follower;

  std::vector<Action> stepAfter(std::chrono::milliseconds Time, Event Event) {
    Now += Time;
    return Follower.step(Event, Now);
  }
  std::vector<Action> step(Event Event) {
    return stepAfter(0ms, std::move(Event));
  }
  void startWith(Delta Changes) {
    step(Tick{});
    step(ChangesFetched{std::move(Changes)});
    step(HeadPolled{Follower.revision()});
  }
};

TEST(ConfigFollower, ServesOnceItHasTheConfiguration) {
  auto Actions = step(Tick{});
  CHECK(find<PollHead>(Actions));
  CHECK_EQUAL(0u, find<FetchChanges>(Actions)->After);
  CHECK_FALSE(Follower.serving());
  Actions = step(ChangesFetched{full(3, {drainRecord("a", 3)})});
  CHECK_EQUAL(3u, find<Publish>(Actions)->Next->revision());
  CHECK(find<ResumeServing>(Actions));
}

TEST(ConfigFollower, TreatsAnEmptyTableAsAnEmptyConfiguration) {
  step(Tick{});
  CHECK(find<ResumeServing>(step(ChangesFetched{full(0)})));
  CHECK_EQUAL(0u, Follower.revision());
}

TEST(ConfigFollower, FetchesWhenThePollOrAMessageShowsANewerRevision) {
  startWith(full(3));
  auto Actions = stepAfter(600ms, HeadPolled{4});
  CHECK_EQUAL(3u, find<FetchChanges>(Actions)->After);
  Actions = step(ChangesFetched{{3, 4, false, {drainRecord("a", 4)}}});
  CHECK_EQUAL(4u, find<Publish>(Actions)->Next->revision());
  Actions = stepAfter(600ms, RevisionSeen{5});
  CHECK_EQUAL(4u, find<FetchChanges>(Actions)->After);
}

TEST(ConfigFollower, NeverGoesBackwards) {
  // Guards against a target that gets work again after its drain was in force:
  // a fetch begins, a push delivers revision 5, and then the response to the
  // fetch with revision 4 or the full state of a lagging peer arrives.
  startWith(full(3));
  step(ChangesPushed{{3, 5, false, {drainRecord("a", 5)}}});
  CHECK(!find<Publish>(step(ChangesFetched{{3, 4, false, {}}})));
  CHECK(!find<Publish>(step(ChangesPushed{full(4)})));
  CHECK_EQUAL(5u, Follower.revision());
  // A newer delta must not restore an older state of a single record either.
  step(ChangesPushed{{3, 6, false, {drainRecord("a", 4, "serve")}}});
  CHECK_TRUE(Follower.snapshot()->targetIntent("a") ==
             record::TargetIntent::Drain);
}

TEST(ConfigFollower, FetchesInsteadOfApplyingADeltaWithAGap) {
  // Guards against a process that permanently lacks one change: the push of
  // revision 4 is lost and that of revision 5 is applied as if it were
  // complete.
  startWith(full(3));
  auto Actions =
      stepAfter(200ms, ChangesPushed{{4, 5, false, {drainRecord("b", 5)}}});
  CHECK(!find<Publish>(Actions));
  CHECK_EQUAL(3u, find<FetchChanges>(Actions)->After);
}

TEST(ConfigFollower, StartsFromTheNewestPeerDuringAnOutage) {
  step(Tick{});
  auto Actions = step(StoreFailed{});
  CHECK_TRUE(find<FetchFromPeers>(Actions)->AskAll);
  CHECK_FALSE(Follower.serving());
  CHECK(!find<FetchFromPeers>(step(PeersFailed{})));
  Actions = stepAfter(100ms, Tick{});
  CHECK(find<FetchFromPeers>(Actions));
  Actions = step(PeersFetched{full(7, {drainRecord("a", 7)})});
  CHECK(find<Publish>(Actions));
  CHECK(find<ResumeServing>(Actions));
}

TEST(ConfigFollower, KeepsServingDuringAnOutageOfTheTableWhilePeersRespond) {
  startWith(full(3));
  for (int Poll = 0; Poll < 40; ++Poll) {
    stepAfter(500ms, Tick{});
    CHECK(find<FetchFromPeers>(step(StoreFailed{})));
    step(PeersFetched{{3, 3, false, {}}});
    CHECK_TRUE(Follower.serving());
  }
}

TEST(ConfigFollower, StopsWhenNeitherTheTableNorAnyPeerIsReached) {
  startWith(full(3));
  std::vector<Action> Actions;
  for (int Poll = 0; Poll < 11; ++Poll) {
    stepAfter(500ms, Tick{});
    step(StoreFailed{});
    Actions = step(PeersFailed{});
  }
  CHECK_FALSE(Follower.serving());
  Actions = stepAfter(100ms, PeerAlive{});
  CHECK(find<ResumeServing>(Actions));
}

TEST(ConfigFollower, StopsWhenItStaysBehindAKnownRevision) {
  startWith(full(3));
  stepAfter(10ms, RevisionSeen{4});
  CHECK_TRUE(Follower.serving());
  auto Actions = stepAfter(300ms, Tick{});
  CHECK_TRUE(find<StopServing>(Actions)->Reason == StopReason::Behind);
  CHECK(find<ResumeServing>(step(ChangesFetched{{3, 4, false, {}}})));
}

TEST(ConfigFollower, DiscardsARevisionThatTheTableNeverHad) {
  // Guards against a process that stops serving permanently after an invalid
  // message: a peer reports revision 10^12 and no fetch ever reaches it.
  startWith(full(3));
  step(RevisionSeen{1'000'000'000'000});
  stepAfter(600ms, Tick{});
  CHECK_FALSE(Follower.serving());
  CHECK(find<ResumeServing>(step(HeadPolled{3})));
}

TEST(ConfigFollower, HoldsItsInvariantsUnderRandomEvents) {
  std::mt19937_64 Random(7);
  for (int Round = 0; Round < 300; ++Round) {
    ConfigFollower Subject;
    uint64_t Previous = 0;
    for (int Step = 0; Step < 100; ++Step) {
      uint64_t Head = Random() % 20, Base = Random() % 20;
      Delta Changes{Base, Head, Random() % 4 == 0, {}};
      const Event Events[] = {Tick{},
                              HeadPolled{Head},
                              StoreFailed{},
                              ChangesFetched{Changes},
                              PeersFetched{Changes},
                              PeersFailed{},
                              ChangesPushed{Changes},
                              RevisionSeen{Head},
                              PeerAlive{}};
      Now += std::chrono::milliseconds(Random() % 300);
      auto Actions = Subject.step(Events[Random() % std::size(Events)], Now);
      if (const auto *New = find<Publish>(Actions)) {
        CHECK_TRUE(New->Next->revision() > Previous || Previous == 0);
        CHECK_TRUE(Changes.Full || Changes.Base <= Previous);
      }
      CHECK_TRUE(Subject.revision() >= Previous);
      Previous = Subject.revision();
    }
  }
}

TEST_GROUP(Snapshot){};

TEST(Snapshot, KeepsEveryChangeInItsDiffOnTheWire) {
  auto First = Snapshot::empty()->apply(
      full(2, {drainRecord("a", 1), drainRecord("b", 2)}));
  StoredRecord Withdrawal = drainRecord("a", 3);
  Withdrawal.Withdrawn = true;
  auto Second = First->apply({2, 3, false, {Withdrawal}});
  CHECK_TRUE(Second->targetIntent("a") == record::TargetIntent::Serve);
  CHECK_EQUAL(1u, Second->diffSince(2).Records.size());
  auto Complete = fromReply(toReply(Second->diffSince(0)), 0);
  CHECK_TRUE(Complete.Full && Complete.Records == Second->diffSince(0).Records);
  auto Copy = First->apply(fromSyncUp(toSyncUp(Second->diffSince(2), "e")));
  CHECK_EQUAL(3u, Copy->revision());
  CHECK_TRUE(Copy->find("target", "a")->Stored.Withdrawn);
}

TEST(Snapshot, KeepsTheLastParsedStateOfARecord) {
  // Guards against a back end that disappears during a rolling upgrade: a newer
  // entry accepts a record of a schema version that this build cannot parse.
  auto First = Snapshot::empty()->apply(full(1, {drainRecord("a", 1)}));
  StoredRecord Newer = drainRecord("a", 2);
  Newer.Text.replace(Newer.Text.find(":1"), 2, ":9");
  auto Second = First->apply({1, 2, false, {Newer}});
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
        uint64_t Observed = Cell.read([](const Snapshot *Current) {
          return Current ? Current->revision() : uint64_t(0);
        });
        Backwards += Observed < Last;
        Last = Observed;
      }
    });
  auto Current = Snapshot::empty();
  for (uint64_t Revision = 1; Revision <= 200; ++Revision) {
    Current = Current->apply(full(Revision, {drainRecord("a", Revision)}));
    Cell.publish(Current);
  }
  Stop = true;
  for (auto &Reader : Readers)
    Reader.join();
  CHECK_EQUAL(0u, Backwards);
  CHECK_EQUAL(200u, Cell.get()->revision());
}
