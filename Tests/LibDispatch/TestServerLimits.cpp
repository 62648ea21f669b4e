//===- TestServerLimits.cpp - How many requests servers take --------------===//
//
// Single gateways, and whole fleets that share a limit under uneven load.
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
  const LimitShare All{1, 3};
  ServerLimits Limits;
  BootTime Now{1h};

  void name(std::optional<double> PerSecond, BootTime SentAt) {
    Limits.told(Server, PerSecond, SentAt, Now);
    Limits.share("s", All, Now);
  }
  /// Requests that are sent as soon as there is room.
  unsigned sends(std::chrono::milliseconds For) {
    unsigned Sent = 0;
    for (const BootTime End = Now + For; Now < End; Now += 1ms)
      if (Limits.hasRoom("s", Now)) {
        Limits.sent("s", Now);
        ++Sent;
      }
    return Sent;
  }
};

TEST(ServerLimits, BoundNobodyWhoNamesNone) {
  LONGS_EQUAL(1000, sends(1s));
  name(std::nullopt, Now);
  LONGS_EQUAL(1000, sends(1s));
}

TEST(ServerLimits, AreKept) {
  name(20, Now);
  const unsigned Sent = sends(10s);
  CHECK(Sent <= 200);
  CHECK(Sent >= 195);
}

TEST(ServerLimits, EndWithAnAnswerThatNamesNone) {
  name(1, Now);
  sends(100ms);
  name(std::nullopt, Now);
  LONGS_EQUAL(100, sends(100ms));
}

// Failure: an answer that was held up on its way lifts a limit, or brings back
// one that is over.
TEST(ServerLimits, GoByTheRequestThatWasSentLast) {
  name(10, Now);
  name(std::nullopt, Now - 1ms);
  LONGS_EQUAL(1, Limits.inForce().size());
  name(std::nullopt, Now + 1ms);
  name(10, Now);
  CHECK(Limits.inForce().empty());
}

TEST(ServerLimits, EndWithTheStartThatNamedThem) {
  name(10, Now);
  Limits.told({"s", StartTime(5ms)}, std::nullopt, Now + 1s, Now + 1s);
  CHECK(Limits.inForce().empty());
}

// Failure: a server that took nothing for a moment never gets a request again.
TEST(ServerLimits, OfNothingAreTriedNowAndThen) {
  name(0, Now);
  LONGS_EQUAL(2, sends(9s));
}

TEST(ServerLimits, AreHeardFromPeers) {
  name(10, Now);
  ServerLimits Peer;
  for (const LimitNews &Each : Limits.news(Now))
    Peer.heard(Each, Now);
  CHECK(!Peer.hasRoom("s", Now));
}

namespace {

/// Gateways with uneven load before one server; shares go by demand that was
/// told some time ago.
class LimitModel {
public:
  LimitModel(unsigned Gateways, uint64_t Seed)
      : m_Gateways(Gateways), m_Random(Seed) {
    double Sum = 0;
    for (unsigned Each = 0; Each < Gateways; ++Each)
      Sum += m_Load.emplace_back(0.1 + draw() * draw() * 3);
    for (double &Each : m_Load)
      Each /= Sum;
  }

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  /// Each gateway has its own view of the others' demand, off by a tenth.
  void share(const std::string &TargetId, double PerSecond) {
    for (unsigned Each = 0; Each < m_Gateways.size(); ++Each) {
      LimitFleet Fleet;
      Fleet.Own = name(Each);
      Fleet.Sharers = m_Gateways.size();
      for (unsigned Other = 0; Other < m_Gateways.size(); ++Other) {
        if (Other != Each)
          Fleet.Others.push_back(name(Other));
        Fleet.AllDemand += m_Load[Other] * (0.9 + 0.2 * draw());
      }
      Fleet.OwnDemand = m_Load[Each];
      m_Gateways[Each].share(TargetId, limitShare(Fleet, TargetId, PerSecond),
                             Now);
    }
  }
  void named(std::optional<double> PerSecond) {
    for (ServerLimits &Each : m_Gateways)
      Each.told({"s", std::nullopt}, PerSecond, Now, Now);
  }
  /// Requests that reach the server in a millisecond, of \p Demand a second.
  unsigned step(double Demand) {
    unsigned Sent = 0;
    for (unsigned Each = 0; Each < m_Gateways.size(); ++Each)
      if (draw() < Demand / 1000 * m_Load[Each] &&
          m_Gateways[Each].hasRoom("s", Now)) {
        m_Gateways[Each].sent("s", Now);
        ++Sent;
      }
    Now += 1ms;
    return Sent;
  }

  BootTime Now{1h};

private:
  static std::string name(unsigned Each) { return "g" + std::to_string(Each); }

  std::vector<ServerLimits> m_Gateways;
  std::mt19937_64 m_Random;
  std::vector<double> m_Load;
};

} // namespace

TEST_GROUP(LimitsOfAFleet) {
  /// Most requests in any four seconds, and all of them.
  struct Played {
    size_t Most = 0;
    size_t All = 0;
  };
  static Played play(unsigned Gateways, double PerSecond, double Demand) {
    LimitModel Fleet(Gateways, Gateways + static_cast<uint64_t>(PerSecond));
    Fleet.named(PerSecond);
    std::deque<BootTime> Window;
    Played Result;
    for (unsigned Step = 0; Step < 20000; ++Step) {
      if (Step % 100 == 0)
        Fleet.share("s", PerSecond);
      for (unsigned Sent = Fleet.step(Demand); Sent > 0; --Sent) {
        Window.push_back(Fleet.Now);
        ++Result.All;
      }
      while (!Window.empty() && Fleet.Now - Window.front() > 4s)
        Window.pop_front();
      Result.Most = std::max(Result.Most, Window.size());
    }
    return Result;
  }
};

// Failure: gateways that each keep to their part send more than the limit
// together, or leave most of it unused as their callers are unevenly spread.
TEST(LimitsOfAFleet, AreKeptAndUsed) {
  for (const unsigned Gateways : {1U, 4U, 30U, 103U})
    for (const double PerSecond : {3.7, 25.9, 200.0}) {
      // Of a whole service that has many such servers.
      const double Demand = 10 * PerSecond * std::max(1.0, Gateways / 10.0);
      const Played Busy = play(Gateways, PerSecond, Demand);
      CHECK(static_cast<double>(Busy.Most) <= PerSecond * 4 * 1.1 + 5);
      // Three of a hundred gateways share the smallest limit, whether they
      // have demand or not: see docs/CAPACITY.md.
      if (Gateways < 100 || PerSecond > 10)
        // Twenty seconds.
        CHECK(static_cast<double>(Busy.All) >= 0.85 * PerSecond * 20);
    }
}
