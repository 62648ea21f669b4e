//===- FleetAverages.cpp - Averages per target over all gateways ----------===//
//
// Sums with exponential decay, one for each target and process.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/FleetAverages.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figlift::dispatch {

namespace {
const std::string ThisProcess;

bool isValid(double Value, double Count) {
  return std::isfinite(Value) && std::isfinite(Count) && Value >= 0 &&
         Count >= 0;
}
} // namespace

FleetAverages::Samples FleetAverages::decayed(const Samples &Old,
                                              BootTime Now) const {
  const std::chrono::duration<double, std::milli> Age = Now - Old.At;
  const double Remaining = std::exp2(-std::max(0.0, Age / m_HalfLife));
  return {Old.Sum * Remaining, Old.Count * Remaining, Now};
}

void FleetAverages::replace(const std::string &TargetId,
                            const std::string &Process, const Samples &New,
                            BootTime Now) {
  Entry &State = m_Entries[TargetId];
  Samples &Own = State.ByProcess[Process];
  const Samples Old = decayed(Own, Now);
  const Samples Total = decayed(State.Total, Now);
  // Rounding must not leave a negative rest.
  State.Total = {std::max(0.0, Total.Sum - Old.Sum + New.Sum),
                 std::max(0.0, Total.Count - Old.Count + New.Count), Now};
  Own = New;
}

void FleetAverages::record(const std::string &TargetId, double Value,
                           double Count, BootTime Now) {
  if (!isValid(Value, Count))
    return;
  const Samples Old = decayed(m_Entries[TargetId].ByProcess[ThisProcess], Now);
  replace(TargetId, ThisProcess,
          {Old.Sum + Value * Count, Old.Count + Count, Now}, Now);
}

void FleetAverages::recordPeerReport(const std::string &Peer,
                                     const std::vector<TargetSamples> &Reported,
                                     BootTime Now) {
  std::set<std::string> &Targets = m_TargetsByPeer[Peer];
  std::set<std::string> Listed;
  for (const TargetSamples &Row : Reported)
    if (isValid(Row.Sum, Row.Count)) {
      replace(Row.TargetId, Peer, {Row.Sum, Row.Count, Now}, Now);
      Listed.insert(Row.TargetId);
    }
  for (const std::string &Id : Targets)
    if (!Listed.contains(Id) && m_Entries.contains(Id)) {
      replace(Id, Peer, {0, 0, Now}, Now);
      m_Entries[Id].ByProcess.erase(Peer);
    }
  Targets = std::move(Listed);
}

std::vector<TargetSamples> FleetAverages::localSamples(BootTime Now) const {
  std::vector<TargetSamples> Result;
  for (const auto &[TargetId, State] : m_Entries) {
    const auto Own = State.ByProcess.find(ThisProcess);
    if (Own == State.ByProcess.end())
      continue;
    if (const Samples Left = decayed(Own->second, Now);
        Left.Count >= MinimumCount)
      Result.push_back({TargetId, Left.Sum, Left.Count});
  }
  return Result;
}

void FleetAverages::removeTarget(const std::string &TargetId) {
  m_Entries.erase(TargetId);
}

void FleetAverages::removeDecayed(BootTime Now) {
  const auto IsDecayed = [&](const Samples &Old) {
    return decayed(Old, Now).Count < MinimumCount;
  };
  // What remains of removed samples in a total decays with it.
  for (auto &[Id, State] : m_Entries)
    std::erase_if(State.ByProcess, [&](const auto &Process) {
      return IsDecayed(Process.second);
    });
  std::erase_if(m_Entries, [](const auto &Target) {
    return Target.second.ByProcess.empty();
  });
  for (auto &Entry : m_TargetsByPeer)
    std::erase_if(Entry.second, [&](const std::string &Id) {
      const auto Found = m_Entries.find(Id);
      return Found == m_Entries.end() ||
             !Found->second.ByProcess.contains(Entry.first);
    });
  std::erase_if(m_TargetsByPeer,
                [](const auto &Peer) { return Peer.second.empty(); });
}

size_t FleetAverages::entries() const {
  size_t Count = 0;
  for (const auto &[Id, State] : m_Entries)
    Count += State.ByProcess.size();
  return Count;
}

std::optional<FleetAverages::Average>
FleetAverages::average(const std::string &TargetId, BootTime Now) const {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return std::nullopt;
  const Samples Total = decayed(Found->second.Total, Now);
  if (Total.Count < MinimumCount)
    return std::nullopt;
  return Average{Total.Sum / Total.Count, Total.Count};
}

} // namespace figlift::dispatch
