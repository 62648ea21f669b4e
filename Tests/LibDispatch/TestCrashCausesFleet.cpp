//===- TestCrashCausesFleet.cpp - Fleets before crashing servers ----------===//
//
// Simulates, by discrete events, gateways that exchange what they know of
// crashes over a lossy network, before servers that crash shortly after they
// begin to write an answer to a prompt with a harmful part. Harmful prompts
// share their other parts with sound ones. Judged are both: how many harmful
// requests reach servers after the fifth crash, and how many sound ones are
// rejected.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashCauses.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// The platform's stable window, and its bounds.
constexpr milliseconds StableWindow{3000};
constexpr unsigned TolerableCrashes = 5;
constexpr unsigned MaximumLateSends = 3;
constexpr double MinimumServed = 0.5;

/// A run that has been writing for this long is no candidate.
constexpr milliseconds SurvivalTime{500};
constexpr milliseconds TickTime{100};
/// Each gateway retransmits with every fifth tick.
constexpr unsigned TicksPerRetransmission = 5;

struct Scenario {
  uint64_t Seed = 1;
  unsigned Gateways = 4;
  unsigned Servers = 8;
  double RequestsPerSecond = 150;
  double HarmfulShare = 0.05;
  bool HarmfulPartIsFirst = false;
  unsigned HarmfulParts = 1;
  /// Crashes that no request causes.
  double UnrelatedPerSecond = 0;
  double LossRate = 0.1;
  /// Time until a complete answer proves that its server survived it.
  milliseconds ConfirmTime{0};
  /// One gateway after the other restarts, one each second.
  bool GatewaysRestart = false;
  milliseconds Time{20000};
};

struct Prompt {
  std::vector<Fingerprint> Parts;
  bool IsHarmful = false;
};

Fingerprint part(uint8_t Kind, unsigned Number) {
  Fingerprint Part;
  Part.Bytes[0] = Kind;
  Part.Bytes[1] = static_cast<uint8_t>(Number);
  Part.Bytes[2] = static_cast<uint8_t>(Number >> 8);
  return Part;
}

class Fleet {
public:
  explicit Fleet(const Scenario &Options)
      : m_Scenario(Options), m_Random(Options.Seed), m_Tables(Options.Gateways),
        m_Servers(Options.Servers) {
    for (unsigned I = 0; I < Options.Gateways; ++I)
      setTrialDelay(I);
  }

  void run() {
    poisson(m_Scenario.RequestsPerSecond, [this] { arrive(); });
    poisson(m_Scenario.UnrelatedPerSecond,
            [this] { crash(draw(0, m_Scenario.Servers - 1)); });
    for (unsigned I = 0; I < m_Scenario.Gateways; ++I)
      at(milliseconds(draw(0, 100)), [this, I] { tick(I, 0); });
    if (m_Scenario.GatewaysRestart)
      at(1s, [this] { restartGateway(); });
    while (!m_Events.empty() && m_Events.top().At <= End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.At;
      Next.Action();
    }
  }

  /// Crashes caused by harmful parts.
  unsigned Crashes = 0;
  /// Harmful requests sent later than StableWindow after the fifth crash.
  unsigned LateSends = 0;
  /// Sound requests later than twice StableWindow after it or after the last
  /// crash.
  unsigned Sound = 0;
  unsigned SoundRejected = 0;

private:
  struct Event {
    BootTime At{};
    uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };
  struct Run {
    unsigned Gateway = 0;
    Prompt Content;
    BootTime SentAt{};
    std::optional<BootTime> BeganAt;
  };
  struct Server {
    unsigned Start = 0;
    BootTime BackAt{};
    std::map<uint64_t, Run> Runs;
  };

  void at(BootClock::duration Delay, std::function<void()> Action) {
    m_Events.push({m_Now + Delay, ++m_Order, std::move(Action)});
  }
  void poisson(double PerSecond, const std::function<void()> &Action) {
    if (PerSecond <= 0)
      return;
    const double Seconds =
        std::exponential_distribution<double>(PerSecond)(m_Random);
    at(std::chrono::duration_cast<BootClock::duration>(
           std::chrono::duration<double>(Seconds)),
       [this, PerSecond, Action] {
         Action();
         poisson(PerSecond, Action);
       });
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
  }
  unsigned draw(unsigned From, unsigned To) {
    return std::uniform_int_distribution<unsigned>(From, To)(m_Random);
  }
  /// Small numbers are drawn most often.
  unsigned drawSkewed(unsigned Count) {
    return std::min(draw(0, Count - 1), draw(0, Count - 1));
  }

  Prompt makePrompt() {
    const unsigned Caller = drawSkewed(8);
    const Fingerprint First = part(1, Caller);
    const Fingerprint Subject = part(2, 100 * Caller + drawSkewed(20));
    if (!chance(m_Scenario.HarmfulShare))
      return {{First, Subject}, false};
    const Fingerprint Harmful = part(3, draw(1, m_Scenario.HarmfulParts));
    return m_Scenario.HarmfulPartIsFirst ? Prompt{{Harmful, Subject}, true}
                                         : Prompt{{First, Harmful}, true};
  }

  bool isJudged() const {
    if (m_Scenario.HarmfulShare == 0)
      return true;
    const BootTime Since = m_FifthCrash.value_or(m_LastCrash);
    return Crashes > 0 && m_Now - Since > 2 * StableWindow;
  }

  void arrive() {
    const unsigned Gateway = draw(0, m_Scenario.Gateways - 1);
    const Prompt Content = makePrompt();
    CrashCauses &Table = m_Tables[Gateway];
    const bool IsJudged = !Content.IsHarmful && isJudged();
    Sound += IsJudged ? 1 : 0;
    if (Table.rejects(Content.Parts, m_Now)) {
      SoundRejected += IsJudged ? 1 : 0;
      return;
    }
    std::vector<unsigned> Available;
    for (unsigned I = 0; I < m_Servers.size(); ++I)
      if (m_Servers[I].BackAt <= m_Now)
        Available.push_back(I);
    if (Available.empty())
      return;
    for (const Fingerprint &Part : Content.Parts)
      Table.recordTrial(Part, ++m_Order, m_Now);
    sendChanges(Gateway);
    if (Content.IsHarmful && m_FifthCrash &&
        m_Now - *m_FifthCrash > StableWindow && isInTouch(Gateway))
      ++LateSends;
    const unsigned Place =
        Available[draw(0, static_cast<unsigned>(Available.size()) - 1)];
    const uint64_t Id = ++m_Order;
    const unsigned Start = m_Servers[Place].Start;
    m_Servers[Place].Runs[Id] = {Gateway, Content, m_Now, std::nullopt};
    at(milliseconds(draw(10, 150)),
       [=, this] { beginToWrite(Place, Start, Id); });
  }

  bool isInTouch(unsigned Gateway) const {
    const auto Restart = m_RestartedAt.find(Gateway);
    return Restart == m_RestartedAt.end() ||
           m_Now - Restart->second > StableWindow;
  }

  bool isRunning(unsigned Place, unsigned Start, uint64_t Id) {
    return m_Servers[Place].Start == Start &&
           m_Servers[Place].Runs.contains(Id);
  }

  void beginToWrite(unsigned Place, unsigned Start, uint64_t Id) {
    if (!isRunning(Place, Start, Id))
      return;
    Run &Current = m_Servers[Place].Runs[Id];
    Current.BeganAt = m_Now;
    if (Current.Content.IsHarmful)
      return at(milliseconds(draw(0, 80)), [=, this] {
        if (!isRunning(Place, Start, Id))
          return;
        recordHarmfulCrash();
        crash(Place);
      });
    at(milliseconds(draw(5, 200)), [=, this] { complete(Place, Start, Id); });
  }

  void complete(unsigned Place, unsigned Start, uint64_t Id) {
    if (!isRunning(Place, Start, Id))
      return;
    const Run Completed = m_Servers[Place].Runs[Id];
    m_Servers[Place].Runs.erase(Id);
    at(m_Scenario.ConfirmTime, [=, this] {
      if (m_Servers[Place].Start != Start)
        return;
      for (const Fingerprint &Part : Completed.Content.Parts)
        m_Tables[Completed.Gateway].recordSurvival(Part, *Completed.BeganAt,
                                                   m_Now);
      sendChanges(Completed.Gateway);
    });
  }

  void recordHarmfulCrash() {
    m_LastCrash = m_Now;
    if (++Crashes == TolerableCrashes * m_Scenario.HarmfulParts)
      m_FifthCrash = m_Now;
  }

  void crash(unsigned Place) {
    Server &Crashed = m_Servers[Place];
    if (Crashed.BackAt > m_Now)
      return;
    const ServerStart Start{"s" + std::to_string(Place) + "-" +
                                std::to_string(Crashed.Start),
                            std::nullopt};
    std::map<unsigned, std::vector<CrashCandidate>> ByGateway;
    for (const auto &[Id, Lost] : Crashed.Runs) {
      if (Lost.BeganAt && m_Now - *Lost.BeganAt >= SurvivalTime)
        continue;
      for (unsigned I = 0; I < Lost.Content.Parts.size(); ++I)
        ByGateway[Lost.Gateway].push_back(
            {Lost.Content.Parts[I], I,
             std::chrono::duration_cast<milliseconds>(m_Now - Lost.SentAt)});
    }
    for (const auto &[Gateway, Candidates] : ByGateway)
      at(milliseconds(draw(2, 10)),
         [=, this, CrashedAt = m_Now, Gateway = Gateway,
          Candidates = Candidates] {
           m_Tables[Gateway].recordCrash(Start, CrashedAt, Candidates, m_Now);
           sendChanges(Gateway);
         });
    Crashed.Runs.clear();
    ++Crashed.Start;
    Crashed.BackAt = m_Now + milliseconds(draw(800, 2500));
  }

  void sendChanges(unsigned From) {
    for (const CrashCauseUpdate &Update : m_Tables[From].takeChanges(m_Now))
      send(From, Update);
  }
  void send(unsigned From, const CrashCauseUpdate &Update) {
    for (unsigned To = 0; To < m_Tables.size(); ++To)
      if (To != From && !chance(m_Scenario.LossRate))
        at(milliseconds(draw(1, 6)),
           [=, this] { m_Tables[To].applyUpdate(Update, m_Now); });
  }

  void tick(unsigned Gateway, unsigned Count) {
    m_Tables[Gateway].expire(m_Now);
    if (Count % TicksPerRetransmission == 0)
      if (const auto Update = m_Tables[Gateway].takeRetransmission(m_Now);
          !Update.empty())
        send(Gateway, Update);
    if (Count % m_Scenario.Gateways == 0)
      if (const auto Update = m_Tables[Gateway].takeRejections(m_Now);
          !Update.empty())
        send(Gateway, Update);
    at(TickTime, [=, this] { tick(Gateway, Count + 1); });
  }

  void restartGateway() {
    const unsigned Gateway = m_Restarts++ % m_Scenario.Gateways;
    m_Tables[Gateway] = CrashCauses();
    setTrialDelay(Gateway);
    m_RestartedAt[Gateway] = m_Now;
    at(1s, [this] { restartGateway(); });
  }
  void setTrialDelay(unsigned Gateway) {
    m_Tables[Gateway].setTrialDelay(1000ms * Gateway);
  }

  const Scenario m_Scenario;
  std::mt19937_64 m_Random;
  BootTime m_Now{1h};
  const BootTime End = m_Now + m_Scenario.Time;
  std::priority_queue<Event> m_Events;
  uint64_t m_Order = 0;
  std::vector<CrashCauses> m_Tables;
  std::vector<Server> m_Servers;
  std::optional<BootTime> m_FifthCrash;
  BootTime m_LastCrash{};
  unsigned m_Restarts = 0;
  std::map<unsigned, BootTime> m_RestartedAt;
};

struct Worst {
  /// Of one harmful part.
  unsigned LateSends = 0;
  double Served = 1;
  unsigned Crashes = 0;

  void include(const Fleet &Played, unsigned HarmfulParts) {
    LateSends = std::max(LateSends, Played.LateSends / HarmfulParts);
    Crashes = std::max(Crashes, Played.Crashes);
    if (Played.Sound > 0)
      Served = std::min(Served, 1 - static_cast<double>(Played.SoundRejected) /
                                        Played.Sound);
  }
};

void check(const Worst &Result) {
  UT_PRINT(StringFromFormat("most late sends %u, least served %.4f, most "
                            "crashes %u",
                            Result.LateSends, Result.Served, Result.Crashes)
               .asCharString());
  CHECK(Result.Crashes > 0);
  CHECK(Result.LateSends <= MaximumLateSends);
  CHECK(Result.Served >= MinimumServed);
}

/// Plays scenarios that differ in the harmful part and its share.
void playAll(Scenario Options, uint64_t Seeds) {
  Worst Result;
  for (const bool IsFirst : {false, true})
    for (const double Share : {0.01, 0.05, 0.3})
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        Options.Seed = Seed;
        Options.HarmfulShare = Share;
        Options.HarmfulPartIsFirst = IsFirst;
        Fleet Simulation(Options);
        Simulation.run();
        Result.include(Simulation, Options.HarmfulParts);
      }
  check(Result);
}

} // namespace

TEST_GROUP(CrashCausesFleet){};

TEST(CrashCausesFleet, RejectsHarmfulPartsAtOneGateway) {
  playAll({.Gateways = 1}, 5);
}

TEST(CrashCausesFleet, RejectsHarmfulPartsAtFourGateways) {
  playAll({.Gateways = 4}, 5);
}

// Guards against: sound prompts are rejected with the harmful ones, as their
// parts were on servers that crashed for other reasons.
TEST(CrashCausesFleet, RejectsHarmfulPartsBesideUnrelatedCrashes) {
  playAll({.UnrelatedPerSecond = 0.5}, 5);
}

TEST(CrashCausesFleet, RejectsHarmfulPartsWithHalfOfTheDatagramsLost) {
  playAll({.LossRate = 0.5}, 5);
}

// Guards against: gateways that start anew send harmful prompts until they have
// seen crashes of their own.
TEST(CrashCausesFleet, RejectsHarmfulPartsWhileGatewaysRestart) {
  playAll({.GatewaysRestart = true}, 3);
}

// Guards against: answers that end with their connection clear no part in time.
TEST(CrashCausesFleet, RejectsHarmfulPartsWithAnswersConfirmedLate) {
  playAll({.RequestsPerSecond = 60, .ConfirmTime = milliseconds(300)}, 5);
}

TEST(CrashCausesFleet, RejectsTwoHarmfulParts) {
  playAll({.HarmfulParts = 2}, 3);
}

// Guards against: each gateway of a fleet makes trials of its own, and together
// they send more than three harmful prompts.
TEST(CrashCausesFleet, LimitsTrialsOfAllGateways) {
  playAll({.Gateways = 8, .Time = milliseconds(240000)}, 1);
}

TEST(CrashCausesFleet, RejectsHarmfulPartsAtThirtyGateways) {
  playAll({.Gateways = 30, .Time = milliseconds(12000)}, 1);
}

TEST(CrashCausesFleet, RejectsHarmfulPartsAtAHundredGateways) {
  Scenario Large{.Gateways = 103, .Servers = 58, .RequestsPerSecond = 600};
  Large.Time = milliseconds(10000);
  Worst Result;
  Fleet Simulation(Large);
  Simulation.run();
  Result.include(Simulation, Large.HarmfulParts);
  check(Result);
}

// Guards against: crashes that no request causes have sound prompts rejected.
TEST(CrashCausesFleet, RejectsNothingWhenServersCrashByThemselves) {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    Fleet Simulation(
        {.Seed = Seed, .HarmfulShare = 0, .UnrelatedPerSecond = 2});
    Simulation.run();
    LONGS_EQUAL(0, Simulation.SoundRejected);
  }
}
