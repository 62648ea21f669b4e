//===- Context.h - State shared by the components of a gateway --*- C++ -*-===//
//
// Owned by Gateway and accessed from the event loop's thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "CrashWatch.h"
#include "DecisionLog.h"
#include "OpenTargets.h"
#include "RestartWatch.h"
#include "ServerFeedback.h"
#include "ServiceQueues.h"
#include "StopMetrics.h"
#include "StreamMetrics.h"
#include "TenantMetrics.h"
#include "VersionRecordReader.h"

#include "LibCore/BackgroundWorker.h"
#include "LibCore/MemoryBudget.h"
#include "LibDispatch/AnswerTimes.h"
#include "LibDispatch/Configuration.h"
#include "LibDispatch/EngineDemand.h"
#include "LibDispatch/EnginePriorities.h"
#include "LibDispatch/EngineSwitches.h"
#include "LibDispatch/KvReuse.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/LoopDelay.h"
#include "LibDispatch/PeerReport.h"
#include "LibDispatch/PrefillSpill.h"
#include "LibDispatch/ProcessStop.h"
#include "LibDispatch/PromptPlanner.h"
#include "LibDispatch/RetryRules.h"
#include "LibDispatch/ServerLimits.h"
#include "LibDispatch/ServicePlanner.h"
#include "LibDispatch/StartLags.h"
#include "LibDispatch/StreamOrigins.h"
#include "LibDispatch/StreamPaces.h"
#include "LibDispatch/StreamTimes.h"
#include "LibDispatch/TargetTable.h"
#include "LibMetrics/Registry.h"
#include "LibRetry/FleetRetryBudget.h"
#include "LibSettings/GatewaySettings.h"
#include "LibUpstream/ConnectionPool.h"
#include "LibUsage/FleetClock.h"
#include "LibUsage/UsageMeter.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace figlift::gateway {

/// Planned time between two ticks of the event loop.
inline constexpr std::chrono::milliseconds TickInterval{100};

/// Bound on the bytes that callers and servers make a gateway hold, all
/// together. An eighth of its memory: with what small messages and connections
/// take besides, a thousand callers leave it below a quarter.
inline size_t maximumHeldBytes(const settings::GatewaySettings &Settings) {
  return static_cast<size_t>(Settings.Process.MemoryMegabytes * 1e6 / 8);
}
/// The same for small messages while large ones use that up.
inline size_t maximumFreeBytes(const settings::GatewaySettings &Settings) {
  return maximumHeldBytes(Settings) / 4;
}

/// What the components of a gateway share about the duty to report usage.
struct UsageState {
  /// Empty if the platform does not assign the duty.
  std::optional<usage::UsageMeter> Meter;
  usage::FleetClock Clock;
  /// \name The latest report of the gateway that holds the duty.
  /// @{
  std::string Holder;
  BootTime HolderHeardAt = BootClock::now();
  usage::WindowNumber SettledThrough = 0;
  /// @}
  /// Set while this gateway holds the duty: the windows that need no more
  /// counts.
  std::optional<usage::WindowNumber> OwnSettledThrough;
};

struct Context {
  explicit Context(settings::GatewaySettings Values)
      : Settings(std::move(Values)),
        Budget({Settings.Retry.Ratio, Settings.Retry.Base,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    Settings.Retry.Window)},
               BootClock::now()),
        Prompts({}, Loads, Paces), Services({}, Loads),
        Log(Settings.Log.PlainLinesPerSecond), Random(std::random_device{}()) {}

  /// Returns a uniform random number in [0, 1).
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  /// Cost model of the engines of \p Service, from the measurements so far.
  dispatch::EngineCosts costsOf(const dispatch::Service &Service,
                                BootTime Now) {
    return {EngineModels[Service.Name].parameters(Now), *Service.Engine};
  }

  /// Whether the engine ends its work to change its stage.
  bool isChangingStage(const std::string &TargetId, BootTime Now) const {
    if (Switching.until(TargetId))
      return true;
    const auto Found = PeerSwitching.find(TargetId);
    return Found != PeerSwitching.end() && Now < Found->second;
  }

  settings::GatewaySettings Settings;
  /// Outlives Loop, whose handlers keep connections with shares of it.
  MemoryBudget Memory{maximumHeldBytes(Settings), maximumFreeBytes(Settings)};
  boost::asio::io_context Loop{1};
  BackgroundWorker Worker{Loop};
  /// Null until the first configuration has been read. A request keeps the
  /// configuration that it started with.
  std::shared_ptr<const dispatch::Configuration> Configuration;
  dispatch::TargetTable Targets;
  OpenTargets Open{Targets};
  dispatch::LoadTracker Loads;
  /// Pauses of the streams at each engine.
  dispatch::StreamPaces Paces;
  /// Measured over planned time of prefills at each engine.
  dispatch::FleetAverages ReadRatios{std::chrono::seconds(5)};
  dispatch::LoopDelay Delay{TickInterval, BootClock::now()};
  dispatch::StreamOrigins Origins;
  /// Null while no gateway runs with this context.
  VersionRecordReader *VersionRecords = nullptr;
  dispatch::ServerLimits Limits;
  retry::FleetRetryBudget Budget;
  dispatch::PromptPlanner Prompts;
  dispatch::ServicePlanner Services;
  dispatch::RetryOptions Retries;
  std::map<std::string, std::shared_ptr<upstream::ConnectionPool>> Pools;
  /// Learned cost model of the engines, by service.
  std::map<std::string, engine::EngineModel> EngineModels;
  /// Scheduling delay of first events, by engine service and route.
  dispatch::StartLags StartLags;
  /// By engine service.
  std::map<std::string, dispatch::KvReuse> KvReuses;
  /// By engine service.
  std::map<std::string, dispatch::PrefillSpill> PrefillSpills;
  /// Prompt parts that were cached since the last report to the peers.
  std::vector<dispatch::CachedPart> NewlyCached;
  /// Demand on each engine service that passes through this gateway.
  std::map<std::string, dispatch::DemandMeter> Demands;
  /// By route.
  std::map<std::string, dispatch::StreamTimes> StreamTimes;
  /// Of answers that are sent whole, by route.
  std::map<std::string, dispatch::AnswerTimes> AnswerTimes;
  dispatch::EnginePriorities Priorities{StreamTimes};
  /// Demand that the other gateways reported, by gateway.
  std::map<std::string, std::vector<dispatch::ServiceDemand>> PeerDemands;
  /// Engines whose stage this gateway is changing, and the time until which
  /// they accept no work.
  dispatch::EngineSwitches Switching;
  /// Until when engines change their stages, as reported by peers.
  std::map<std::string, BootTime> PeerSwitching;
  DecisionLog Log;
  CrashWatch Crashes{Loop, Log};
  RestartWatch Restarts{Loop, Log, Targets};
  ServerFeedback Feedback{Log};
  metrics::Registry Metrics;
  StreamMetrics Streams{Metrics};
  TenantMetrics Tenants{Metrics};
  StopMetrics Stops{Metrics};
  /// Requests that wait for full servers of plain services.
  ServiceQueues Queues{*this};
  UsageState Usage;
  std::mt19937_64 Random;
  /// When the cached view of the server list was last known to be current.
  BootTime ServersKnownAt{};
  /// How long this gateway waits for gateways with smaller ids to give an
  /// order that all of them plan; grows with the number of live gateways
  /// before it.
  std::chrono::milliseconds OrderTurnDelay{0};
  dispatch::ProcessStop Stop;
};

} // namespace figlift::gateway
