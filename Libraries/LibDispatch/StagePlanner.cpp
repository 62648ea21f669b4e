//===- StagePlanner.cpp - How many engines read, how many run -------------===//
//
// Tries every split and takes the best one step towards it.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StagePlanner.h"

#include <algorithm>
#include <utility>

namespace figlift::dispatch {

namespace {

double busiest(const EngineDemand &Demand, size_t Readers, size_t Runners) {
  const double Read =
      Readers == 0 ? Demand.Read * 1e6 : Demand.Read / double(Readers);
  const double Run =
      Runners == 0 ? Demand.Run * 1e6 : Demand.Run / double(Runners);
  return std::max(Read, Run);
}

} // namespace

StagePlanner::StagePlanner(bool FleetStarts, StagePlannerOptions Options)
    : m_Options(Options), m_Changed(!FleetStarts) {}

bool StagePlanner::viewIsStable(std::span<const Target *const> Engines,
                                BootTime Now) {
  std::vector<std::string> View;
  for (const Target *Each : Engines)
    View.push_back(Each->Id);
  if (View != m_View) {
    m_View = std::move(View);
    m_ViewSince = Now;
  }
  return Now - m_ViewSince >= m_Options.StableView;
}

void StagePlanner::forgetSettled(std::span<const Target *const> Engines,
                                 BootTime Now) {
  std::erase_if(m_Pending, [&](const auto &Each) {
    const Pending &Order = Each.second;
    if (Now >= Order.Until)
      return true;
    const auto Found =
        std::find_if(Engines.begin(), Engines.end(),
                     [&](const Target *One) { return One->Id == Each.first; });
    return Found == Engines.end() || (*Found)->Does == Order.Wanted ||
           (*Found)->Started != Order.Start;
  });
}

void StagePlanner::noteChanges(std::span<const Target *const> Engines) {
  for (const Target *Each : Engines)
    if (const auto [Listed, IsNew] = m_Listed.try_emplace(Each->Id, Each->Does);
        !IsNew && std::exchange(Listed->second, Each->Does) != Each->Does)
      m_Changed = true;
}

/// The stage that the engine has, or will have once its order is carried out.
Stage StagePlanner::stageOf(const Target &Which) const {
  const auto Found = m_Pending.find(Which.Id);
  return Found == m_Pending.end() ? Which.Does : Found->second.Wanted;
}

bool StagePlanner::mayTakeAway(std::span<const Target *const> Engines,
                               const EngineDemand &Demand, const Target &Which,
                               BootTime Now) const {
  if (m_Pending.empty())
    return true;
  // Only the work that the engine does now loses by its absence.
  size_t Left = 0;
  for (const Target *Each : Engines)
    if (Each != &Which && Each->Does == Which.Does && !away(Each->Id, Now))
      ++Left;
  const double Asked = Which.Does == Stage::Prefill ? Demand.Read : Demand.Run;
  return Left > 0 && Asked / double(Left) < m_Options.RoomForMore;
}

/// Number of reading engines for \p Demand, or \p Readers if no other number is
/// clearly better.
size_t StagePlanner::betterSplit(size_t All, size_t Readers,
                                 const EngineDemand &Demand) const {
  const double Current = busiest(Demand, Readers, All - Readers);
  const double Minimum = m_Changed ? m_Options.MinimumUtilization
                                   : m_Options.MinimumUtilizationAtFirst;
  if (All < 2 || Current < Minimum)
    return Readers;
  const size_t KeptDecode =
      std::min(m_Options.MinimumDecode, std::max<size_t>(1, All / 2));
  size_t BestReaders = Readers;
  double Best = Current * (1 - m_Options.MinimumGain);
  for (size_t Try = 1; Try + KeptDecode <= All; ++Try)
    if (const double Each = busiest(Demand, Try, All - Try); Each < Best) {
      Best = Each;
      BestReaders = Try;
    }
  return BestReaders;
}

std::optional<StageChange>
StagePlanner::plan(std::span<const Target *const> Engines,
                   const EngineDemand &Demand, double Doubt,
                   const LoadBook &Loads, BootTime Now) {
  forgetSettled(Engines, Now);
  noteChanges(Engines);
  if (!viewIsStable(Engines, Now))
    return std::nullopt;
  size_t Readers = 0;
  for (const Target *Each : Engines)
    if (stageOf(*Each) == Stage::Prefill)
      ++Readers;
  // A change takes engines from one kind of work: it has to be right also when
  // that work is asked for more than it seems, and the other less.
  const size_t More = betterSplit(Engines.size(), Readers,
                                  {Demand.Read / Doubt, Demand.Run * Doubt});
  const size_t Fewer = betterSplit(Engines.size(), Readers,
                                   {Demand.Read * Doubt, Demand.Run / Doubt});
  if (More <= Readers && Fewer >= Readers)
    return std::nullopt;
  const Stage From = More > Readers ? Stage::Decode : Stage::Prefill;
  const Target *Chosen = nullptr;
  for (const Target *Each : Engines)
    if (Each->Does == From && !away(Each->Id, Now) &&
        (!Chosen ||
         Loads.backlog(Each->Id, Now) < Loads.backlog(Chosen->Id, Now)))
      Chosen = Each;
  if (!Chosen || !mayTakeAway(Engines, Demand, *Chosen, Now))
    return std::nullopt;
  return StageChange{Chosen->Id,
                     From == Stage::Decode ? Stage::Prefill : Stage::Decode,
                     Chosen->Started};
}

void StagePlanner::ordered(const StageChange &What, BootTime Now) {
  m_Pending[What.TargetId] = {What.Wanted, What.Start,
                              Now + m_Options.DoubtTime};
  m_Changed = true;
}

void StagePlanner::settled(const std::string &TargetId) {
  m_Pending.erase(TargetId);
}

void StagePlanner::refused(const std::string &TargetId, BootTime Now) {
  if (const auto Found = m_Pending.find(TargetId); Found != m_Pending.end())
    Found->second.Until = Now + m_Options.RefusalPause;
}

void StagePlanner::accepted(const std::string &TargetId, BootTime BackAt) {
  if (const auto Found = m_Pending.find(TargetId); Found != m_Pending.end())
    Found->second.Until = BackAt;
}

bool StagePlanner::away(const std::string &TargetId, BootTime Now) const {
  const auto Found = m_Pending.find(TargetId);
  return Found != m_Pending.end() && Now < Found->second.Until;
}

} // namespace figlift::dispatch
