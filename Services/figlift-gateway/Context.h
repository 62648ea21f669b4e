//===- Context.h - What the parts of a gateway share ------------*- C++ -*-===//
//
// Owned by Gateway; all of it is used from the loop's thread alone.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "CrashWatch.h"
#include "DecisionLog.h"

#include "LibCore/BackgroundWorker.h"
#include "LibDispatch/Configuration.h"
#include "LibDispatch/EngineDemand.h"
#include "LibDispatch/KvReuse.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/PeerReport.h"
#include "LibDispatch/ProcessStop.h"
#include "LibDispatch/PromptPlanner.h"
#include "LibDispatch/RepeatRules.h"
#include "LibDispatch/ServerLimits.h"
#include "LibDispatch/ServicePlanner.h"
#include "LibDispatch/StartLag.h"
#include "LibDispatch/StreamTimes.h"
#include "LibDispatch/TargetTable.h"
#include "LibMetrics/Registry.h"
#include "LibRetry/FleetBudget.h"
#include "LibSettings/GatewaySettings.h"
#include "LibUpstream/ConnectionPool.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace figlift::gateway {

struct Context {
  explicit Context(settings::GatewaySettings Given)
      : Settings(std::move(Given)),
        Budget({Settings.Retry.Ratio, Settings.Retry.Base,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    Settings.Retry.Window)},
               Settings.Fleet.Starts, BootClock::now()),
        Prompts({}, Loads), Services({}, Loads),
        Log(Settings.Log.PlainLinesPerSecond), Random(std::random_device{}()) {}

  /// Uniform in [0, 1).
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }
  /// Targets of \p Service that take new work.
  std::vector<const dispatch::Target *>
  openTargets(const std::string &Service) const {
    std::vector<const dispatch::Target *> Open;
    for (const auto &[Id, Each] : Targets.all())
      if (Each.Service == Service && !Each.Draining)
        Open.push_back(&Each);
    return Open;
  }

  /// What prompts cost the engines of \p Which, as far as known.
  dispatch::EngineCosts costsOf(const dispatch::Service &Which, BootTime Now) {
    return {EngineModels[Which.Name].parameters(Now), *Which.Engine};
  }

  settings::GatewaySettings Settings;
  boost::asio::io_context Loop{1};
  BackgroundWorker Worker{Loop};
  /// Null until the first one was read. Requests keep the one they began with.
  std::shared_ptr<const dispatch::Configuration> Configuration;
  dispatch::TargetTable Targets;
  dispatch::LoadTracker Loads;
  dispatch::ServerLimits Limits;
  retry::FleetBudget Budget;
  dispatch::PromptPlanner Prompts;
  dispatch::ServicePlanner Services;
  dispatch::RepeatOptions Repeats;
  std::map<std::string, std::shared_ptr<upstream::ConnectionPool>> Pools;
  /// What was learned of the engines of each service.
  std::map<std::string, engine::EngineModel> EngineModels;
  /// How late answers of each service of engines begin.
  std::map<std::string, dispatch::StartLag> StartLags;
  /// By service of engines.
  std::map<std::string, dispatch::KvReuse> KvReuses;
  /// Parts that were computed since the last report to the peers.
  std::vector<dispatch::CachedPart> NewlyCached;
  /// Demand on each service of engines through this gateway.
  std::map<std::string, dispatch::DemandMeter> Demands;
  /// By route.
  std::map<std::string, dispatch::StreamTimes> StreamTimes;
  /// What the other gateways told of theirs, by gateway.
  std::map<std::string, std::vector<dispatch::ServiceDemand>> PeerDemands;
  /// Engines that this gateway had change their stage, and until when they
  /// take no work.
  std::map<std::string, BootTime> Away;
  DecisionLog Log;
  CrashWatch Crashes{Loop, Log};
  metrics::Registry Metrics;
  std::mt19937_64 Random;
  /// When the store last answered a question for the servers.
  BootTime ServersSeen{};
  /// How long this gateway leaves to others to order what all of them want;
  /// grows with its place in the order of names.
  std::chrono::milliseconds OrderTurnDelay{0};
  dispatch::ProcessStop Stop;
};

} // namespace figlift::gateway
