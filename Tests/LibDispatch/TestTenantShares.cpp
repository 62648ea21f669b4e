//===- TestTenantShares.cpp - Fair shares of tenants ----------------------===//
//
// Shares of single scenes, and the exchange with peers.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StartLag.h"
#include "LibDispatch/TenantShares.h"

#include <random>
#include <string>
#include <vector>

// Redefines new, which standard headers that come after it cannot bear.
#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

namespace {

const SharePool Model{"model", 2};
constexpr double MaximumDraw = 1 - 1e-9;

} // namespace

TEST_GROUP(TenantShares) {
  TenantShares Shares;
  BootTime Now{std::chrono::seconds(100)};
  static constexpr TenantShares::Milliseconds Target{100};

  /// Demand of one tenant in the last moment, a part of which was started.
  void demand(const SharePool &Pool, TenantHash Tenant, unsigned Requests,
              unsigned Started) {
    for (unsigned Count = 0; Count < Requests; ++Count)
      Shares.recordRequest(Pool, Tenant, 1, Now);
    for (unsigned Count = 0; Count < Started; ++Count)
      Shares.recordStart(Pool, 1, Now);
  }
  bool mayRefuse(const SharePool &Pool, TenantHash Tenant) {
    const double Shortage =
        Shares.shortage(Pool, StartLag::Milliseconds(0), Target, Now);
    return TenantShares::refuses(Shares.standing(Pool, Tenant, Shortage, Now),
                                 0);
  }
  /// Tenant 1 is beyond its share: it demands 100 of 120, of which 40 were
  /// started.
  static PoolDemand overload() {
    return {Model, 40, {{1, 100}, {2, 10}, {3, 10}}, 0, 0, milliseconds(0)};
  }
};

TEST(TenantShares, RefusesByThePartThatExceedsTheShare) {
  demand(Model, 1, 100, 20);
  demand(Model, 2, 10, 10);
  demand(Model, 3, 10, 10);
  Shares.recordRefusal(Model, Now);
  const TenantStanding Large = Shares.standing(Model, 1, 1, Now);
  // 0.95 of 40 requests, without the 20 of the others; but at least an equal
  // part of 120.
  DOUBLES_EQUAL(0.4, Large.Share / Large.Demand, 0.001);
  CHECK(TenantShares::refuses(Large, 0.59));
  CHECK(!TenantShares::refuses(Large, 0.61));
  CHECK(!mayRefuse(Model, 2));
}

// Failure: requests are refused without a row of any tenant, e.g. right after
// a start.
TEST(TenantShares, RefusesNothingWithoutRows) {
  Shares.recordRefusal(Model, Now);
  CHECK(!mayRefuse(Model, 1));
  demand(Model, 2, 1, 0);
  CHECK(!mayRefuse(Model, 1));
}

// Failure: a tenant that is alone is refused although nobody else wants the
// capacity.
TEST(TenantShares, ASingleTenantIsNeverBeyondItsShare) {
  demand(Model, 1, 1000, 10);
  Shares.recordRefusal(Model, Now);
  CHECK(!mayRefuse(Model, 1));
}

// Failure: many small tenants together want more than the capacity, and those
// a little above the others are refused for it.
TEST(TenantShares, LessThanAnEqualPartOfTheDemandIsNeverBeyondTheShare) {
  for (TenantHash Tenant = 1; Tenant <= 9; ++Tenant)
    demand(Model, Tenant, static_cast<unsigned>(Tenant), 1);
  demand(Model, 10, 100, 1);
  Shares.recordRefusal(Model, Now);
  for (TenantHash Tenant = 1; Tenant <= 9; ++Tenant)
    CHECK(!mayRefuse(Model, Tenant));
  CHECK(mayRefuse(Model, 10));
}

// Failure: shares are applied after the shortage, and refusals of this class
// prolong it.
TEST(TenantShares, TheShortageEndsASecondAfterTheLastRefusalForCapacity) {
  demand(Model, 1, 100, 20);
  demand(Model, 2, 10, 10);
  CHECK(!mayRefuse(Model, 1));
  Shares.recordRefusal(Model, Now);
  CHECK(mayRefuse(Model, 1));
  Now += milliseconds(1000);
  CHECK(!mayRefuse(Model, 1));
}

TEST(TenantShares, CapacityIsShortWhileAnswersStartLate) {
  CHECK(Shares.shortage(Model, Target * 0.34, Target, Now) >= 0.8);
  CHECK(Shares.shortage(Model, Target * 0.33, Target, Now) == 0);
}

// Failure: answers start late for another reason than demand. After a few
// refusals the large tenant is refused more and more often, as each refusal
// lowers the estimate of the capacity that its share is cut from.
TEST(TenantShares, SharesRecoverWhileAnswersStartLateForAnotherReason) {
  std::mt19937_64 Random(3);
  std::uniform_real_distribution<double> Draw;
  unsigned Started = 0;
  for (int Step = 0; Step < 6000; ++Step) {
    Now += milliseconds(10);
    demand(Model, 2 + Step % 2, Step % 5 == 0, Step % 5 == 0);
    Shares.recordRequest(Model, 1, 1, Now);
    const double Shortage = Shares.shortage(Model, Target * 0.5, Target, Now);
    const bool IsRefused = TenantShares::refuses(
        Shares.standing(Model, 1, Shortage, Now), Draw(Random));
    // The service refuses half of the requests in the first two seconds.
    if (Step < 200 && Step % 2)
      Shares.recordRefusal(Model, Now);
    else if (!IsRefused) {
      Shares.recordStart(Model, 1, Now);
      Started += Step >= 5000;
    }
  }
  CHECK(Started > 950);
}

// Failure: the queues fill until requests of all tenants are refused.
TEST(TenantShares, CapacityIsShortWhilePlansWait) {
  demand(Model, 1, 1, 1);
  Shares.recordPlannedWait(Model, Target * 0.3, Target, Now);
  DOUBLES_EQUAL(0, Shares.shortage(Model, Target * 0, Target, Now), 1e-9);
  Shares.recordPlannedWait(Model, Target * 0.5, Target, Now);
  DOUBLES_EQUAL(0.5, Shares.shortage(Model, Target * 0, Target, Now), 1e-9);
  Shares.recordPlannedWait(Model, Target * 9, Target, Now);
  DOUBLES_EQUAL(1, Shares.shortage(Model, Target * 0, Target, Now), 1e-9);
  Now += milliseconds(250);
  DOUBLES_EQUAL(0, Shares.shortage(Model, Target * 0, Target, Now), 1e-9);
}

// Failure: where answers start late for another reason than demand, the largest
// tenant is refused although all demand is started.
TEST(TenantShares, RefusesNothingWhileAllDemandIsStarted) {
  demand(Model, 1, 100, 100);
  demand(Model, 2, 10, 10);
  CHECK(!TenantShares::refuses(Shares.standing(Model, 1, 1, Now), 0));
}

// Failure: a shortage of one priority refuses requests of another one, or the
// demand of one counts in the other.
TEST(TenantShares, PrioritiesAndServicesAreSeparate) {
  const SharePool Urgent{"model", 0};
  const SharePool Other{"other", 2};
  for (const SharePool &Pool : {Model, Urgent, Other}) {
    demand(Pool, 1, 100, 20);
    demand(Pool, 2, 10, 10);
  }
  Shares.recordRefusal(Model, Now);
  CHECK(mayRefuse(Model, 1));
  CHECK(!mayRefuse(Urgent, 1));
  CHECK(!mayRefuse(Other, 1));
}

// Failure: work that a full server rejected counts as capacity.
TEST(TenantShares, RejectedWorkIsNoCapacity) {
  demand(Model, 1, 100, 100);
  demand(Model, 2, 10, 10);
  for (int Count = 0; Count < 80; ++Count)
    Shares.undoStart(Model, 1, Now);
  Shares.recordRefusal(Model, Now);
  CHECK(mayRefuse(Model, 1));
  for (int Count = 0; Count < 80; ++Count)
    Shares.undoStart(Model, 1, Now);
  DOUBLES_EQUAL(0, Shares.localDemand(Now).at(0).Started, 1e-9);
}

// Failure: a gateway that has just started, or that sees few requests, admits a
// tenant that is beyond its share at its peers.
TEST(TenantShares, KnowsTheDemandAndTheShortageOfPeers) {
  demand(Model, 1, 1, 1);
  Shares.recordPeerUpdate({"g2", {overload()}}, Now);
  CHECK(mayRefuse(Model, 1));
  CHECK(!mayRefuse(Model, 2));
}

// Failure: a datagram that arrives twice counts twice.
TEST(TenantShares, ReplacesTheReportOfAPeer) {
  demand(Model, 1, 1, 1);
  for (int Count = 0; Count < 3; ++Count)
    Shares.recordPeerUpdate({"g2", {overload()}}, Now);
  DOUBLES_EQUAL(100, Shares.standing(Model, 1, 1, Now).Demand, 0.5);
}

// Failure: a peer that was lost or is frozen keeps a tenant beyond its share.
TEST(TenantShares, RowsOfAPeerExpireAfterFourIntervals) {
  Shares.setUpdateInterval(milliseconds(250));
  Shares.recordPeerUpdate({"g2", {overload()}}, Now);
  Now += milliseconds(999);
  demand(Model, 1, 1, 1);
  DOUBLES_EQUAL(100, Shares.standing(Model, 1, 1, Now).Demand, 0.5);
  Now += milliseconds(100);
  CHECK(Shares.standing(Model, 1, 1, Now).Demand < 1);
  Shares.localDemand(Now);
  LONGS_EQUAL(0, Shares.peers());
}

// Failure: in a large fleet, whose gateways send less often, rows expire
// between two updates.
TEST(TenantShares, RowsLastLongerInALargeFleet) {
  Shares.setUpdateInterval(milliseconds(500));
  Shares.recordPeerUpdate({"g2", {overload()}}, Now);
  Now += milliseconds(1900);
  demand(Model, 1, 1, 1);
  DOUBLES_EQUAL(100, Shares.standing(Model, 1, 1, Now).Demand, 0.5);
}

// Failure: each of thousands of tenants occupies memory and room in datagrams,
// and the large one among them is lost with the small ones.
TEST(TenantShares, BoundsRowsForTenThousandTenants) {
  std::vector<PoolDemand> Sent;
  for (int Second = 0; Second < 4; ++Second)
    for (TenantHash Tenant = 1; Tenant <= 10000; ++Tenant) {
      if (Tenant % 100 == 0)
        Now += milliseconds(10);
      demand(Model, Tenant * 7919, 1, Tenant % 2);
      if (Tenant % 2)
        demand(Model, 5, 1, 0);
      CHECK(Shares.ownRows() <= 256);
    }
  Shares.recordRefusal(Model, Now);
  CHECK(mayRefuse(Model, 5));
  CHECK(!mayRefuse(Model, 7919 * 10000));
  Sent = Shares.localDemand(Now);
  LONGS_EQUAL(1, Sent.size());
  LONGS_EQUAL(PoolDemand::MaximumRows, Sent[0].Largest.size());
  LONGS_EQUAL(5, Sent[0].Largest[0].Tenant);
  CHECK(Sent[0].RestDemand > Sent[0].Largest[1].Demand);
  CHECK(encodeTenantShares({"g1", Sent}).size() < 400);
  // Nothing is kept of tenants that are gone.
  Now += std::chrono::seconds(10);
  CHECK(Shares.localDemand(Now).empty());
  LONGS_EQUAL(0, Shares.ownRows());
}

// Failure: a datagram grows with the number of services, beyond what UDP takes.
TEST(TenantShares, SendsTheLargestPoolsOnly) {
  for (unsigned Service = 0; Service < 200; ++Service)
    for (TenantHash Tenant = 0; Tenant < 20; ++Tenant)
      demand({"service-with-a-long-name-" + std::to_string(Service), 0},
             TenantShares::hashOf(std::to_string(Tenant)), Service + 1, 0);
  const auto Sent = Shares.localDemand(Now);
  LONGS_EQUAL(TenantShareUpdate::MaximumPools, Sent.size());
  STRCMP_EQUAL("service-with-a-long-name-199", Sent[0].Pool.Service.c_str());
  CHECK(encodeTenantShares({"g1", Sent}).size() < 9000);
}

TEST(TenantShares, RetryAfterIsWithinTheBoundsOfRefusals) {
  for (double Share : {0.0, 0.5, 50.0, 99.0})
    for (double Draw : {0.0, MaximumDraw}) {
      const auto Wait = TenantShares::retryAfter({100, Share, 0}, Draw);
      CHECK(Wait >= milliseconds(600));
      CHECK(Wait <= milliseconds(3000));
    }
}

TEST(TenantShares, RoundTripsAnUpdate) {
  const auto Read = decodeTenantShares(encodeTenantShares(
      {"g1",
       {{{"s", 3}, 1.5, {{UINT64_MAX, 0.25}}, 7, 9, milliseconds(12)},
        {Model, 0, {}, 0, 0, std::nullopt}}}));
  CHECK(Read.has_value());
  const TenantShareUpdate &Update = Read.value();
  STRCMP_EQUAL("g1", Update.Sender.c_str());
  LONGS_EQUAL(2, Update.Pools.size());
  const PoolDemand &First = Update.Pools[0];
  CHECK(First.Pool == (SharePool{"s", 3}));
  DOUBLES_EQUAL(1.5, First.Started, 1e-6);
  LONGS_EQUAL(1, First.Largest.size());
  CHECK(First.Largest[0].Tenant == UINT64_MAX);
  DOUBLES_EQUAL(0.25, First.Largest[0].Demand, 1e-6);
  DOUBLES_EQUAL(7, First.RestDemand, 1e-6);
  LONGS_EQUAL(9, First.RestTenants);
  CHECK(First.RefusedAgo == milliseconds(12));
  CHECK(!Update.Pools[1].RefusedAgo);
}

// Failure: a malformed datagram ends the process, or its numbers spoil the sums
// of the fleet.
TEST(TenantShares, RejectsMalformedUpdates) {
  const std::string Good = encodeTenantShares({"g1", {overload()}});
  CHECK(decodeTenantShares(Good).has_value());
  for (size_t Length = 0; Length < Good.size(); ++Length)
    CHECK(!decodeTenantShares(std::string_view(Good).substr(0, Length)));
  CHECK(!decodeTenantShares(Good + "x"));
  // Any changed byte either fails or gives numbers in range.
  for (size_t Index = 0; Index < Good.size(); ++Index)
    for (int Value = 0; Value < 256; ++Value) {
      std::string Changed = Good;
      Changed[Index] = static_cast<char>(Value);
      const auto Read = decodeTenantShares(Changed);
      if (!Read)
        continue;
      for (const PoolDemand &Pool : Read.value().Pools) {
        CHECK(Pool.Started >= 0 && Pool.Started <= 1e9);
        CHECK(Pool.RestDemand >= 0 && Pool.RestDemand <= 1e9);
        for (const TenantDemand &Row : Pool.Largest)
          CHECK(Row.Demand >= 0 && Row.Demand <= 1e9);
      }
    }
  PoolDemand Long = overload();
  Long.Largest.resize(PoolDemand::MaximumRows + 1);
  CHECK(!decodeTenantShares(encodeTenantShares({"g1", {Long}})));
  CHECK(!decodeTenantShares(encodeTenantShares(
      {"g1", std::vector<PoolDemand>(TenantShareUpdate::MaximumPools + 1,
                                     overload())})));
}
