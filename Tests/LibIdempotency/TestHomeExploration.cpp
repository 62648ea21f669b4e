//===- TestHomeExploration.cpp - All interleavings of two homes -----------===//
//
// Explores HomeWorld: with all rules on nothing may run twice and every "not
// run" must be true; with one rule off the exploration has to find the double
// run which that rule prevents.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/HomeWorld.h"

#include "Exploration/ExplorationGroup.h"

using namespace figlift;
using namespace figlift::test;

namespace {

constexpr size_t Limit = 600000;

void expectNone(const char *Name, const HomeBounds &Bounds) {
  Exploration Result = explore(HomeWorld(Bounds), Limit);
  Result.print(Name);
  CHECK_TRUE(Result.Violation.empty());
  CHECK_TRUE(Result.Complete);
}

void expectFound(const char *Name, const HomeBounds &Bounds) {
  Exploration Result = explore(HomeWorld(Bounds), Limit);
  Result.print(Name);
  CHECK_FALSE(Result.Violation.empty());
}

/// Takeover of a dead home whose last send is late; clocks differ by a second.
HomeBounds takeover(int Skew) {
  HomeBounds Bounds;
  Bounds.Minted = {0, 3};
  Bounds.Handovers = 0;
  Bounds.Restarts = 0;
  Bounds.LastTime = 4;
  Bounds.Skew = Skew;
  return Bounds;
}

HomeBounds restart() {
  HomeBounds Bounds;
  Bounds.Minted = {0, 3};
  Bounds.Handovers = 0;
  Bounds.Takeovers = 0;
  Bounds.LastTime = 4;
  return Bounds;
}

HomeBounds handover() {
  HomeBounds Bounds;
  Bounds.Minted = {0};
  Bounds.CallsPerKey = 3;
  Bounds.Kills = 0;
  Bounds.Restarts = 0;
  Bounds.Takeovers = 0;
  Bounds.LastTime = 0;
  Bounds.Handovers = 2;
  Bounds.LostAnswers = 1;
  Bounds.FailuresBeforeSend = 1;
  return Bounds;
}

/// Kills, restarts, a handover and a takeover together.
HomeBounds together(int Minted) {
  HomeBounds Bounds;
  Bounds.Minted = {Minted};
  Bounds.LastTime = 4;
  Bounds.LostAnswers = 1;
  return Bounds;
}

} // namespace

TEST_GROUP_BASE(HomeExploration, ExplorationGroup){};

TEST(HomeExploration, ATakeoverRunsNothingTwice) {
  // Symptom: two van pickups. Sequence: home paused or killed between check
  // and send, slice taken over, the key comes again, the late send arrives.
  // Cause: the successor does not know what its predecessor had sent.
  expectNone("takeover, clocks alike", takeover(0));
  expectNone("takeover, successor's clock a second behind", takeover(-1));
  expectNone("takeover, successor's clock a second ahead", takeover(1));
}

TEST(HomeExploration, WithoutTheTakeoverRuleAKeyRunsTwice) {
  // Symptom, sequence: as above. Cause: the new home runs old keys.
  HomeBounds Bounds = takeover(0);
  Bounds.Options.UseTakeoverRule = false;
  expectFound("takeover without the key-time rule", Bounds);
}

TEST(HomeExploration, WithoutTheAheadRuleAFutureKeyRunsTwice) {
  // Symptom: a key stamped in the future runs at both homes. Sequence: it runs
  // at A, A dies, B takes over and finds it newer than T + m2. Cause: A took a
  // key from further ahead than the guard reaches.
  HomeBounds Bounds = takeover(0);
  Bounds.Options.UseAheadRule = false;
  expectFound("takeover without the refusal of future keys", Bounds);
}

TEST(HomeExploration, ClocksBeyondTheBoundBreakThePromise) {
  // Symptom: as above. Sequence: the dead home's clock was four seconds ahead,
  // the guard allows for one. Cause: the assumption on the clocks is broken;
  // the test shows that the bound is needed and not merely prudent.
  expectFound("takeover, clocks beyond the bound", takeover(-4));
}

TEST(HomeExploration, ARestartInTheSlotRunsNothingTwice) {
  // Symptom: a repeated call runs again after an agent's crash. Sequence:
  // sent, killed, restarted, repeated. Cause: claims are in memory only.
  expectNone("restart in the slot", restart());
}

TEST(HomeExploration, AHandoverRunsNothingTwice) {
  // Symptom: a repeated call runs at the next home. Sequence: calls before,
  // during and after two handovers, answers of the table lost, calls that are
  // not sent after all. Cause: claims and grant do not move as one.
  expectNone("handovers", handover());
}

TEST(HomeExploration, WithoutHandedClaimsAKeyRunsTwice) {
  // Symptom: as above. Cause: the successor ignores the claims.
  HomeBounds Bounds = handover();
  Bounds.Options.UseHandedClaims = false;
  Bounds.FailuresBeforeSend = 0;
  expectFound("handover without claims", Bounds);
}

TEST(HomeExploration, FaultsTogetherRunNothingTwice) {
  // Symptom: a key runs twice after a chain of faults. Sequence: every
  // interleaving of a handover, a kill, a restart, a takeover and a lost
  // answer of the table. Cause: two holders of one slice.
  expectNone("together, old key", together(0));
  expectNone("together, new key", together(4));
  expectNone("together, key that is not a UUIDv7", together(-1));
  HomeBounds Twice = together(4);
  Twice.Kills = 2;
  Twice.Restarts = 2;
  Twice.LostAnswers = 0;
  expectNone("together, new key, each fault twice", Twice);
}

TEST(HomeExploration, ASuccessorThatServesBeforeTheGrantRunsAKeyTwice) {
  // Symptom: two homes run one new key. Sequence: claims handed over, the
  // successor serves at once; the old home dies before the table knows, its
  // slot's new process finds itself named in the row. Cause: a handover that
  // the table does not know.
  HomeBounds Bounds = together(4);
  Bounds.GrantBeforeCommit = true;
  expectFound("direct handover, table written later", Bounds);
}

TEST(HomeExploration, ARestartThatOnlyReadsTheRowRunsAKeyTwice) {
  // Symptom: two homes run one new key. Sequence: the dying home has sent the
  // successor's grant; its slot's new process reads the row before the grant
  // takes effect, then it does. Cause: reading does not stop a late write.
  HomeBounds Bounds = together(4);
  Bounds.RestartOnlyReads = true;
  expectFound("restart that only reads the row", Bounds);
}

TEST(HomeExploration, AnEarlyListMakesOnlyNewKeysUnsafe) {
  // Symptom: two homes run one new key although both follow the rules.
  // Sequence: the platform lists a living home as gone. Cause: the assumption
  // that the list is late and never early is broken. Old keys stay safe: the
  // key-time rule holds for them still.
  HomeBounds Bounds = together(4);
  Bounds.ListMayBeEarly = true;
  expectFound("list calls a living home gone, new key", Bounds);
  Bounds.Minted = {0};
  Bounds.Kills = 0;
  Bounds.Restarts = 0;
  Bounds.Handovers = 0;
  expectNone("list calls a living home gone, old key", Bounds);
}
