//===- TestReadTurn.cpp - Who reads the store, and how old knowledge is ---===//
//
// A fleet of processes that read in turn and tell each other, under lost
// datagrams, readers that are killed, cut off from the store or from their
// peers, and all starting at once.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ReadTurn.h"
#include "LibDispatch/ServerJournal.h"

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
  /// The answer of a call under way; it shows the store as of its sending.
  std::optional<BootTime> Answer;
  StoreVersion AskedVersion;
  BootTime AskedAt{};
  /// When each peer was heard last.
  std::vector<BootTime> Heard;
};

} // namespace

TEST_GROUP(ReadTurn) {
  std::mt19937 Random{7};
  BootTime Now{std::chrono::seconds(100)};
  std::vector<Process> Fleet;
  StoreVersion Version{1, 10};
  unsigned Calls = 0;
  double Lost = 0;
  milliseconds Oldest{0};

  void start(size_t Count) {
    Fleet.resize(Count);
    for (Process &Each : Fleet) {
      Each.Journal.wholeRead(Version, Now);
      Each.Heard.assign(Count, Now);
    }
  }
  size_t before(const Process &Which) {
    const auto Place = static_cast<size_t>(&Which - Fleet.data());
    size_t Count = 0;
    for (size_t Peer = 0; Peer < Place; ++Peer)
      if (Now - Which.Heard[Peer] < milliseconds(1000))
        ++Count;
    return Count;
  }
  bool arrives(const Process &From, const Process &To) {
    return &From != &To && From.Alive && From.ReachesPeers && To.Alive &&
           To.ReachesPeers &&
           std::uniform_real_distribution<double>(0, 1)(Random) >= Lost;
  }
  void tell(const Process &From) {
    const ServerNews News = From.Journal.news(Now);
    for (Process &To : Fleet)
      if (arrives(From, To))
        To.Journal.heard(News, Now);
  }
  void step(Process & Each) {
    if (Each.Answer && Now >= *Each.Answer) {
      Each.Answer.reset();
      Each.Journal.changesRead(Each.AskedVersion, Each.AskedAt, {});
      tell(Each);
    }
    const BootTime Due =
        ServerReadTurn.due(before(Each), Each.Journal.knownAt(), false);
    if (!Each.ReachesStore || Each.Answer || Now < Due)
      return;
    ++Calls;
    Each.Answer = Now + milliseconds(10);
    Each.AskedVersion = Version;
    Each.AskedAt = Now;
  }
  /// Plays on; each process that reaches the store counts for Oldest.
  void play(milliseconds Length) {
    const BootTime End = Now + Length;
    for (; Now < End; Now += milliseconds(10)) {
      ++Version.Number;
      for (size_t From = 0; From < Fleet.size(); ++From)
        for (Process &To : Fleet)
          // Reports, each 150 ms.
          if ((Now.time_since_epoch() / milliseconds(10)) % 15 == 0 &&
              arrives(Fleet[From], To))
            To.Heard[From] = Now;
      for (Process &Each : Fleet)
        if (Each.Alive)
          step(Each);
      for (const Process &Each : Fleet)
        if (Each.Alive && Each.ReachesStore)
          Oldest = std::max(Oldest, std::chrono::duration_cast<milliseconds>(
                                        Now - Each.Journal.knownAt()));
    }
  }
  /// The longest time that a change may stay unknown: the platform allows two
  /// seconds, of which a call that times out takes 700 ms.
  void knowsInTime() { CHECK(Oldest <= milliseconds(1300)); }
};

TEST(ReadTurn, HasOneProcessRead) {
  for (const size_t Size : {1, 4, 103, 409}) {
    Fleet.clear();
    Calls = 0;
    start(Size);
    play(milliseconds(8000));
    CHECK(Calls <= 11);
  }
  knowsInTime();
}

TEST(ReadTurn, KnowsInTimeThoughNewsAreLost) {
  Lost = 0.2;
  start(103);
  play(milliseconds(10000));
  knowsInTime();
}

// Sequence: the reader ends, then the one that took over, and so on.
TEST(ReadTurn, ReplacesAReaderThatEnds) {
  start(30);
  for (size_t At = 0; At < 5; ++At) {
    play(milliseconds(1700));
    Fleet[At].Alive = false;
  }
  play(milliseconds(3000));
  knowsInTime();
}

// Symptom: a drained server gets requests for seconds.
// Sequence: the reader is cut off from the store, and goes on telling.
// Cause: that it tells counted, not what it knows.
TEST(ReadTurn, DoesNotWaitForAReaderThatIsCutOffFromTheStore) {
  start(30);
  play(milliseconds(2000));
  Fleet[0].ReachesStore = false;
  for (int At = 0; At < 50; ++At) {
    play(milliseconds(100));
    tell(Fleet[0]);
  }
  knowsInTime();
}

TEST(ReadTurn, ReadsForItselfWhenCutOffFromItsPeers) {
  start(30);
  play(milliseconds(2000));
  Fleet[0].ReachesPeers = Fleet[20].ReachesPeers = false;
  play(milliseconds(4000));
  Fleet[0].ReachesPeers = Fleet[20].ReachesPeers = true;
  play(milliseconds(4000));
  knowsInTime();
}

// Grounds: a takeover may not call the store with all processes at once.
TEST(ReadTurn, TakesOverWithFewCalls) {
  start(103);
  play(milliseconds(2000));
  Calls = 0;
  Fleet[0].Alive = false;
  play(milliseconds(2000));
  CHECK(Calls <= 8);
}
