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
    : m_Options(Options), m_SplitChosen(!IsInitialSplit),
      m_Exchange(Options.Exchange) {}

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
  const size_t ReservedDecode = reservedDecode(All);
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
  if (auto Exchange =
          planExchange(Engines, Demand, Speeds, Loads, Now, Unreachable))
    return Exchange;
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
        !(SourceStage == Stage::Decode &&
          m_Exchange.shouldDecode(Speeds, Candidate->Id)) &&
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

size_t StagePlanner::reservedDecode(size_t All) const {
  return std::min(m_Options.MinimumDecode, std::max<size_t>(1, All / 2));
}

std::optional<StageChange> StagePlanner::planExchange(
    std::span<const Target *const> Engines, const EngineDemand &Demand,
    const EngineSpeeds &Speeds, const LoadTracker &Loads, BootTime Now,
    const std::vector<std::string> &Unreachable) {
  std::vector<ExchangeEngine> States;
  for (const Target *Engine : Engines) {
    const Stage Planned = stageOf(*Engine);
    States.push_back(
        {Engine, Planned,
         Engine->EngineStage == Planned && !isUnavailable(Engine->Id, Now),
         std::find(Unreachable.begin(), Unreachable.end(), Engine->Id) ==
             Unreachable.end()});
  }
  return m_Exchange.plan(States, Speeds,
                         {reservedDecode(Engines.size()), Demand.Decode,
                          m_Options.MaximumUtilizationInExchange},
                         Loads, Now);
}

void StagePlanner::recordOrder(const StageChange &Change, BootTime Now) {
  m_Pending[Change.TargetId] = {Change.DesiredStage, Change.Start,
                                Now + m_Options.UnansweredOrderTime};
  m_Exchange.recordOrder(Change);
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
