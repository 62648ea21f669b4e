//===- StagePlanner.h - How many engines read, how many run -----*- C++ -*-===//
//
// Chooses the stage of each engine of a service from the demand of the whole
// fleet: the split at which the busier kind of engine is least busy. An engine
// that changes is away for seconds, so the split changes only for a clear
// gain, never from a partial view of the engines, and one engine at a time
// unless the others have room for its work.
//
// One candidate of all gateways gives the orders, under a lease; this machine
// says what it would order now.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/EngineDemand.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace figlift::dispatch {

struct StageChange {
  std::string TargetId;
  Stage DesiredStage = Stage::Decode;
  /// The start of the target that it was planned for.
  std::optional<StartTime> Start = std::nullopt;
  bool operator==(const StageChange &) const = default;
};

struct StagePlannerOptions {
  /// The busier kind's utilization must fall by this share of itself.
  double MinimumGain = 0.15;
  /// Below this utilization the split does not matter. The first change may
  /// come earlier: the split that the engines started with was no choice, and a
  /// calm hour is the cheapest time to leave it.
  double MinimumUtilization = 0.55;
  double MinimumUtilizationForFirstChange = 0.25;
  /// A further engine is taken away only while the rest stay below this.
  double MaximumUtilizationAfterRemoval = 0.6;
  /// The engines must have been the same for this long: at a start they
  /// register one after the other over some seconds.
  std::chrono::milliseconds StableViewTime{1500};
  /// An order without an answer may be carried out this much later, by the
  /// platform's description of such orders, twelve seconds at most.
  std::chrono::milliseconds UnansweredOrderTime{12500};
  /// After a refusal: the engine may be busy with another order.
  std::chrono::milliseconds RefusalPause{4000};
  /// Decode engines that are kept in any case, so that the loss of one does
  /// not leave requests with nowhere to run.
  size_t MinimumDecode = 2;
};

class StagePlanner {
public:
  /// \p FleetStarts: the engines' split is the one that they began with, and
  /// nobody's choice yet.
  explicit StagePlanner(bool IsInitialSplit, StagePlannerOptions Options = {});

  /// \p Engines: those of the service, draining ones left out. \p Doubt, 1 and
  /// more: the demand on either kind of work may be this many times what was
  /// seen, or this part of it.
  std::optional<StageChange> plan(std::span<const Target *const> Engines,
                                  const EngineDemand &Demand,
                                  double Uncertainty, const LoadTracker &Loads,
                                  BootTime Now);

  /// An order was sent; no other goes out until it shows in the list, was
  /// refused, or can no longer take effect.
  void recordOrder(const StageChange &Change, BootTime Now);
  /// The engine is in that stage already.
  void clearOrder(const std::string &TargetId);
  /// The engine did not take it; it is not asked again at once.
  void recordRefusal(const std::string &TargetId, BootTime Now);
  /// The engine accepted it; it is away until \p BackAt.
  void recordAcceptance(const std::string &TargetId, BootTime AvailableAt);
  bool isUnavailable(const std::string &TargetId, BootTime Now) const;

private:
  struct Pending {
    Stage DesiredStage = Stage::Decode;
    /// The start that got the order; a later one knows nothing of it.
    std::optional<StartTime> Start;
    /// Nothing is known of it after this.
    BootTime Until{};
  };

  size_t bestPrefillCount(size_t All, size_t PrefillEngines,
                          const EngineDemand &Demand) const;
  Stage stageOf(const Target &Engine) const;
  bool mayRemove(std::span<const Target *const> Engines,
                 const EngineDemand &Demand, const Target &Engine,
                 BootTime Now) const;
  void eraseCompletedOrders(std::span<const Target *const> Engines,
                            BootTime Now);
  bool viewIsStable(std::span<const Target *const> Engines, BootTime Now);
  void recordStageChanges(std::span<const Target *const> Engines);

  StagePlannerOptions m_Options;
  std::map<std::string, Pending> m_Pending;
  /// An order has been given, or one was seen carried out: another process may
  /// have given it.
  bool m_SplitChosen;
  /// Stages as listed last, by engine.
  std::map<std::string, Stage> m_Listed;
  std::vector<std::string> m_EngineIds;
  BootTime m_EngineIdsSince{};
};

} // namespace figlift::dispatch
