//===- TestStoreReadSchedule.cpp - Age of store data in a fleet -----------===//
//
// Simulates a fleet of processes that read the store and report to each other,
// with lost datagrams, readers that are killed, partitioned from the store or
// from their peers, and simultaneous starts.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerJournal.h"
#include "LibDispatch/StoreReadSchedule.h"

#include <algorithm>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

namespace {

struct Process {
  ServerJournal Journal;
  bool Alive = true;
  bool ReachesStore = true;
  bool ReachesPeers = true;
  /// Arrival time of the answer of a pending call; the answer has the state of
  /// the store at RequestedAt.
  std::optional<BootTime> AnswerAt;
  StoreVersion RequestedVersion;
  BootTime RequestedAt{};
  /// When the last report of each peer arrived.
  std::vector<BootTime> LastReportAt;
};

} // namespace

TEST_GROUP(StoreReadSchedule) {
  std::mt19937 Random{7};
  BootTime Now{std::chrono::seconds(100)};
  std::vector<Process> Fleet;
  StoreVersion Version{1, 10};
  unsigned Calls = 0;
  double LossRate = 0;
  milliseconds MaximumAge{0};

  void startFleet(size_t Count) {
    Fleet.resize(Count);
    for (Process &Member : Fleet) {
      Member.Journal.recordFullRead(Version, Now);
      Member.LastReportAt.assign(Count, Now);
    }
  }
  size_t rank(const Process &Self) {
    const auto Index = static_cast<size_t>(&Self - Fleet.data());
    size_t Count = 0;
    for (size_t Peer = 0; Peer < Index; ++Peer)
      if (Now - Self.LastReportAt[Peer] < milliseconds(1000))
        ++Count;
    return Count;
  }
  bool arrives(const Process &From, const Process &To) {
    return &From != &To && From.Alive && From.ReachesPeers && To.Alive &&
           To.ReachesPeers &&
           std::uniform_real_distribution<double>(0, 1)(Random) >= LossRate;
  }
  void sendUpdate(const Process &From) {
    const ServerUpdate Update = From.Journal.makeUpdate(Now);
    for (Process &To : Fleet)
      if (arrives(From, To))
        To.Journal.applyUpdate(Update, Now);
  }
  void step(Process & Self) {
    if (Self.AnswerAt && Now >= *Self.AnswerAt) {
      Self.AnswerAt.reset();
      Self.Journal.recordChanges(Self.RequestedVersion, Self.RequestedAt, {});
      sendUpdate(Self);
    }
    const BootTime Due =
        ServerReadSchedule.due(rank(Self), Self.Journal.knownAt(), false);
    if (!Self.ReachesStore || Self.AnswerAt || Now < Due)
      return;
    ++Calls;
    Self.AnswerAt = Now + milliseconds(10);
    Self.RequestedVersion = Version;
    Self.RequestedAt = Now;
  }
  /// Runs the simulation. MaximumAge covers each process that reaches the
  /// store.
  void run(milliseconds Length) {
    const BootTime End = Now + Length;
    for (; Now < End; Now += milliseconds(10)) {
      ++Version.Number;
      for (size_t From = 0; From < Fleet.size(); ++From)
        for (Process &To : Fleet)
          // Each process sends a report every 150 ms.
          if ((Now.time_since_epoch() / milliseconds(10)) % 15 == 0 &&
              arrives(Fleet[From], To))
            To.LastReportAt[From] = Now;
      for (Process &Member : Fleet)
        if (Member.Alive)
          step(Member);
      for (const Process &Member : Fleet)
        if (Member.Alive && Member.ReachesStore)
          MaximumAge =
              std::max(MaximumAge, std::chrono::duration_cast<milliseconds>(
                                       Now - Member.Journal.knownAt()));
    }
  }
  /// The platform allows two seconds until a change is known, of which a call
  /// that times out takes 700 ms.
  void checkMaximumAge() { CHECK(MaximumAge <= milliseconds(1300)); }
};

TEST(StoreReadSchedule, ReadsFromOneProcess) {
  for (const size_t Size : {1, 4, 103, 409}) {
    Fleet.clear();
    Calls = 0;
    startFleet(Size);
    run(milliseconds(8000));
    CHECK(Calls <= 11);
  }
  checkMaximumAge();
}

TEST(StoreReadSchedule, LimitsAgeWithLostUpdates) {
  LossRate = 0.2;
  startFleet(103);
  run(milliseconds(10000));
  checkMaximumAge();
}

// The reader ends, then each process that took over.
TEST(StoreReadSchedule, ReplacesReaderThatEnds) {
  startFleet(30);
  for (size_t I = 0; I < 5; ++I) {
    run(milliseconds(1700));
    Fleet[I].Alive = false;
  }
  run(milliseconds(3000));
  checkMaximumAge();
}

// Guards against: a reader that is partitioned from the store goes on sending
// reports, the others wait for it, and a drained server gets requests for
// seconds.
TEST(StoreReadSchedule, ReplacesReaderPartitionedFromStore) {
  startFleet(30);
  run(milliseconds(2000));
  Fleet[0].ReachesStore = false;
  for (int I = 0; I < 50; ++I) {
    run(milliseconds(100));
    sendUpdate(Fleet[0]);
  }
  checkMaximumAge();
}

TEST(StoreReadSchedule, ReadsWhenPartitionedFromPeers) {
  startFleet(30);
  run(milliseconds(2000));
  Fleet[0].ReachesPeers = Fleet[20].ReachesPeers = false;
  run(milliseconds(4000));
  Fleet[0].ReachesPeers = Fleet[20].ReachesPeers = true;
  run(milliseconds(4000));
  checkMaximumAge();
}

// A takeover must not make all processes call the store at once.
TEST(StoreReadSchedule, TakesOverWithFewCalls) {
  startFleet(103);
  run(milliseconds(2000));
  Calls = 0;
  Fleet[0].Alive = false;
  run(milliseconds(2000));
  CHECK(Calls <= 8);
}
