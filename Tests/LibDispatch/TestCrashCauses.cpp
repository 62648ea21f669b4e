//===- TestCrashCauses.cpp - What explains the crashes of servers ---------===//
//
// Covers single tables and the exchange of updates between them. Fleets of
// gateways are simulated in TestCrashCausesFleet.cpp.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashCauses.h"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

Fingerprint cause(uint8_t Number) {
  Fingerprint Cause;
  Cause.Bytes[0] = Number;
  return Cause;
}

ServerStart server(unsigned Number) {
  return {"s" + std::to_string(Number), std::nullopt};
}

/// Time from the send of a request to the crash that it causes.
constexpr milliseconds SentBefore{80};
constexpr milliseconds BetweenCrashes{500};

} // namespace

TEST_GROUP(CrashCauses) {
  /// Parts at the beginning of prompts, and after it.
  const Fingerprint First = cause(1);
  const Fingerprint OtherFirst = cause(2);
  const Fingerprint Harmful = cause(3);
  const Fingerprint Sound = cause(4);
  CrashCauses Table;
  BootTime Now{1h};
  unsigned Crashes = 0;

  /// The server of requests with these parts crashes. The first part has depth
  /// 0, the others follow each other.
  void crash(const std::vector<std::vector<Fingerprint>> &Prompts) {
    Now += BetweenCrashes;
    std::vector<CrashCandidate> Candidates;
    for (const auto &Parts : Prompts)
      for (unsigned I = 0; I < Parts.size(); ++I)
        Candidates.push_back({Parts[I], I, SentBefore});
    Table.recordCrash(server(++Crashes), Now, Candidates, Now);
  }
  bool isRejected(const Fingerprint &Cause) {
    return Table.rejects(std::array{Cause}, Now).has_value();
  }
  void survive(const Fingerprint &Cause) {
    Now += 1ms;
    Table.recordSurvival(Cause, Now, Now);
    Table.expire(Now);
  }
  void rejectHarmful() {
    for (int I = 0; I < 3; ++I)
      crash({{First, Harmful}});
    survive(First);
    CHECK(isRejected(Harmful));
  }
  /// Delivers \p Updates, encoded and decoded, in reverse order and twice.
  void deliver(const std::vector<CrashCauseUpdate> &Updates, CrashCauses &To) {
    for (int I = 0; I < 2; ++I)
      std::for_each(Updates.rbegin(), Updates.rend(), [&](const auto &Update) {
        To.applyUpdate(decodeCrashCauses(encodeCrashCauses(Update)).value(),
                       Now);
      });
  }
};

TEST(CrashCauses, RejectThePartThatPromptsHaveInCommon) {
  crash({{First, Harmful}, {First, Sound}});
  survive(First);
  crash({{First, Harmful}});
  survive(First);
  CHECK(!isRejected(Harmful));
  crash({{OtherFirst, Harmful}, {First, Sound}});
  CHECK(isRejected(Harmful));
  CHECK(!isRejected(First));
  CHECK(!isRejected(Sound));
}

// Guards against: of parts that explain equally many crashes, the one that most
// requests have is rejected.
TEST(CrashCauses, RejectTheLastOfPartsThatExplainEquallyMuch) {
  rejectHarmful();
  CHECK(!isRejected(First));
}

// Guards against: a part that most requests have gets more evidence than the
// cause, from sound requests that were sent later, and is rejected first.
TEST(CrashCauses, WaitForThePartThatExplainsAsMuch) {
  for (int I = 0; I < 3; ++I) {
    Now += SentBefore / 2;
    Table.recordCrash(server(++Crashes), Now,
                      {{First, 0, 1ms}, {Harmful, 1, SentBefore}}, Now);
  }
  CHECK(!isRejected(First));
  CHECK(!isRejected(Harmful));
  for (int I = 0; I < 2; ++I)
    crash({{First, Harmful}});
  CHECK(isRejected(Harmful));
  CHECK(!isRejected(First));
}

// Guards against: all servers of a zone fail at once, and the part that all
// requests there begin with is rejected.
TEST(CrashCauses, CountOverlappingSendsOnce) {
  for (unsigned I = 0; I < 10; ++I)
    Table.recordCrash(server(I), Now, {{First, 0, SentBefore}}, Now);
  CHECK(!isRejected(First));
  LONGS_EQUAL(1, Table.openEvidence(First));
}

// Guards against: a part that was rejected in place of the cause stays
// rejected, although it explains no crash any more and no run can clear it.
TEST(CrashCauses, AcceptAPartAgainWhenTheCauseIsKnown) {
  crash({{First, Sound}});
  for (int I = 0; I < 2; ++I)
    crash({{First, Harmful}, {First, Sound}});
  CHECK(isRejected(Sound));
  survive(First);
  for (int I = 0; I < 2; ++I)
    crash({{First, Harmful}});
  CHECK(isRejected(Harmful));
  CHECK(!isRejected(Sound));
}

// Guards against: a part that has been sound for a day is never suspected when
// it starts to crash servers.
TEST(CrashCauses, DoNotExcuseCrashesAfterASurvival) {
  survive(Harmful);
  rejectHarmful();
}

// Guards against: a run that began before its part turned harmful, and is still
// writing, clears the part of the crashes since.
TEST(CrashCauses, DoNotExcuseCrashesAfterTheBeginningOfASurvival) {
  const BootTime BeganAt = Now;
  rejectHarmful();
  Table.recordSurvival(Harmful, BeganAt, Now);
  Table.expire(Now);
  CHECK(isRejected(Harmful));
}

// Guards against: a crash that becomes known late counts against a part that
// servers have survived since.
TEST(CrashCauses, IgnoreCrashesBeforeASurvival) {
  const BootTime CrashedAt = Now;
  Now += 5ms;
  survive(Sound);
  for (unsigned I = 0; I < 3; ++I)
    Table.recordCrash(server(I), CrashedAt + milliseconds(I), {{Sound, 1, 0ms}},
                      Now);
  CHECK(!isRejected(Sound));
  CHECK(Table.empty());
}

TEST(CrashCauses, RejectTwoPartsAtOnce) {
  const Fingerprint Second = cause(5);
  for (int I = 0; I < 3; ++I) {
    crash({{First, Harmful}, {First, Sound}});
    crash({{First, Second}, {First, Sound}});
    survive(First);
    survive(Sound);
  }
  CHECK(isRejected(Harmful) && isRejected(Second));
  CHECK(!isRejected(Sound) && !isRejected(First));
}

// Guards against: peers that got updates late, twice or in another order come
// to other verdicts.
TEST(CrashCauses, AgreeAtPeers) {
  CrashCauses Other;
  crash({{First, Harmful}, {First, Sound}});
  survive(First);
  crash({{First, Harmful}, {First, Sound}});
  survive(Sound);
  crash({{First, Harmful}, {First, Sound}});
  deliver(Table.takeChanges(Now), Other);
  CHECK(Other.rejects(std::array{Harmful}, Now).has_value());
  CHECK(!Other.rejects(std::array{First}, Now));
  CHECK(!Other.rejects(std::array{Sound}, Now));
}

// Guards against: a gateway that starts anew learns nothing of rejections that
// are older than a second.
TEST(CrashCauses, AreRetransmittedWhileTheyExplainARejection) {
  rejectHarmful();
  Table.takeChanges(Now);
  Now += 10s;
  CrashCauses Restarted;
  for (int I = 0; I < 3; ++I)
    deliver({Table.takeRejections(Now)}, Restarted);
  CHECK(Restarted.rejects(std::array{Harmful}, Now).has_value());
  CHECK(!Restarted.rejects(std::array{First}, Now));
}

// Guards against: each gateway of a fleet makes trials of its own.
TEST(CrashCauses, ShareTrials) {
  CrashCauses Other;
  rejectHarmful();
  deliver(Table.takeChanges(Now), Other);
  Other.setTrialDelay(2s);
  Now += 30s;
  CHECK(!isRejected(Harmful));
  CHECK(Other.rejects(std::array{Harmful}, Now).has_value());
  Table.recordTrial(Harmful, 1, Now);
  deliver(Table.takeChanges(Now), Other);
  Now += 2s;
  CHECK(isRejected(Harmful));
  CHECK(Other.rejects(std::array{Harmful}, Now).has_value());
  Now += 180s;
  CHECK(!Other.rejects(std::array{Harmful}, Now));
}

// Guards against: the prefill and the execution of one request are counted as
// two trials, and a part that has become sound stays rejected.
TEST(CrashCauses, CountOneTrialForEachRequest) {
  rejectHarmful();
  Now += 30s;
  Table.recordTrial(Harmful, 1, Now);
  Now += 10ms;
  Table.recordTrial(Harmful, 1, Now);
  Now += 180s;
  CHECK(!isRejected(Harmful));
}

TEST(CrashCauses, EndWithASuccessfulTrial) {
  rejectHarmful();
  Now += 30s;
  Table.recordTrial(Harmful, 1, Now);
  survive(Harmful);
  CHECK(!isRejected(Harmful));
  // Trials are counted anew.
  rejectHarmful();
  Now += 30s;
  CHECK(!isRejected(Harmful));
}

TEST(CrashCauses, AreTriedAtMostThreeTimes) {
  rejectHarmful();
  for (uint64_t Id = 1; Id <= 3; ++Id) {
    Now += 2h;
    CHECK(!isRejected(Harmful));
    Table.recordTrial(Harmful, Id, Now);
  }
  Now += 20h;
  CHECK(isRejected(Harmful));
  Now += 5h;
  Table.expire(Now);
  CHECK(!isRejected(Harmful));
}

// Guards against: callers that choose the parts of their prompts fill the
// table, and the cause of crashes is forgotten.
TEST(CrashCauses, KeepRejectionsInAFullTable) {
  rejectHarmful();
  for (unsigned I = 0; I < 1000; ++I) {
    Fingerprint Chosen;
    std::copy_n(reinterpret_cast<const uint8_t *>(&I), sizeof(I),
                Chosen.Bytes.begin() + 1);
    crash({{Chosen}});
  }
  CHECK(Table.isRejected(Harmful));
  CHECK(Table.crashCount() <= CrashCauseOptions().MaximumCrashes);
}

TEST(CrashCauses, TellWhatExplainsACrash) {
  rejectHarmful();
  CHECK(Table.isExplainedByOther(server(1), First));
  CHECK(!Table.isExplainedByOther(server(1), Harmful));
  CHECK(!Table.isExplainedByOther(server(9), First));
}

TEST(CrashCauses, RejectMalformedUpdates) {
  CHECK(!decodeCrashCauses("x"));
  CHECK(!decodeCrashCauses(""));
  CrashCauseUpdate Update;
  Update.Survivals.push_back({cause(1), milliseconds(-1)});
  CHECK(!decodeCrashCauses(encodeCrashCauses(Update)));
}
