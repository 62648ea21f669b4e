//===- TestServerLimits.cpp - Request rate limits of servers --------------===//
//
// Covers single gateways, and simulated fleets that share a limit under uneven
// load.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerLimits.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace figlift;
using namespace figlift::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(ServerLimits) {
  const ServerStart Server{"s", std::nullopt};
  const LimitShare FullShare{1, 3};
  ServerLimits Limits;
  BootTime Now{1h};

  void setLimit(std::optional<double> PerSecond, BootTime SentAt) {
    Limits.recordAnswer(Server, PerSecond, SentAt, Now);
    Limits.setShare("s", FullShare, Now);
  }
  /// Sends requests whenever the limit allows. Returns their number.
  unsigned countSends(std::chrono::milliseconds Duration) {
    unsigned Sent = 0;
    for (const BootTime End = Now + Duration; Now < End; Now += 1ms)
      if (Limits.hasCapacity("s", Now)) {
        Limits.recordSend("s", Now);
        ++Sent;
      }
    return Sent;
  }
};

TEST(ServerLimits, DoNotApplyWithoutLimit) {
  LONGS_EQUAL(1000, countSends(1s));
  setLimit(std::nullopt, Now);
  LONGS_EQUAL(1000, countSends(1s));
}

TEST(ServerLimits, LimitRequestRate) {
  setLimit(20, Now);
  const unsigned Sent = countSends(10s);
  CHECK(Sent <= 200);
  CHECK(Sent >= 195);
}

TEST(ServerLimits, EndWithAnswerWithoutLimit) {
  setLimit(1, Now);
  countSends(100ms);
  setLimit(std::nullopt, Now);
  LONGS_EQUAL(100, countSends(100ms));
}

// Guards against: a delayed answer lifts a limit, or brings an expired one
// back.
TEST(ServerLimits, UseAnswerToLatestRequest) {
  setLimit(10, Now);
  setLimit(std::nullopt, Now - 1ms);
  LONGS_EQUAL(1, Limits.activeLimits().size());
  setLimit(std::nullopt, Now + 1ms);
  setLimit(10, Now);
  CHECK(Limits.activeLimits().empty());
}

TEST(ServerLimits, EndWithServerRestart) {
  setLimit(10, Now);
  Limits.recordAnswer({"s", StartTime(5ms)}, std::nullopt, Now + 1s, Now + 1s);
  CHECK(Limits.activeLimits().empty());
}

// Guards against: a server that accepted nothing for a moment never gets a
// request again.
TEST(ServerLimits, ProbeServerWithZeroLimit) {
  setLimit(0, Now);
  LONGS_EQUAL(2, countSends(9s));
}

TEST(ServerLimits, ApplyUpdatesOfPeers) {
  setLimit(10, Now);
  ServerLimits Peer;
  for (const LimitUpdate &Update : Limits.makeUpdates(Now))
    Peer.applyUpdate(Update, Now);
  CHECK(!Peer.hasCapacity("s", Now));
}

namespace {

/// Gateways with uneven load and one server. Shares depend on demand that was
/// reported some time ago.
class LimitModel {
public:
  LimitModel(unsigned Gateways, uint64_t Seed)
      : m_Gateways(Gateways), m_Random(Seed) {
    double Sum = 0;
    for (unsigned I = 0; I < Gateways; ++I)
      Sum += m_Load.emplace_back(0.1 + draw() * draw() * 3);
    for (double &Load : m_Load)
      Load /= Sum;
  }

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  /// Computes the shares. Each gateway sees the demand of the others with an
  /// error of up to ten percent.
  void share(const std::string &TargetId, double PerSecond) {
    for (unsigned I = 0; I < m_Gateways.size(); ++I) {
      LimitFleet Fleet;
      Fleet.Self = name(I);
      Fleet.Sharers = m_Gateways.size();
      for (unsigned Other = 0; Other < m_Gateways.size(); ++Other) {
        if (Other != I)
          Fleet.Others.push_back(name(Other));
        Fleet.TotalDemand += m_Load[Other] * (0.9 + 0.2 * draw());
      }
      Fleet.OwnDemand = m_Load[I];
      m_Gateways[I].setShare(TargetId, limitShare(Fleet, TargetId, PerSecond),
                             Now);
    }
  }
  void setLimit(std::optional<double> PerSecond) {
    for (ServerLimits &Gateway : m_Gateways)
      Gateway.recordAnswer({"s", std::nullopt}, PerSecond, Now, Now);
  }
  /// Runs one millisecond. Returns the number of requests that reach the server
  /// out of \p Demand per second.
  unsigned step(double Demand) {
    unsigned Sent = 0;
    for (unsigned I = 0; I < m_Gateways.size(); ++I)
      if (draw() < Demand / 1000 * m_Load[I] &&
          m_Gateways[I].hasCapacity("s", Now)) {
        m_Gateways[I].recordSend("s", Now);
        ++Sent;
      }
    Now += 1ms;
    return Sent;
  }

  BootTime Now{1h};

private:
  static std::string name(unsigned Index) {
    return "g" + std::to_string(Index);
  }

  std::vector<ServerLimits> m_Gateways;
  std::mt19937_64 m_Random;
  std::vector<double> m_Load;
};

} // namespace

TEST_GROUP(ServerLimitsFleet) {
  /// The highest number of requests in any four seconds, and their total.
  struct LoadResult {
    size_t Maximum = 0;
    size_t Total = 0;
  };
  static LoadResult simulate(unsigned Gateways, double PerSecond,
                             double Demand) {
    LimitModel Fleet(Gateways, Gateways + static_cast<uint64_t>(PerSecond));
    Fleet.setLimit(PerSecond);
    std::deque<BootTime> Window;
    LoadResult Result;
    for (unsigned Step = 0; Step < 20000; ++Step) {
      if (Step % 100 == 0)
        Fleet.share("s", PerSecond);
      for (unsigned Sent = Fleet.step(Demand); Sent > 0; --Sent) {
        Window.push_back(Fleet.Now);
        ++Result.Total;
      }
      while (!Window.empty() && Fleet.Now - Window.front() > 4s)
        Window.pop_front();
      Result.Maximum = std::max(Result.Maximum, Window.size());
    }
    return Result;
  }
};

// Guards against: gateways that keep to their shares exceed the limit together,
// or leave most of it unused because their callers are unevenly distributed.
TEST(ServerLimitsFleet, KeepsLimitAndUsesIt) {
  for (const unsigned Gateways : {1U, 4U, 30U, 103U})
    for (const double PerSecond : {3.7, 25.9, 200.0}) {
      // The demand on a service with many such servers.
      const double Demand = 10 * PerSecond * std::max(1.0, Gateways / 10.0);
      const LoadResult Busy = simulate(Gateways, PerSecond, Demand);
      CHECK(static_cast<double>(Busy.Maximum) <= PerSecond * 4 * 1.1 + 5);
      // Three of a hundred gateways share the smallest limit, whether they have
      // demand or not: see docs/CAPACITY.md.
      if (Gateways < 100 || PerSecond > 10)
        // The simulation runs for twenty seconds.
        CHECK(static_cast<double>(Busy.Total) >= 0.85 * PerSecond * 20);
    }
}
