//===- PlanTypes.h - What the planner sees and orders -----------*- C++ -*-===//
//
// Views of targets and demand that the shell hands to the planner, and the
// changes that it gives back.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/ResultCode.h"
#include "LibRecord/Record.h"
#include "LibRoute/TargetLoad.h"

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figlift::plan {

using route::Role;

/// A model, or an adapter of one.
struct ModelVersion {
  std::string Name;
  std::string Version;
  /// Empty: the model itself.
  std::string Adapter;

  auto operator<=>(const ModelVersion &) const = default;

  /// "name@version" or "name@version+adapter", as in the agents' reports.
  std::string toString() const;
  static ModelVersion parse(std::string_view Text);
};

/// One engine as its agent last reported it.
struct TargetState {
  std::string Id;
  Role CurrentRole = Role::Mixed;
  /// On the platform's list, not leaving, and its agent reachable.
  bool Live = false;
  /// Its agent takes work.
  bool Accepting = false;
  /// Some order runs there, whoever gave it.
  bool OrderInProgress = false;
  std::vector<ModelVersion> Models;
  route::TargetLoad Load;
  BootTime ReportedAt;
};

/// Work offered to the shard, refused work included, in tokens each second.
struct Demand {
  double PrefillTokensPerSecond = 0;
  double DecodeTokensPerSecond = 0;
};

struct Snapshot {
  record::BackEnd Spec;
  std::vector<TargetState> Targets;
  Demand Offered;
};

struct SetRole {
  Role NewRole = Role::Mixed;
  bool operator==(const SetRole &) const = default;
};
struct LoadModel {
  ModelVersion Model;
  bool operator==(const LoadModel &) const = default;
};
struct UnloadModel {
  ModelVersion Model;
  bool operator==(const UnloadModel &) const = default;
};
using Change = std::variant<SetRole, LoadModel, UnloadModel>;

/// Action: an order to one target.
struct GiveOrder {
  std::string Target;
  Change What;
  /// Why, for the time line and the log.
  std::string Reason;
};

/// Time to plan, about once a second.
struct Tick {
  Snapshot Seen;
};
/// An order that this planner gave has ended. Lost answers are not reported as
/// ended until the intent row or the agent says how it ended.
struct OrderEnded {
  std::string Target;
  /// Success, or why not. StoreUnavailable and Overloaded mean that the weight
  /// store gave no permit, which says nothing against the model.
  ResultCode Code = ResultCode::Success;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

using Event = std::variant<Tick, OrderEnded>;
using Action = GiveOrder;

} // namespace figlift::plan
