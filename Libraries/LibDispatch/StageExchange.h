//===- StageExchange.h - Puts fast engines into the decode stage *- C++ -*-===//
//
// Where streams have too long pauses on decode engines although prefill engines
// are faster, slow decode engines and fast prefill engines change their stages.
// The prefill capacity stays what it was when the exchange began.
//
// Changes of stages by others (the planner of the split, another gateway,
// engines that come or leave) make the present prefill engines the new
// reference. Otherwise the exchange would undo what the split has decided, and
// both would change engines back and forth.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/EngineDemand.h"
#include "LibDispatch/EngineSpeeds.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/StageChange.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace figlift::dispatch {

struct StageExchangeOptions {
  /// An engine keeps its stage unless another is faster by this factor.
  double StageKeepFactor = 1.2;
  /// Share of the prefill capacity that has to work during an exchange.
  double CapacityShare = 0.85;
};

/// An engine as the planner of the split sees it.
struct ExchangeEngine {
  const Target *Engine = nullptr;
  /// After its pending order.
  Stage PlannedStage = Stage::Decode;
  /// Works in its stage, with no order pending.
  bool IsWorking = true;
  /// May be sent an order.
  bool IsReachable = true;
};

/// What the exchange must leave to the decode stage.
struct DecodeReserve {
  /// Minimum number of decode engines.
  size_t Engines = 1;
  /// Engines that decoding keeps busy.
  double Demand = 0;
  /// The remaining decode engines stay below this utilization.
  double MaximumUtilization = 1;
};

class StageExchange {
public:
  explicit StageExchange(StageExchangeOptions Options = {})
      : m_Options(Options) {}

  /// The next change, or empty if none is possible or needed now.
  std::optional<StageChange> plan(const std::vector<ExchangeEngine> &Engines,
                                  const EngineSpeeds &Speeds,
                                  const DecodeReserve &Reserve,
                                  const LoadTracker &Loads, BootTime Now);
  /// Records that an order was sent, by the exchange or not.
  void recordOrder(const StageChange &Change);
  bool hasOrdered(const std::string &EngineId) const {
    return m_Ordered.contains(EngineId);
  }
  /// Whether an engine is fast enough that it should not become a prefill
  /// engine during an exchange.
  bool shouldDecode(const EngineSpeeds &Speeds,
                    const std::string &EngineId) const;

private:
  struct Candidate {
    ExchangeEngine State;
    /// 1 is the mean engine.
    double Speed = 1;
    bool IsKnown = false;

    bool decodes() const { return State.PlannedStage != Stage::Prefill; }
    bool mayOrder() const {
      return IsKnown && State.IsWorking && State.IsReachable;
    }
  };

  void updateReference(const std::vector<ExchangeEngine> &Engines);
  /// Fastest first; decode engines precede others of about their speed.
  std::vector<Candidate> sorted(const std::vector<ExchangeEngine> &Engines,
                                const EngineSpeeds &Speeds) const;
  /// A fast prefill engine that prefill can spare.
  const Candidate *fastPrefillEngine(std::span<const Candidate> ShouldDecode,
                                     double WorkingPrefill,
                                     double Capacity) const;
  /// The slow decode engine with the least work, as it ends its streams first.
  static const Candidate *
  slowDecodeEngine(std::span<const Candidate> ShouldPrefill,
                   const LoadTracker &Loads, BootTime Now);

  StageExchangeOptions m_Options;
  /// Engines whose speeds add up to the prefill capacity to keep; empty while
  /// there is no exchange. Kept as engines and not as a sum, as more speeds
  /// become known during the exchange.
  std::optional<std::set<std::string>> m_PrefillReference;
  /// Planned stages at the previous plan.
  std::map<std::string, Stage> m_Stages;
  std::optional<StageChange> m_Proposed;
  /// Engines that were sent an order of this exchange.
  std::set<std::string> m_Ordered;
};

} // namespace figlift::dispatch
