//===- TestEngineModel.cpp - Learned cost model of engines ----------------===//
//
// Engines of very different speed, noise, and peers.
//
//===----------------------------------------------------------------------===//

#include "LibEngine/EngineModel.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::engine;
using std::chrono::seconds;

namespace {

/// Actual parameters of an engine.
struct Engine {
  double FixedMs;
  double TokensPerMs;
  double MillionPairsMs;
  Milliseconds prefill(const PrefillSize &Size) const {
    return Milliseconds(FixedMs + Size.Tokens / TokensPerMs +
                        Size.MillionPairs * MillionPairsMs);
  }
};

constexpr Engine Slow{28, 36.7, 0.25};
constexpr Engine Fast{7, 672, 0.04};

/// \p Cached tokens followed by \p Computed ones.
PrefillSize size(double Computed, double Cached) {
  return {Computed, Computed * (Cached + Computed / 2) / 1e6};
}

Milliseconds estimate(const EngineParameters &Parameters,
                      const PrefillSize &Size) {
  return Parameters.PrefillFixed +
         Parameters.PrefillPerThousandTokens * Size.Tokens / 1000 +
         Parameters.PrefillPerMillionPairs * Size.MillionPairs;
}

} // namespace

TEST_GROUP(EngineModel) {
  EngineModel Model;
  std::mt19937 Random{7};
  BootTime Now{seconds(100)};

  /// Observes \p Count prefills of various sizes, each delayed by up to the
  /// share \p MaximumWait by unreported work.
  void measure(const Engine &Tested, int Count, double MaximumWait = 0) {
    std::lognormal_distribution<double> Tokens(7.5, 1);
    std::uniform_real_distribution<double> Cached(0, 13000);
    std::uniform_real_distribution<double> Wait(0, MaximumWait);
    for (int Index = 0; Index < Count; ++Index) {
      const PrefillSize Size = size(Tokens(Random), Cached(Random));
      Model.observePrefill(Size, Tested.prefill(Size) * (1 + Wait(Random)), 1);
    }
  }
  void expectWithin(double Share, const Engine &Tested) {
    for (const PrefillSize &Size :
         {size(1200, 400), size(3700, 13300), size(17000, 0)}) {
      const double Actual = Tested.prefill(Size).count();
      DOUBLES_EQUAL(Actual, estimate(Model.parameters(Now), Size).count(),
                    Actual * Share);
    }
  }
};

// A deployment with unknown engines: until the estimates are good, requests are
// admitted or rejected without a basis.
TEST(EngineModel, LearnsEnginesOfAnySpeedFromAFewPrefills) {
  measure(Slow, 8);
  expectWithin(0.15, Slow);
  Model = EngineModel();
  measure(Fast, 8);
  expectWithin(0.25, Fast);
}

// A burst at a cold start in which the first requests are all large prompts.
TEST(EngineModel, LearnsFromOneLargePrefill) {
  const PrefillSize Large = size(17000, 0);
  Model.observePrefill(Large, Slow.prefill(Large), 1);
  const double Actual = Slow.prefill(Large).count();
  DOUBLES_EQUAL(Actual, estimate(Model.parameters(Now), Large).count(),
                Actual * 0.15);
}

// Several gateways send to one engine between two load reports. The queueing
// time that results is not part of the speed of the engine.
TEST(EngineModel, ToleratesUnreportedQueueingTime) {
  measure(Slow, 30);
  measure(Slow, 20, 0.2);
  const PrefillSize Common = size(3700, 13300);
  for (int Index = 0; Index < 3; ++Index)
    Model.observePrefill(Common, Slow.prefill(Common) * 10, 1);
  expectWithin(0.35, Slow);
}

// A rollout replaces the engines by ones that are eighteen times slower.
TEST(EngineModel, FollowsEnginesThatChange) {
  measure(Fast, 100);
  measure(Slow, 100);
  expectWithin(0.15, Slow);
}

// Without the parameters of its peers, a gateway that has just started rejects
// or overloads for some seconds, until it has learned its own.
TEST(EngineModel, StartsWithTheParametersOfItsPeers) {
  EngineModel Peer;
  std::swap(Model, Peer);
  measure(Slow, 30);
  std::swap(Model, Peer);
  Model.recordPeerParameters("other", Peer.localParameters(), Now);
  expectWithin(0.15, Slow);
}

TEST(EngineModel, ExpiresPeers) {
  EngineParameters Outlier;
  Outlier.PrefillPerThousandTokens = Milliseconds(1000);
  Outlier.PrefillWeight = 50;
  Model.recordPeerParameters("gone", Outlier, Now);
  Now += seconds(60);
  DOUBLES_EQUAL(5, Model.parameters(Now).PrefillPerThousandTokens.count(),
                0.001);
}

TEST(EngineModel, LearnsTheCostOfPrefillDuringDecode) {
  for (int Index = 0; Index < 6; ++Index)
    Model.observeDecodePrefill(Milliseconds(20), Milliseconds(44), 1);
  DOUBLES_EQUAL(2.2, Model.parameters(Now).DecodePrefillFactor, 0.1);
}

TEST(EngineModel, SeparatesStartTimeFromTransferTime) {
  for (int Index = 0; Index < 6; ++Index) {
    Model.observeDecodeStart(Milliseconds(2), Milliseconds(19), 1);
    Model.observeDecodeStart(Milliseconds(10), Milliseconds(27), 1);
  }
  DOUBLES_EQUAL(17, Model.parameters(Now).DecodeStartFixed.count(), 1);
  DOUBLES_EQUAL(1, Model.parameters(Now).TransferFactor, 0.1);
}

// After a restart of all gateways the cache views are empty, so gateways
// measure prefills of prompts that are cached: 17,000 tokens in 30 ms. Every
// prompt then seems small enough for a decode engine. If only prefill engines
// contribute measurements, none follows, all prompts stay on the few decode
// engines, and nine in ten requests fail.
TEST(EngineModel, RecoversFromAnEstimateThatIsFarTooLow) {
  for (int Index = 0; Index < 10; ++Index)
    Model.observePrefill(size(17000, 0), Milliseconds(30), 1);
  CHECK(estimate(Model.parameters(Now), size(17000, 0)).count() < 50);
  constexpr double DuringDecodeShare = 0.1;
  for (int Index = 0; Index < 80; ++Index)
    Model.observePrefill(size(3700, 13300), Slow.prefill(size(3700, 13300)),
                         DuringDecodeShare);
  const double Actual = Slow.prefill(size(3700, 13300)).count();
  DOUBLES_EQUAL(Actual,
                estimate(Model.parameters(Now), size(3700, 13300)).count(),
                Actual * 0.35);
}

// Noisy measurements must not make a coefficient negative.
TEST(EngineModel, NeverEstimatesNegativeCosts) {
  Model.observePrefill(size(10000, 0), Milliseconds(1), 1);
  Model.observePrefill(size(100, 0), Milliseconds(500), 1);
  const EngineParameters Parameters = Model.parameters(Now);
  CHECK(Parameters.PrefillFixed.count() >= 0);
  CHECK(Parameters.PrefillPerThousandTokens.count() >= 0);
  CHECK(Parameters.PrefillPerMillionPairs.count() >= 0);
}
