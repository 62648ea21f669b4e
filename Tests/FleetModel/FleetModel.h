//===- FleetModel.h - Event model of gateways and engines -------*- C++ -*-===//
//
// Discrete-event simulation of a fleet. Each gateway decides with its own
// LoadTracker and PromptPlanner, as the processes do, and knows of the others
// only through reports, which are up to one report interval old. Engines
// prefill prompts one after another, cache them, move KV cache over one
// incoming and one outgoing link, decode in slots, queue some requests and
// reject the rest.
//
// The model omits network delays between zones, CPU time of the processes,
// plain services, and changes of stages.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/CapacityReserve.h"
#include "LibDispatch/PrefillSpill.h"
#include "LibDispatch/PromptPlanner.h"
#include "LibDispatch/ServerBackoffs.h"
#include "LibDispatch/StartLag.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace figlift::dispatch::test {

struct FleetOptions {
  unsigned Gateways = 103;
  unsigned PrefillEngines = 29;
  unsigned DecodeEngines = 29;
  unsigned Zones = 6;
  /// Time between two reports of a gateway.
  std::chrono::milliseconds ReportInterval{150};
  /// Requests per second at normal load, and the factor that multiplies it
  /// after the first second.
  double Rate = 1100;
  double Load = 1;
  /// The load alternates between the factor and the normal rate in periods of
  /// this duration; with 0 it stays constant.
  std::chrono::milliseconds SwingPeriod{0};
  std::chrono::milliseconds Duration{3000};
  /// Prompts that wait at all prefill engines may be prefilled at decode
  /// engines.
  bool Spills = true;
  /// Share of the engines of each stage that reject all requests in a part of
  /// the time and ask for a pause.
  double RejectingShare = 0;
  std::chrono::milliseconds RejectsFrom{1500};
  std::chrono::milliseconds RejectsUntil{2000};
  std::chrono::milliseconds Pause{3000};
  /// Gateways keep to the pauses, as opposed to only excluding the engine for
  /// a short time.
  bool KeepsPauses = true;
  /// Time between two events of a long response at a fast and at a slow decode
  /// engine; every second one is slow. With 0 the events are not modeled.
  Milliseconds FastInterval{0};
  Milliseconds SlowInterval{0};
  /// Longest pause between events for which a long response is on time.
  std::chrono::milliseconds AllowedPause{150};
  /// Gateways place long responses by the pauses of the engines.
  bool PlacesByPauses = true;
  /// Share of the requests at normal load that are urgent. Their rate stays the
  /// same when the load rises, and engines know priorities. With 0 all requests
  /// have the same priority.
  double UrgentShare = 0;
  /// Gateways tell engines and each other which requests are urgent.
  bool SendsPriorities = true;
  /// Gateways keep capacity for urgent requests.
  bool KeepsReserve = false;
  /// Share of the reports that are lost, each for all of its receivers.
  double LostReports = 0;
  /// Number of gateways whose reports contain no priorities.
  unsigned GatewaysWithoutPriorities = 0;
  unsigned Seed = 1;
};

/// Requests of one priority that arrived after the first second.
struct PriorityResult {
  unsigned Requested = 0;
  unsigned OnTime = 0;
  double share() const {
    return Requested == 0 ? 0 : static_cast<double>(OnTime) / Requested;
  }
};

struct FleetResult {
  unsigned Requested = 0;
  unsigned OnTime = 0;
  unsigned Late = 0;
  /// Rejections by gateways, including those of retries by the same caller.
  unsigned GatewayRejections = 0;
  /// Rejections by full engines.
  unsigned EngineRejections = 0;
  /// Rejections by engines that ask for a pause.
  unsigned PausesAskedFor = 0;
  /// Most requests that one gateway sent to one engine from half a second after
  /// the engine asked for a pause until the end of the pause.
  unsigned MostRequestsDuringPause = 0;
  /// Long responses that ended after the first three seconds, when the
  /// intervals are known, and those of them without too long a pause.
  unsigned Streams = 0;
  unsigned StreamsWithoutLongPause = 0;
  /// These streams by engine.
  std::map<std::string, unsigned> StreamsByEngine;
  /// Responses on time by second of their first event.
  std::vector<unsigned> OnTimeBySecond;
  PriorityResult Urgent;
  PriorityResult LessUrgent;
  /// Responses on time per second, for requests that arrived after the first
  /// second.
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
    Action Run;
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };
  struct Request;
  using RequestPointer = std::shared_ptr<Request>;
  struct Engine {
    Target Info;
    KvCacheView Cache{0};
    BootTime PrefillsUntil{};
    BootTime LinkInUntil{};
    BootTime LinkOutUntil{};
    unsigned Admitted = 0;
    unsigned Decoding = 0;
    bool RejectsForATime = false;
    /// 0 without a model of the events.
    Milliseconds Interval{0};
    /// Begin of its first slow period.
    BootTime SlowFrom{};
    /// \name Waiting work by priority and arrival.
    /// @{
    std::map<std::pair<unsigned, uint64_t>, Action> Queue;
    std::map<std::pair<unsigned, uint64_t>, Action> Prefills;
    /// @}
    bool Prefilling = false;
  };
  struct Gateway {
    explicit Gateway(PromptPlannerOptions Options)
        : Planner(Options, Loads, Paces) {}
    LoadTracker Loads;
    StreamPaces Paces;
    PromptPlanner Planner;
    /// By priority of the requests.
    std::map<unsigned, StartLag> Lags;
    CapacityReserve Reserve;
    PrefillSpill Spill;
    ServerBackoffs Backoffs;
    struct Pause {
      BootTime AskedAt{};
      BootTime Until{};
      unsigned Requests = 0;
    };
    /// Pauses that each engine asked for, whether they are kept or not.
    std::map<std::string, std::vector<Pause>> Pauses;
    /// Prompt parts that engines computed for it since its last report.
    std::vector<std::pair<std::string, PromptPart>> NewlyCached;
  };
  struct Request {
    PromptRequest Details;
    /// Priority of its route.
    unsigned Priority = DefaultEnginePriority;
    BootTime Arrived;
    unsigned GatewayIndex = 0;
    bool Retried = false;
    bool Resent = false;
    bool Spilled = false;
    std::string PrefillEngine;
    /// Ticket of the present prefill or decode in the load tracker.
    uint64_t Ticket = 0;
    BootTime DecodeSent{};
    Milliseconds DecodePlanned{0};
    /// When a gateway received it; later than Arrived if it was rejected first.
    BootTime ReceivedAt{};
    BootTime PlannedAt{};
    Milliseconds ExpectedFirst{0};
    Milliseconds Generation{0};
    Milliseconds LongestPause{0};
    Milliseconds PauseSum{0};
  };

  void after(Milliseconds Delay, Action Run);
  double randomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  double currentLoad() const;
  /// The factor by which the rate of all requests is above the normal rate.
  double totalLoad() const {
    return m_Options.UrgentShare + (1 - m_Options.UrgentShare) * currentLoad();
  }
  void scheduleCaller();
  PromptRequest newRequest();
  void receive(const RequestPointer &Call);
  void plan(const RequestPointer &Call);
  void setPriority(const RequestPointer &Call);
  void recordDemand(const RequestPointer &Call);
  PriorityResult &resultOf(const RequestPointer &Call);
  void startNextPrefill(Engine &Host);
  /// The request without the engines that have asked for a pause.
  PromptRequest allowedNow(const RequestPointer &Call);
  /// The engine rejects the request and asks for a pause. Returns whether it
  /// does so now.
  bool rejectForATime(const RequestPointer &Call, Engine &Host);
  void handleRejection(const RequestPointer &Call, Milliseconds RetryAfter);
  void prefill(const RequestPointer &Call, const PrefillThenDecode &Plan);
  void finishPrefill(const RequestPointer &Call, Engine &Host);
  void decode(const RequestPointer &Call, const DecodePlan &Plan,
              bool HasPrefilled);
  void startDecode(const RequestPointer &Call, const DecodePlan &Plan,
                   bool HasPrefilled);
  void recordFirstEvent(const RequestPointer &Call, bool HasPrefilled);
  /// The next event of a long response, \p Remaining of which are to come.
  void streamEvent(const RequestPointer &Call, Engine &Host,
                   unsigned Remaining);
  /// Time until the next event, longer in a slow period of the engine.
  Milliseconds nextInterval(const Engine &Host) const;
  void endDecode(const RequestPointer &Call, Engine &Host);
  void reportPaces(unsigned SenderIndex);
  void finishDecode(const RequestPointer &Call, Engine &Host);
  void handleEngineRejection(const RequestPointer &Call, Engine &Host);
  void recordCached(const RequestPointer &Call, Engine &Host);
  Milliseconds fetch(Engine &Receiver, const std::string &SourceId,
                     uint32_t Tokens);
  void report(unsigned SenderIndex);
  bool knowsPriorities() const { return m_Options.UrgentShare > 0; }
  EngineCosts costs() const { return {m_Parameters, m_Traits}; }
  Engine &engine(const std::string &Id) { return m_Engines.at(Id); }
  Gateway &gateway(const RequestPointer &Call) {
    return *m_Gateways[Call->GatewayIndex];
  }

  FleetOptions m_Options;
  EngineTraits m_Traits;
  engine::EngineParameters m_Parameters;
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
