//===- TestEngineModel.cpp - What engines of one service need -------------===//
//
// Engines of very unlike speed, noise, and peers.
//
//===----------------------------------------------------------------------===//

#include "LibEngine/EngineModel.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::engine;
using std::chrono::seconds;

namespace {

/// An engine as it really is.
struct Engine {
  double FixedMs;
  double TokensPerMs;
  double MillionPairsMs;
  Milliseconds read(const PrefillSize &Size) const {
    return Milliseconds(FixedMs + Size.Tokens / TokensPerMs +
                        Size.MillionPairs * MillionPairsMs);
  }
};

constexpr Engine Slow{28, 36.7, 0.25};
constexpr Engine Fast{7, 672, 0.04};

/// \p Kept tokens before \p Computed ones.
PrefillSize size(double Computed, double Kept) {
  return {Computed, Computed * (Kept + Computed / 2) / 1e6};
}

Milliseconds estimate(const EngineParameters &By, const PrefillSize &Size) {
  return By.PrefillFixed + By.PrefillPerThousandTokens * Size.Tokens / 1000 +
         By.PrefillPerMillionPairs * Size.MillionPairs;
}

} // namespace

TEST_GROUP(EngineModel) {
  EngineModel Model;
  std::mt19937 Random{7};
  BootTime Now{seconds(100)};

  /// Measures \p Count reads of many sizes, each delayed by up to \p Waits of
  /// itself by what nobody told of.
  void measure(const Engine &Tested, int Count, double Waits = 0) {
    std::lognormal_distribution<double> Tokens(7.5, 1);
    std::uniform_real_distribution<double> Kept(0, 13000);
    std::uniform_real_distribution<double> Wait(0, Waits);
    for (int Each = 0; Each < Count; ++Each) {
      const PrefillSize Size = size(Tokens(Random), Kept(Random));
      Model.observePrefill(Size, Tested.read(Size) * (1 + Wait(Random)), 1);
    }
  }
  void expectWithin(double Share, const Engine &Tested) {
    for (const PrefillSize &Size :
         {size(1200, 400), size(3700, 13300), size(17000, 0)}) {
      const double Truth = Tested.read(Size).count();
      DOUBLES_EQUAL(Truth, estimate(Model.parameters(Now), Size).count(),
                    Truth * Share);
    }
  }
};

// Load: the first second of a deployment whose engines nobody has described.
// Grounds: until the estimates hold, requests are sent or refused blindly.
TEST(EngineModel, KnowsEnginesOfAnySpeedAfterAFewReads) {
  measure(Slow, 8);
  expectWithin(0.15, Slow);
  Model = EngineModel();
  measure(Fast, 8);
  expectWithin(0.25, Fast);
}

// Load: a rush at a cold start: all that comes first are large prompts.
TEST(EngineModel, TakesOneLargeReadForAFirstHint) {
  const PrefillSize Large = size(17000, 0);
  Model.observePrefill(Large, Slow.read(Large), 1);
  const double Truth = Slow.read(Large).count();
  DOUBLES_EQUAL(Truth, estimate(Model.parameters(Now), Large).count(),
                Truth * 0.15);
}

// Load: several gateways send to one engine within the time in which they
// tell each other of it. Grounds: the wait is none of the engine's speed.
TEST(EngineModel, IsNotMisledMuchByWaitsThatNobodyToldOf) {
  measure(Slow, 30);
  measure(Slow, 20, 0.2);
  const PrefillSize Common = size(3700, 13300);
  for (int Each = 0; Each < 3; ++Each)
    Model.observePrefill(Common, Slow.read(Common) * 10, 1);
  expectWithin(0.35, Slow);
}

// Sequence: a rollout replaces the engines by ones eighteen times as slow.
TEST(EngineModel, FollowsEnginesThatChange) {
  measure(Fast, 100);
  measure(Slow, 100);
  expectWithin(0.15, Slow);
}

// Symptom: a gateway that has just started refuses or crowds, for seconds.
// Cause: it had to learn anew what the others knew.
TEST(EngineModel, BeginsWithWhatItsPeersKnow) {
  EngineModel Peer;
  std::swap(Model, Peer);
  measure(Slow, 30);
  std::swap(Model, Peer);
  Model.recordPeerParameters("other", Peer.localParameters(), Now);
  expectWithin(0.15, Slow);
}

TEST(EngineModel, ForgetsPeersThatAreGone) {
  EngineParameters Odd;
  Odd.PrefillPerThousandTokens = Milliseconds(1000);
  Odd.PrefillWeight = 50;
  Model.recordPeerParameters("gone", Odd, Now);
  Now += seconds(60);
  DOUBLES_EQUAL(5, Model.parameters(Now).PrefillPerThousandTokens.count(),
                0.001);
}

TEST(EngineModel, LearnsWhatReadingBesideTokensCosts) {
  for (int Each = 0; Each < 6; ++Each)
    Model.observeDecodePrefill(Milliseconds(20), Milliseconds(44), 1);
  DOUBLES_EQUAL(2.2, Model.parameters(Now).DecodePrefillFactor, 0.1);
}

TEST(EngineModel, LearnsWhatAStartCostsBesideItsTransfer) {
  for (int Each = 0; Each < 6; ++Each) {
    Model.observeDecodeStart(Milliseconds(2), Milliseconds(19), 1);
    Model.observeDecodeStart(Milliseconds(10), Milliseconds(27), 1);
  }
  DOUBLES_EQUAL(17, Model.parameters(Now).DecodeStartFixed.count(), 1);
  DOUBLES_EQUAL(1, Model.parameters(Now).TransferFactor, 0.1);
}

// Symptom: after a restart of all gateways every prompt goes to the few decode
// engines, for good, and nine in ten requests fail.
// Sequence: gateways that know of no cache measure reads of prompts that the
// engines keep: 17,000 tokens in 30 ms. Now every prompt seems small enough to
// be read beside streams, and no other read is measured any more.
// Cause: only reads at prefill engines taught what reading costs.
TEST(EngineModel, UnlearnsAFigureThatIsFarTooLow) {
  for (int Each = 0; Each < 10; ++Each)
    Model.observePrefill(size(17000, 0), Milliseconds(30), 1);
  CHECK(estimate(Model.parameters(Now), size(17000, 0)).count() < 50);
  constexpr double BesideStreams = 0.1;
  for (int Each = 0; Each < 80; ++Each)
    Model.observePrefill(size(3700, 13300), Slow.read(size(3700, 13300)),
                         BesideStreams);
  const double Truth = Slow.read(size(3700, 13300)).count();
  DOUBLES_EQUAL(Truth,
                estimate(Model.parameters(Now), size(3700, 13300)).count(),
                Truth * 0.35);
}

// No measurement makes a cost negative, whatever noise is in it.
TEST(EngineModel, NeverEstimatesLessThanNothing) {
  Model.observePrefill(size(10000, 0), Milliseconds(1), 1);
  Model.observePrefill(size(100, 0), Milliseconds(500), 1);
  const EngineParameters Solution = Model.parameters(Now);
  CHECK(Solution.PrefillFixed.count() >= 0);
  CHECK(Solution.PrefillPerThousandTokens.count() >= 0);
  CHECK(Solution.PrefillPerMillionPairs.count() >= 0);
}
