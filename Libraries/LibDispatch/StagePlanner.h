//===- StagePlanner.h - Splits engines between the stages -------*- C++ -*-===//
//
// Chooses the stage of each engine of a service from the demand of the whole
// fleet. The best split minimizes the utilization of the busier stage. An
// engine that changes its stage is unavailable for seconds, so the split
// changes only for a clear gain, never from a partial list of engines, and one
// engine at a time unless the others have capacity for its work.
//
// Only the gateway that holds the lease sends orders. This class determines the
// order to send next.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/EngineDemand.h"
#include "LibDispatch/EngineSpeeds.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/StageChange.h"
#include "LibDispatch/StageExchange.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace figlift::dispatch {

struct StagePlannerOptions {
  /// Minimum relative decrease of the utilization of the busier stage.
  double MinimumGain = 0.15;
  /// Below this utilization the split does not matter. The first change may
  /// happen at a lower utilization: the initial split is not planned, and
  /// correcting it is cheapest under low load.
  double MinimumUtilization = 0.55;
  double MinimumUtilizationForFirstChange = 0.25;
  /// While an order is pending, a further engine changes only if the others of
  /// its stage stay below this utilization.
  double MaximumUtilizationAfterRemoval = 0.6;
  /// The same for decode engines during an exchange: streams have longer pauses
  /// in larger batches.
  double MaximumUtilizationInExchange = 0.4;
  /// The list of engines must have been stable for this long: at a start,
  /// engines register one after the other over some seconds.
  std::chrono::milliseconds StableListTime{1500};
  /// An unanswered order may still take effect within this time. The platform
  /// specifies twelve seconds at most.
  std::chrono::milliseconds UnansweredOrderTime{12500};
  /// Pause after an order that was refused or could not be sent: the engine may
  /// be busy with another order.
  std::chrono::milliseconds FailurePause{4000};
  /// Minimum number of decode engines, so that requests can still run after the
  /// loss of one.
  size_t MinimumDecode = 2;
  StageExchangeOptions Exchange;
};

class StagePlanner {
public:
  /// \p IsInitialSplit: the engines still have the stages that they started
  /// with, which no gateway has planned.
  explicit StagePlanner(bool IsInitialSplit, StagePlannerOptions Options = {});

  /// \p Engines: the engines of the service, without draining ones.
  /// \p Uncertainty, at least 1: the demand for either stage may be higher or
  /// lower by this factor. \p Unreachable: ids of engines that must not be sent
  /// an order now.
  std::optional<StageChange>
  plan(std::span<const Target *const> Engines, const EngineDemand &Demand,
       double Uncertainty, const LoadTracker &Loads, BootTime Now,
       const std::vector<std::string> &Unreachable = {},
       const EngineSpeeds &Speeds = {});

  /// Records that an order was sent. It stays pending until the list shows the
  /// new stage, or it failed and the pause has passed, or it can no longer
  /// take effect.
  void recordOrder(const StageChange &Change, BootTime Now);
  /// Removes the pending order: the engine is already in that stage, or the
  /// order was not sent.
  void clearOrder(const std::string &TargetId);
  /// The order was refused or could not be sent; the next one follows after a
  /// pause.
  void recordFailure(const std::string &TargetId, BootTime Now);
  /// The engine accepted the order and is unavailable until \p AvailableAt.
  void recordAcceptance(const std::string &TargetId, BootTime AvailableAt);
  bool isUnavailable(const std::string &TargetId, BootTime Now) const;
  /// Whether the last order to the engine is part of an exchange of stages.
  bool isExchange(const std::string &TargetId) const {
    return m_Exchange.hasOrdered(TargetId);
  }

private:
  struct Pending {
    Stage DesiredStage = Stage::Decode;
    /// The start that received the order. A later start does not execute it.
    std::optional<StartTime> Start;
    /// End of the time in which the order may take effect.
    BootTime Until{};
  };

  size_t bestPrefillCount(size_t All, size_t PrefillEngines,
                          const EngineDemand &Demand) const;
  size_t reservedDecode(size_t All) const;
  std::optional<StageChange>
  planExchange(std::span<const Target *const> Engines,
               const EngineDemand &Demand, const EngineSpeeds &Speeds,
               const LoadTracker &Loads, BootTime Now,
               const std::vector<std::string> &Unreachable);
  Stage stageOf(const Target &Engine) const;
  bool mayRemove(std::span<const Target *const> Engines,
                 const EngineDemand &Demand, const Target &Engine,
                 BootTime Now) const;
  void eraseCompletedOrders(std::span<const Target *const> Engines,
                            BootTime Now);
  bool isListStable(std::span<const Target *const> Engines, BootTime Now);
  void recordStageChanges(std::span<const Target *const> Engines);

  StagePlannerOptions m_Options;
  std::map<std::string, Pending> m_Pending;
  /// Whether the split has been planned: this process has sent an order, or an
  /// engine has changed its stage on the order of another process.
  bool m_SplitChosen;
  /// Last listed stage by engine id.
  std::map<std::string, Stage> m_Listed;
  StageExchange m_Exchange;
  std::vector<std::string> m_EngineIds;
  BootTime m_EngineIdsSince{};
};

} // namespace figlift::dispatch
