//===- StageExchange.cpp - Puts fast engines into the decode stage --------===//
//
// Sorts the engines by speed and fills the prefill stage from the slow end.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StageExchange.h"

#include <algorithm>

namespace figlift::dispatch {

namespace {

/// Sums of the same speeds in another order may differ by rounding, which must
/// not cost an exchange.
constexpr double RoundingShare = 1e-6;

} // namespace

void StageExchange::updateReference(
    const std::vector<ExchangeEngine> &Engines) {
  std::map<std::string, Stage> Stages;
  for (const ExchangeEngine &Entry : Engines)
    Stages[Entry.Engine->Id] = Entry.PlannedStage;
  const auto IsUnchanged = [&](const auto &Entry) {
    const auto Previous = m_Stages.find(Entry.first);
    return Previous != m_Stages.end() && (Previous->second == Entry.second ||
                                          m_Ordered.contains(Entry.first));
  };
  const bool IsOwn = Stages.size() == m_Stages.size() &&
                     std::all_of(Stages.begin(), Stages.end(), IsUnchanged);
  m_Stages = std::move(Stages);
  if (m_PrefillReference && IsOwn)
    return;
  m_Ordered.clear();
  m_PrefillReference.emplace();
  for (const auto &[Id, Planned] : m_Stages)
    if (Planned == Stage::Prefill)
      m_PrefillReference->insert(Id);
}

std::vector<StageExchange::Candidate>
StageExchange::sorted(const std::vector<ExchangeEngine> &Engines,
                      const EngineSpeeds &Speeds) const {
  std::vector<Candidate> Order;
  Order.reserve(Engines.size());
  for (const ExchangeEngine &Entry : Engines)
    Order.push_back({Entry, Speeds.speed(Entry.Engine->Id),
                     Speeds.Intervals.contains(Entry.Engine->Id)});
  const auto Rank = [&](const Candidate &Entry) {
    return Entry.Speed * (Entry.decodes() ? m_Options.StageKeepFactor : 1);
  };
  std::stable_sort(Order.begin(), Order.end(),
                   [&](const Candidate &A, const Candidate &B) {
                     return Rank(A) > Rank(B);
                   });
  return Order;
}

const StageExchange::Candidate *
StageExchange::fastPrefillEngine(std::span<const Candidate> ShouldDecode,
                                 double WorkingPrefill, double Capacity) const {
  for (const Candidate &Entry : ShouldDecode)
    if (!Entry.decodes() && Entry.mayOrder() &&
        WorkingPrefill - Entry.Speed >= Capacity * m_Options.CapacityShare)
      return &Entry;
  return nullptr;
}

const StageExchange::Candidate *
StageExchange::slowDecodeEngine(std::span<const Candidate> ShouldPrefill,
                                const LoadTracker &Loads, BootTime Now) {
  const Candidate *Chosen = nullptr;
  for (const Candidate &Entry : ShouldPrefill)
    if (Entry.decodes() && Entry.mayOrder() &&
        (!Chosen || Loads.backlog(Entry.State.Engine->Id, Now) <
                        Loads.backlog(Chosen->State.Engine->Id, Now)))
      Chosen = &Entry;
  return Chosen;
}

std::optional<StageChange>
StageExchange::plan(const std::vector<ExchangeEngine> &Engines,
                    const EngineSpeeds &Speeds, const DecodeReserve &Reserve,
                    const LoadTracker &Loads, BootTime Now) {
  m_Proposed.reset();
  if (!Speeds.ShouldExchange) {
    m_PrefillReference.reset();
    return std::nullopt;
  }
  updateReference(Engines);
  const std::vector<Candidate> Order = sorted(Engines, Speeds);
  double Capacity = 0;
  double WorkingPrefill = 0;
  size_t WorkingDecode = 0;
  for (const Candidate &Entry : Order) {
    if (m_PrefillReference->contains(Entry.State.Engine->Id))
      Capacity += Entry.Speed;
    if (Entry.State.IsWorking && Entry.decodes())
      ++WorkingDecode;
    else if (Entry.State.IsWorking)
      WorkingPrefill += Entry.Speed;
  }
  // The slowest engines that have the capacity prefill.
  size_t DecodeCount = Order.size();
  for (double Sum = 0;
       DecodeCount > Reserve.Engines && Sum < Capacity * (1 - RoundingShare);)
    Sum += Order[--DecodeCount].Speed;
  const std::span<const Candidate> All(Order);
  const size_t FastCount = std::min(DecodeCount, Speeds.FastEnginesNeeded);
  double FutureCapacity = 0;
  for (const Candidate &Entry : All.subspan(FastCount))
    if (!Entry.decodes())
      FutureCapacity += Entry.Speed;
  const bool IsCapacityMissing =
      FutureCapacity < Capacity * (1 - RoundingShare);
  const Candidate *Chosen =
      fastPrefillEngine(All.first(FastCount), WorkingPrefill, Capacity);
  const bool DecodeHasRoom =
      WorkingDecode > Reserve.Engines &&
      Reserve.Demand / static_cast<double>(WorkingDecode - 1) <
          Reserve.MaximumUtilization;
  if (!Chosen && DecodeHasRoom && IsCapacityMissing)
    Chosen = slowDecodeEngine(All.subspan(DecodeCount), Loads, Now);
  if (!Chosen)
    return std::nullopt;
  const Target &Engine = *Chosen->State.Engine;
  m_Proposed = {Engine.Id, Chosen->decodes() ? Stage::Prefill : Stage::Decode,
                Engine.Started};
  return m_Proposed;
}

void StageExchange::recordOrder(const StageChange &Change) {
  if (m_Proposed == Change)
    m_Ordered.insert(Change.TargetId);
}

bool StageExchange::shouldDecode(const EngineSpeeds &Speeds,
                                 const std::string &EngineId) const {
  return Speeds.ShouldExchange &&
         Speeds.speed(EngineId) > m_Options.StageKeepFactor;
}

} // namespace figlift::dispatch
