//===- RoutingTable.h - Immutable view of the targets -----------*- C++ -*-===//
//
// An entry builds the table from its membership and the targets' Sync reports,
// and replaces it as a whole (read-copy-update). Values that change with every
// reply are in the gauges instead.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibRoute/InFlightTracker.h"
#include "LibRoute/PrefixHash.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::route {

struct TargetView {
  std::string Id;
  std::string BackEnd;
  std::string Zone;
  Role CurrentRole = Role::Mixed;
  /// Its agent accepts work, and this entry has a usable channel to it.
  bool Accepting = false;
  /// Ready models as "name@version"; if empty, the target serves any model.
  std::vector<std::string> Models;
  PrefixSummary Prefixes;
  /// Configuration revision that the agent last reported as in force.
  uint64_t Revision = 0;
  /// Never null in a RoutingTable.
  std::shared_ptr<TargetGauge> Gauge;

  /// \p Model is "name", "name@version" or empty.
  bool serves(std::string_view Model) const;
  /// Returns the number of leading blocks of a prompt that the target has
  /// reported as cached, or that this entry has recently sent to it.
  size_t cachedBlocks(std::span<const uint64_t> PromptHashes) const;
};

/// Limits on the waiting prompt tokens of one target, by service class.
using ClassBounds = std::array<uint64_t, ServiceClassCount>;
inline constexpr ClassBounds DefaultClassBounds{65536, 65536, 65536};

class RoutingTable {
public:
  RoutingTable() = default;
  /// Targets without a gauge get one from \p Tracker. Back ends missing in
  /// \p Bounds have the default limits.
  RoutingTable(std::vector<TargetView> Targets, InFlightTracker &Tracker,
               std::map<std::string, ClassBounds> Bounds = {},
               std::string OwnZone = {});

  std::span<const TargetView> targets(std::string_view BackEnd) const;
  const TargetView *find(std::string_view Id) const;
  const ClassBounds &bounds(std::string_view BackEnd) const;
  const std::string &ownZone() const { return m_OwnZone; }

private:
  /// Sorted by back end, then by id.
  std::vector<TargetView> m_Targets;
  std::map<std::string, ClassBounds, std::less<>> m_Bounds;
  std::string m_OwnZone;
};

} // namespace figlift::route
