//===- TestHomeExploration.cpp - All interleavings of two homes -----------===//
//
// Explores HomeSimulation. With all rules on, no key may run twice and every
// "not run" has to be true. With one rule off, the exploration has to find the
// double run that the rule prevents.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/HomeSimulation.h"

#include "Exploration/ExplorationGroup.h"

using namespace figlift;
using namespace figlift::test;

namespace {

constexpr size_t MaximumStates = 600000;

void expectNoViolation(const char *Name, const HomeBounds &Bounds) {
  Exploration Found = explore(HomeSimulation(Bounds), MaximumStates);
  Found.print(Name);
  CHECK_TRUE(Found.Violation.empty());
  CHECK_TRUE(Found.Complete);
}

void expectViolation(const char *Name, const HomeBounds &Bounds) {
  Exploration Found = explore(HomeSimulation(Bounds), MaximumStates);
  Found.print(Name);
  CHECK_FALSE(Found.Violation.empty());
}

/// Takeover of a dead home whose last send is late. The wall clocks differ by
/// \p Skew seconds.
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

/// A kill, a restart, a handover and a takeover together.
HomeBounds combinedFaults(int Minted) {
  HomeBounds Bounds;
  Bounds.Minted = {Minted};
  Bounds.LastTime = 4;
  Bounds.LostAnswers = 1;
  return Bounds;
}

} // namespace

TEST_GROUP_BASE(HomeExploration, ExplorationGroup){};

TEST(HomeExploration, ATakeoverRunsNothingTwice) {
  // Guards against a key that runs twice: the home is paused or killed between
  // the check and the send, the slice is taken over, the caller retries, and
  // the late send arrives. The successor does not know what its predecessor
  // sent.
  expectNoViolation("takeover, clocks alike", takeover(0));
  expectNoViolation("takeover, successor's clock a second behind",
                    takeover(-1));
  expectNoViolation("takeover, successor's clock a second ahead", takeover(1));
}

TEST(HomeExploration, WithoutTheTakeoverRuleAKeyRunsTwice) {
  // As above, but the new home runs keys that were minted before the takeover.
  HomeBounds Bounds = takeover(0);
  Bounds.Options.UseTakeoverRule = false;
  expectViolation("takeover without the key-time rule", Bounds);
}

TEST(HomeExploration, WithoutTheAheadRuleAFutureKeyRunsTwice) {
  // A key with a mint time in the future runs at home A, A dies, B takes over
  // at T and finds the key newer than T + TakeoverGuard. It runs twice because
  // A accepted a key from further ahead than the guard covers.
  HomeBounds Bounds = takeover(0);
  Bounds.Options.UseAheadRule = false;
  expectViolation("takeover without the refusal of future keys", Bounds);
}

TEST(HomeExploration, ClockSkewBeyondTheBoundRunsAKeyTwice) {
  // The clock of the dead home is four seconds ahead, but the guard allows for
  // one. The double run shows that the bound on clock skew is necessary.
  expectViolation("takeover, clocks beyond the bound", takeover(-4));
}

TEST(HomeExploration, ARestartInTheSlotRunsNothingTwice) {
  // Guards against a retry that runs again after a crash of the agent, which
  // keeps claims only in memory: the call is sent, the agent is killed and
  // restarted, and the caller retries.
  expectNoViolation("restart in the slot", restart());
}

TEST(HomeExploration, AHandoverRunsNothingTwice) {
  // Guards against a retry that runs again at the next home, because claims and
  // grant do not move atomically. Calls arrive before, during and after two
  // handovers, replies of the table are lost, and some calls are not sent.
  expectNoViolation("handovers", handover());
}

TEST(HomeExploration, WithoutReceivedClaimsAKeyRunsTwice) {
  // As above, but the successor ignores the claims that it receives.
  HomeBounds Bounds = handover();
  Bounds.Options.UseReceivedClaims = false;
  Bounds.FailuresBeforeSend = 0;
  expectViolation("handover without claims", Bounds);
}

TEST(HomeExploration, FaultsTogetherRunNothingTwice) {
  // Guards against two homes that serve one slice at the same time, in every
  // interleaving of a handover, a kill, a restart, a takeover and a lost reply
  // of the table.
  expectNoViolation("together, old key", combinedFaults(0));
  expectNoViolation("together, new key", combinedFaults(4));
  expectNoViolation("together, key that is not a UUIDv7", combinedFaults(-1));
  HomeBounds EachFaultTwice = combinedFaults(4);
  EachFaultTwice.Kills = 2;
  EachFaultTwice.Restarts = 2;
  EachFaultTwice.LostAnswers = 0;
  expectNoViolation("together, new key, each fault twice", EachFaultTwice);
}

TEST(HomeExploration, ASuccessorThatServesBeforeTheGrantRunsAKeyTwice) {
  // The successor serves as soon as it has the claims. The old home dies before
  // it writes the grant, and the process that restarts in its slot still holds
  // the slice according to the row. Two homes then run the same new key.
  HomeBounds Bounds = combinedFaults(4);
  Bounds.GrantBeforeCommit = true;
  expectViolation("direct handover, table written later", Bounds);
}

TEST(HomeExploration, ARestartThatOnlyReadsTheRowRunsAKeyTwice) {
  // The home sends the write of the successor's grant and dies. The process
  // that restarts in its slot reads the row before the write takes effect.
  // Reading the row does not prevent the late write, so two homes run the same
  // new key.
  HomeBounds Bounds = combinedFaults(4);
  Bounds.RestartOnlyReads = true;
  expectViolation("restart that only reads the row", Bounds);
}

TEST(HomeExploration, AnEarlyListMakesOnlyNewKeysUnsafe) {
  // The platform lists a live home as gone, which breaks the assumption that
  // the list may be late but never early. Two homes then run the same new key.
  // Old keys remain safe because of the takeover rule.
  HomeBounds Bounds = combinedFaults(4);
  Bounds.ListMayBeEarly = true;
  expectViolation("list calls a living home gone, new key", Bounds);
  Bounds.Minted = {0};
  Bounds.Kills = 0;
  Bounds.Restarts = 0;
  Bounds.Handovers = 0;
  expectNoViolation("list calls a living home gone, old key", Bounds);
}
