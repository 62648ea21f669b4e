//===- RoutingTable.cpp - Immutable view of the targets ---------*- C++ -*-===//
//
// Lookups in the routing table.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/RoutingTable.h"

#include <algorithm>
#include <tuple>

namespace figlift::route {

bool TargetView::serves(std::string_view Model) const {
  if (Model.empty() || Models.empty())
    return true;
  const bool AnyVersion = Model.find('@') == std::string_view::npos;
  return std::ranges::any_of(Models, [&](std::string_view Ready) {
    return AnyVersion ? Ready.substr(0, Ready.find('@')) == Model
                      : Ready == Model;
  });
}

size_t TargetView::cachedBlocks(std::span<const uint64_t> PromptHashes) const {
  const size_t Reported = Prefixes.matchingBlocks(PromptHashes);
  const RecentPrefixes &Recent = Gauge->recentPrefixes();
  for (size_t I = PromptHashes.size(); I > Reported; --I)
    if (Recent.contains(PromptHashes[I - 1]))
      return I;
  return Reported;
}

RoutingTable::RoutingTable(std::vector<TargetView> Targets,
                           InFlightTracker &Tracker,
                           std::map<std::string, ClassBounds> Bounds,
                           std::string OwnZone)
    : m_Targets(std::move(Targets)), m_Bounds(Bounds.begin(), Bounds.end()),
      m_OwnZone(std::move(OwnZone)) {
  for (TargetView &Target : m_Targets)
    if (!Target.Gauge)
      Target.Gauge = Tracker.gauge(Target.Id);
  std::ranges::sort(m_Targets, {}, [](const TargetView &Target) {
    return std::tie(Target.BackEnd, Target.Id);
  });
}

std::span<const TargetView>
RoutingTable::targets(std::string_view BackEnd) const {
  const auto First =
      std::ranges::lower_bound(m_Targets, BackEnd, {}, &TargetView::BackEnd);
  const auto Last =
      std::ranges::upper_bound(m_Targets, BackEnd, {}, &TargetView::BackEnd);
  return {First, Last};
}

const TargetView *RoutingTable::find(std::string_view Id) const {
  const auto Found = std::ranges::find(m_Targets, Id, &TargetView::Id);
  return Found == m_Targets.end() ? nullptr : &*Found;
}

const ClassBounds &RoutingTable::bounds(std::string_view BackEnd) const {
  const auto Found = m_Bounds.find(BackEnd);
  return Found == m_Bounds.end() ? DefaultClassBounds : Found->second;
}

} // namespace figlift::route
