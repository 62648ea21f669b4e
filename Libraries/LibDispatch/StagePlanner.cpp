//===- StagePlanner.cpp - Splits engines between the stages ---------------===//
//
// Evaluates every split and changes one engine towards the best one.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StagePlanner.h"

#include <algorithm>
#include <utility>

namespace figlift::dispatch {

namespace {

double highestUtilization(const EngineDemand &Demand, size_t PrefillEngines,
                          size_t DecodeEngines) {
  const double PrefillUtilization =
      PrefillEngines == 0 ? Demand.Prefill * 1e6
                          : Demand.Prefill / double(PrefillEngines);
  const double DecodeUtilization = DecodeEngines == 0
                                       ? Demand.Decode * 1e6
                                       : Demand.Decode / double(DecodeEngines);
  return std::max(PrefillUtilization, DecodeUtilization);
}

} // namespace

StagePlanner::StagePlanner(bool IsInitialSplit, StagePlannerOptions Options)
    : m_Options(Options), m_SplitChosen(!IsInitialSplit) {}

bool StagePlanner::isListStable(std::span<const Target *const> Engines,
                                BootTime Now) {
  std::vector<std::string> EngineIds;
  for (const Target *Candidate : Engines)
    EngineIds.push_back(Candidate->Id);
  if (EngineIds != m_EngineIds) {
    m_EngineIds = std::move(EngineIds);
    m_EngineIdsSince = Now;
  }
  return Now - m_EngineIdsSince >= m_Options.StableListTime;
}

void StagePlanner::eraseCompletedOrders(std::span<const Target *const> Engines,
                                        BootTime Now) {
  std::erase_if(m_Pending, [&](const auto &Entry) {
    const Pending &Order = Entry.second;
    if (Now >= Order.Until)
      return true;
    const auto Found =
        std::find_if(Engines.begin(), Engines.end(), [&](const Target *Engine) {
          return Engine->Id == Entry.first;
        });
    return Found == Engines.end() ||
           (*Found)->EngineStage == Order.DesiredStage ||
           (*Found)->Started != Order.Start;
  });
}

void StagePlanner::recordStageChanges(std::span<const Target *const> Engines) {
  for (const Target *Candidate : Engines)
    if (const auto [Listed, IsNew] =
            m_Listed.try_emplace(Candidate->Id, Candidate->EngineStage);
        !IsNew && std::exchange(Listed->second, Candidate->EngineStage) !=
                      Candidate->EngineStage)
      m_SplitChosen = true;
}

/// The stage of the engine after its pending order.
Stage StagePlanner::stageOf(const Target &Engine) const {
  const auto Found = m_Pending.find(Engine.Id);
  return Found == m_Pending.end() ? Engine.EngineStage
                                  : Found->second.DesiredStage;
}

bool StagePlanner::mayRemove(std::span<const Target *const> Engines,
                             const EngineDemand &Demand, const Target &Engine,
                             BootTime Now) const {
  if (m_Pending.empty())
    return true;
  // Only the current stage of the engine loses capacity.
  size_t Remaining = 0;
  for (const Target *Candidate : Engines)
    if (Candidate != &Engine && Candidate->EngineStage == Engine.EngineStage &&
        !isUnavailable(Candidate->Id, Now))
      ++Remaining;
  const double Load =
      Engine.EngineStage == Stage::Prefill ? Demand.Prefill : Demand.Decode;
  return Remaining > 0 &&
         Load / double(Remaining) < m_Options.MaximumUtilizationAfterRemoval;
}

/// Number of prefill engines for \p Demand, or \p PrefillEngines if no other
/// number is clearly better.
size_t StagePlanner::bestPrefillCount(size_t All, size_t PrefillEngines,
                                      const EngineDemand &Demand) const {
  const double Current =
      highestUtilization(Demand, PrefillEngines, All - PrefillEngines);
  const double Minimum = m_SplitChosen
                             ? m_Options.MinimumUtilization
                             : m_Options.MinimumUtilizationForFirstChange;
  if (All < 2 || Current < Minimum)
    return PrefillEngines;
  const size_t ReservedDecode =
      std::min(m_Options.MinimumDecode, std::max<size_t>(1, All / 2));
  size_t BestPrefillEngines = PrefillEngines;
  double Best = Current * (1 - m_Options.MinimumGain);
  for (size_t Count = 1; Count + ReservedDecode <= All; ++Count)
    if (const double Utilization =
            highestUtilization(Demand, Count, All - Count);
        Utilization < Best) {
      Best = Utilization;
      BestPrefillEngines = Count;
    }
  return BestPrefillEngines;
}

std::optional<StageChange> StagePlanner::plan(
    std::span<const Target *const> Engines, const EngineDemand &Demand,
    double Uncertainty, const LoadTracker &Loads, BootTime Now,
    const std::vector<std::string> &Unreachable, const EngineSpeeds &Speeds) {
  eraseCompletedOrders(Engines, Now);
  recordStageChanges(Engines);
  if (!isListStable(Engines, Now))
    return std::nullopt;
  if (Speeds.ShouldExchange)
    if (const auto Exchange =
            planExchange(Engines, Demand, Speeds, Loads, Now, Unreachable))
      return Exchange;
  if (!Speeds.ShouldExchange)
    m_ExchangedPrefillCapacity.reset();
  size_t PrefillEngines = 0;
  for (const Target *Candidate : Engines)
    if (stageOf(*Candidate) == Stage::Prefill)
      ++PrefillEngines;
  // A change removes an engine from one stage. It has to be an improvement even
  // if the demand for that stage is higher, and for the other lower, than
  // estimated.
  const size_t Increased = bestPrefillCount(
      Engines.size(), PrefillEngines,
      {Demand.Prefill / Uncertainty, Demand.Decode * Uncertainty});
  const size_t Decreased = bestPrefillCount(
      Engines.size(), PrefillEngines,
      {Demand.Prefill * Uncertainty, Demand.Decode / Uncertainty});
  if (Increased <= PrefillEngines && Decreased >= PrefillEngines)
    return std::nullopt;
  const Stage SourceStage =
      Increased > PrefillEngines ? Stage::Decode : Stage::Prefill;
  const Target *Chosen = nullptr;
  for (const Target *Candidate : Engines)
    if (Candidate->EngineStage == SourceStage &&
        !isUnavailable(Candidate->Id, Now) &&
        !(SourceStage == Stage::Decode && Speeds.ShouldExchange &&
          Speeds.speed(Candidate->Id) > m_Options.StageKeepFactor) &&
        std::find(Unreachable.begin(), Unreachable.end(), Candidate->Id) ==
            Unreachable.end() &&
        (!Chosen ||
         Loads.backlog(Candidate->Id, Now) < Loads.backlog(Chosen->Id, Now)))
      Chosen = Candidate;
  if (!Chosen || !mayRemove(Engines, Demand, *Chosen, Now))
    return std::nullopt;
  return StageChange{
      Chosen->Id, SourceStage == Stage::Decode ? Stage::Prefill : Stage::Decode,
      Chosen->Started};
}

namespace {

struct EngineShare {
  const Target *Engine = nullptr;
  /// 1 is the mean engine.
  double Speed = 1;
  bool IsKnown = false;
  /// After its pending order.
  bool Decodes = false;
};

} // namespace

std::optional<StageChange> StagePlanner::planExchange(
    std::span<const Target *const> Engines, const EngineDemand &Demand,
    const EngineSpeeds &Speeds, const LoadTracker &Loads, BootTime Now,
    const std::vector<std::string> &Unreachable) {
  std::vector<EngineShare> Order;
  double PrefillCapacity = 0;
  double WorkingPrefill = 0;
  size_t WorkingDecode = 0;
  const auto IsWorking = [&](const Target &Engine) {
    return Engine.EngineStage == stageOf(Engine) &&
           !isUnavailable(Engine.Id, Now);
  };
  for (const Target *Engine : Engines) {
    const EngineShare Share{Engine, Speeds.speed(Engine->Id),
                            Speeds.Intervals.contains(Engine->Id),
                            stageOf(*Engine) != Stage::Prefill};
    Order.push_back(Share);
    if (!Share.Decodes)
      PrefillCapacity += Share.Speed;
    if (IsWorking(*Engine) && Share.Decodes)
      ++WorkingDecode;
    else if (IsWorking(*Engine))
      WorkingPrefill += Share.Speed;
  }
  // Engines that decode already are taken before others of about their speed.
  std::sort(Order.begin(), Order.end(),
            [&](const EngineShare &A, const EngineShare &B) {
              return A.Speed * (A.Decodes ? m_Options.StageKeepFactor : 1) >
                     B.Speed * (B.Decodes ? m_Options.StageKeepFactor : 1);
            });
  if (!m_ExchangedPrefillCapacity)
    m_ExchangedPrefillCapacity = PrefillCapacity;
  const size_t ReservedDecode =
      std::min(m_Options.MinimumDecode, std::max<size_t>(1, Order.size() / 2));
  size_t DecodeCount = Order.size();
  for (double Capacity = 0;
       DecodeCount > ReservedDecode && Capacity < *m_ExchangedPrefillCapacity;)
    Capacity += Order[--DecodeCount].Speed;
  const auto MayOrder = [&](const EngineShare &Share) {
    return Share.IsKnown && IsWorking(*Share.Engine) &&
           std::find(Unreachable.begin(), Unreachable.end(),
                     Share.Engine->Id) == Unreachable.end();
  };
  const EngineShare *Chosen = nullptr;
  for (size_t I = 0; I < DecodeCount && !Chosen; ++I)
    if (!Order[I].Decodes && MayOrder(Order[I]) &&
        WorkingPrefill - Order[I].Speed >=
            *m_ExchangedPrefillCapacity * m_Options.ExchangeCapacityShare)
      Chosen = &Order[I];
  const bool DecodeHasRoom =
      WorkingDecode > ReservedDecode &&
      Demand.Decode / static_cast<double>(WorkingDecode - 1) <
          m_Options.MaximumUtilizationAfterRemoval;
  // The one with the least work ends its streams first.
  if (!Chosen && DecodeHasRoom)
    for (size_t I = DecodeCount; I < Order.size(); ++I)
      if (Order[I].Decodes && MayOrder(Order[I]) &&
          (!Chosen || Loads.backlog(Order[I].Engine->Id, Now) <
                          Loads.backlog(Chosen->Engine->Id, Now)))
        Chosen = &Order[I];
  if (!Chosen)
    return std::nullopt;
  return StageChange{Chosen->Engine->Id,
                     Chosen->Decodes ? Stage::Prefill : Stage::Decode,
                     Chosen->Engine->Started};
}

void StagePlanner::recordOrder(const StageChange &Change, BootTime Now) {
  m_Pending[Change.TargetId] = {Change.DesiredStage, Change.Start,
                                Now + m_Options.UnansweredOrderTime};
  m_SplitChosen = true;
}

void StagePlanner::clearOrder(const std::string &TargetId) {
  m_Pending.erase(TargetId);
}

void StagePlanner::recordFailure(const std::string &TargetId, BootTime Now) {
  if (const auto Found = m_Pending.find(TargetId); Found != m_Pending.end())
    Found->second.Until = Now + m_Options.FailurePause;
}

void StagePlanner::recordAcceptance(const std::string &TargetId,
                                    BootTime AvailableAt) {
  if (const auto Found = m_Pending.find(TargetId); Found != m_Pending.end())
    Found->second.Until = AvailableAt;
}

bool StagePlanner::isUnavailable(const std::string &TargetId,
                                 BootTime Now) const {
  const auto Found = m_Pending.find(TargetId);
  return Found != m_Pending.end() && Now < Found->second.Until;
}

} // namespace figlift::dispatch
