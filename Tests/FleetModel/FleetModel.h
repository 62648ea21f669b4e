//===- FleetModel.h - Gateways before engines, without a network -*- C++
//-*-===//
//
// Plays a fleet by discrete events: each gateway decides with its own
// LoadTracker and PromptPlanner, as the processes do, and knows of the others
// only by reports that are as old as the interval between them. Engines read
// prompts one after the other, keep what they read, move KV cache over one link
// in and one link out, decode in slots, queue some requests and reject the
// rest.
//
// Left out: the network's delays between zones, the processes' own time, plain
// services, and changes of stages.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/PromptPlanner.h"
#include "LibDispatch/StartLag.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace figlift::dispatch::test {

struct FleetOptions {
  unsigned Gateways = 103;
  unsigned Readers = 29;
  unsigned Runners = 29;
  unsigned Zones = 6;
  /// Between two reports of one gateway.
  std::chrono::milliseconds ReportInterval{150};
  /// Requests a second of a calm hour, and how many times as many come once
  /// the first second has passed.
  double Rate = 1100;
  double Load = 1;
  /// In turns of this length the load is twice as far from, and then back at,
  /// the calm rate; 0: it stays.
  std::chrono::milliseconds SwingPeriod{0};
  std::chrono::milliseconds Length{3000};
  unsigned Seed = 1;
};

struct FleetResult {
  unsigned Asked = 0;
  unsigned OnTime = 0;
  unsigned Late = 0;
  /// Refused by gateways, returns of the same caller included.
  unsigned Refusals = 0;
  /// Turned away by full engines.
  unsigned Rejections = 0;
  /// Answers on time a second, of callers who came after the first second.
  double Goodput = 0;
};

class FleetModel {
public:
  explicit FleetModel(FleetOptions Options);
  FleetResult run();

private:
  using Action = std::function<void()>;
  struct Event {
    BootTime At;
    uint64_t Order;
    Action Do;
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };
  struct Request;
  using RequestPointer = std::shared_ptr<Request>;
  struct Engine {
    Target Who;
    KvCacheView Kept{0};
    BootTime ReadsUntil{};
    BootTime LinkInUntil{};
    BootTime LinkOutUntil{};
    unsigned Present = 0;
    unsigned Running = 0;
    std::queue<Action> Waiting;
  };
  struct Gateway {
    explicit Gateway(PromptPlannerOptions Options) : Planner(Options, Loads) {}
    LoadTracker Loads;
    PromptPlanner Planner;
    StartLag Lag;
    /// Parts that engines computed for it since its last report.
    std::vector<std::pair<std::string, PromptPart>> NewlyCached;
  };
  struct Request {
    PromptRequest What;
    BootTime Came;
    unsigned At = 0;
    bool Returned = false;
    bool SentTwice = false;
    std::string Reader;
    /// Of the read or run under way.
    uint64_t Ticket = 0;
    BootTime RunSent{};
    Milliseconds RunPlanned{0};
    /// By a gateway; later than Came of one that was refused first.
    BootTime Taken{};
    BootTime Planned{};
    Milliseconds PlannedFirst{0};
    Milliseconds Generation{0};
  };

  void after(Milliseconds Delay, Action Do);
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  double loadNow() const;
  void nextCaller();
  PromptRequest newRequest();
  void take(const RequestPointer &Which);
  void plan(const RequestPointer &Which);
  void refused(const RequestPointer &Which, Milliseconds RetryAfter);
  void read(const RequestPointer &Which, const PrefillThenDecode &Plan);
  void readEnded(const RequestPointer &Which, Engine &At);
  void run(const RequestPointer &Which, const DecodePlan &Plan, bool HasRead);
  void startRun(const RequestPointer &Which, const DecodePlan &Plan,
                bool HasRead);
  void runEnded(const RequestPointer &Which, Engine &At);
  void turnedAway(const RequestPointer &Which, Engine &At);
  void keep(const RequestPointer &Which, Engine &At);
  Milliseconds fetch(Engine &To, const std::string &From, uint32_t Tokens);
  void report(unsigned From);
  EngineCosts costs() const { return {m_Figures, m_Traits}; }
  Engine &engine(const std::string &Id) { return m_Engines.at(Id); }
  Gateway &gateway(const RequestPointer &Which) {
    return *m_Gateways[Which->At];
  }

  FleetOptions m_Options;
  EngineTraits m_Traits;
  engine::EngineParameters m_Figures;
  FleetResult m_Result;
  std::mt19937_64 m_Random;
  BootTime m_Start{std::chrono::seconds(100)};
  BootTime m_Now = m_Start;
  uint64_t m_Order = 0;
  std::priority_queue<Event> m_Events;
  std::map<std::string, Engine> m_Engines;
  std::vector<const Target *> m_Targets;
  std::vector<std::unique_ptr<Gateway>> m_Gateways;
};

} // namespace figlift::dispatch::test
