//===- TestCrashedTogether.cpp - Overlapping copies of a suspect request --===//
//
// Simulates, in small time steps, gateways that send to servers which a harmful
// request crashes repeatedly, while many callers send another, harmless
// request. The delay until a gateway detects a crash is a parameter: short
// where connections are refused, long where only the store's list shows it.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashSuspects.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace figlift;
using namespace figlift::dispatch;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Common = 0;
/// Two harmful requests: the crashes of one look like those of the other.
constexpr unsigned HarmfulRequests = 2;
constexpr milliseconds Step{1};
constexpr milliseconds RetransmitInterval{100};
constexpr milliseconds Latency{3};

RequestFingerprint request(unsigned Number) {
  RequestFingerprint Fingerprint;
  Fingerprint.Bytes[0] = static_cast<uint8_t>(Number);
  return Fingerprint;
}

struct Scenario {
  uint64_t Seed = 1;
  /// Maximum delay until a gateway detects the crash of a server.
  milliseconds DetectionDelay{5};
  unsigned Gateways = 4;
  unsigned Servers = 3;
  /// Probability of a send in each step.
  double CommonRate = 0.1;
  double HarmfulRate = 0.01;
  milliseconds MaximumRunTime{15};
  double LossRate = 0.1;
};

class Fleet {
public:
  explicit Fleet(const Scenario &Options)
      : m_Scenario(Options), m_Random(Options.Seed), m_Tables(Options.Gateways),
        m_Servers(Options.Servers), m_CrashCounts(HarmfulRequests + 1) {}

  void run(milliseconds Time) {
    for (const BootTime End = m_Now + Time; m_Now < End;) {
      m_Now += Step;
      deliver();
      detectCrashes();
      endRuns();
      if (chance(m_Scenario.CommonRate))
        arrive(Common);
      for (unsigned Request = 1; Request <= HarmfulRequests; ++Request)
        if (chance(m_Scenario.HarmfulRate))
          arrive(Request);
      retransmit();
    }
  }
  /// Restarts the counts of the common request.
  void resetCounts() { Completed = Rejected = 0; }

  /// Counts of the common request.
  unsigned Completed = 0;
  unsigned Rejected = 0;
  /// The highest number of sends of one harmful request later than three
  /// seconds after its third crash.
  unsigned MaximumLateSends = 0;
  unsigned Crashes = 0;

private:
  struct Server {
    unsigned Start = 0;
    BootTime BackAt{};
  };
  struct ActiveRun {
    unsigned Request = 0;
    unsigned Gateway = 0;
    unsigned Server = 0;
    unsigned Start = 0;
    BootTime StartedAt{};
    BootTime EndsAt{};
  };
  struct InterruptedRun {
    BootTime DetectedAt{};
    unsigned Gateway = 0;
    unsigned Request = 0;
    CrashSuspects::InterruptedSend Send;
  };
  struct Datagram {
    BootTime At{};
    unsigned To = 0;
    std::vector<SuspectUpdate> Updates;
  };
  struct CrashCount {
    unsigned Servers = 0;
    BootTime ThirdAt{};
    unsigned LateSends = 0;
  };

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
  }
  unsigned draw(unsigned From, unsigned To) {
    return std::uniform_int_distribution<unsigned>(From, To)(m_Random);
  }

  void arrive(unsigned Request) {
    const unsigned Gateway = draw(0, m_Scenario.Gateways - 1);
    CrashSuspects &Table = m_Tables[Gateway];
    if (Table.rejectsNewAttempt(request(Request), m_Now)) {
      Rejected += Request == Common ? 1 : 0;
      return;
    }
    std::vector<unsigned> Available;
    for (unsigned I = 0; I < m_Servers.size(); ++I)
      if (m_Servers[I].BackAt <= m_Now)
        Available.push_back(I);
    if (Available.empty())
      return;
    const unsigned Server =
        Available[draw(0, static_cast<unsigned>(Available.size() - 1))];
    Table.recordSend(request(Request), m_Now);
    sendChanges(Gateway);
    countSend(Request);
    m_Runs.push_back({Request, Gateway, Server, m_Servers[Server].Start, m_Now,
                      m_Now + milliseconds(draw(
                                  2, static_cast<unsigned>(
                                         m_Scenario.MaximumRunTime.count())))});
  }

  void countSend(unsigned Request) {
    CrashCount &Count = m_CrashCounts[Request];
    if (Count.Servers >= 3 && m_Now - Count.ThirdAt > 3s)
      MaximumLateSends = std::max(MaximumLateSends, ++Count.LateSends);
  }

  void endRuns() {
    std::vector<ActiveRun> Finished;
    std::erase_if(m_Runs, [&](const ActiveRun &Run) {
      if (Run.EndsAt > m_Now)
        return false;
      Finished.push_back(Run);
      return true;
    });
    for (const ActiveRun &Run : Finished) {
      // The run was interrupted by a crash of its server.
      if (m_Servers[Run.Server].Start != Run.Start)
        continue;
      if (Run.Request != Common) {
        crashServer(Run);
        continue;
      }
      ++Completed;
      m_Tables[Run.Gateway].recordCompletion(request(Common), m_Now);
      sendChanges(Run.Gateway);
    }
  }

  void crashServer(const ActiveRun &Cause) {
    ++Crashes;
    if (CrashCount &Count = m_CrashCounts[Cause.Request]; ++Count.Servers == 3)
      Count.ThirdAt = m_Now;
    const milliseconds Delay = m_Scenario.DetectionDelay / 2;
    const auto Interrupt = [&](const ActiveRun &Run) {
      const milliseconds Spread(draw(0, static_cast<unsigned>(Delay.count())));
      m_Interrupted.push_back({m_Now + Delay + Spread,
                               Run.Gateway,
                               Run.Request,
                               {{"s" + std::to_string(Run.Start), std::nullopt},
                                Run.StartedAt,
                                m_Now}});
    };
    Interrupt(Cause);
    std::erase_if(m_Runs, [&](const ActiveRun &Run) {
      if (Run.Server != Cause.Server)
        return false;
      Interrupt(Run);
      return true;
    });
    m_Servers[Cause.Server] = {++m_LastStart,
                               m_Now + milliseconds(draw(100, 1300))};
  }

  void detectCrashes() {
    std::vector<InterruptedRun> Detected;
    std::erase_if(m_Interrupted, [&](const InterruptedRun &Run) {
      if (Run.DetectedAt > m_Now)
        return false;
      Detected.push_back(Run);
      return true;
    });
    for (const InterruptedRun &Run : Detected) {
      m_Tables[Run.Gateway].recordCrash(request(Run.Request), Run.Send, m_Now);
      sendChanges(Run.Gateway);
    }
  }

  void sendChanges(unsigned From) {
    send(From, m_Tables[From].takeChanges(m_Now));
  }

  void send(unsigned From, const std::vector<SuspectUpdate> &Updates) {
    for (unsigned To = 0; To < m_Tables.size() && !Updates.empty(); ++To)
      if (To != From && !chance(m_Scenario.LossRate))
        m_Datagrams.push_back({m_Now + Latency, To, Updates});
  }

  void deliver() {
    for (; !m_Datagrams.empty() && m_Datagrams.front().At <= m_Now;
         m_Datagrams.pop_front())
      for (const SuspectUpdate &Update : m_Datagrams.front().Updates)
        m_Tables[m_Datagrams.front().To].applyUpdate(Update, m_Now);
  }

  void retransmit() {
    if (m_Now - m_RetransmittedAt < RetransmitInterval)
      return;
    m_RetransmittedAt = m_Now;
    for (unsigned From = 0; From < m_Tables.size(); ++From) {
      m_Tables[From].expire(m_Now);
      send(From, m_Tables[From].takeRetransmissions(10, m_Now));
    }
  }

  const Scenario m_Scenario;
  std::mt19937_64 m_Random;
  BootTime m_Now{1h};
  BootTime m_RetransmittedAt{};
  std::vector<CrashSuspects> m_Tables;
  std::vector<Server> m_Servers;
  unsigned m_LastStart = 100;
  std::vector<ActiveRun> m_Runs;
  std::vector<InterruptedRun> m_Interrupted;
  std::deque<Datagram> m_Datagrams;
  std::vector<CrashCount> m_CrashCounts;
};

/// Runs the simulation with each combination of parameters and several seeds.
template <typename Checker> void runAll(Checker Check) {
  constexpr uint64_t Seeds = 6;
  for (const milliseconds Delay : {5ms, 50ms, 1000ms, 2000ms})
    for (const milliseconds MaximumRunTime : {15ms, 800ms})
      for (const unsigned Servers : {3U, 8U})
        for (const double HarmfulRate : {0.01, 0.05})
          for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
            Fleet Simulation({.Seed = Seed,
                              .DetectionDelay = Delay,
                              .Servers = Servers,
                              .HarmfulRate = HarmfulRate,
                              .MaximumRunTime = MaximumRunTime});
            Check(Simulation);
          }
}

} // namespace

TEST_GROUP(CrashedTogether){};

// Guards against: a harmless request that many callers send was running on
// three servers that other requests crashed, and is rejected together with
// them.
TEST(CrashedTogether, DoesNotRejectCommonHarmlessRequest) {
  unsigned RejectingRuns = 0;
  runAll([&](Fleet &Simulation) {
    // Time to reject the harmful requests.
    Simulation.run(12s);
    Simulation.resetCounts();
    Simulation.run(10s);
    RejectingRuns += Simulation.Rejected * 100 > Simulation.Completed ? 1 : 0;
  });
  LONGS_EQUAL(0, RejectingRuns);
}

// Guards against: a harmful request with copies on several servers at once is
// sent to more than three servers later than three seconds after the third
// crash.
TEST(CrashedTogether, LimitsServersCrashedByOneRequest) {
  unsigned Maximum = 0;
  runAll([&](Fleet &Simulation) {
    Simulation.run(60s);
    Maximum = std::max(Maximum, Simulation.MaximumLateSends);
  });
  CHECK(Maximum <= 3);
}
