//===- PlanTypes.h - Inputs and orders of the planner -----------*- C++ -*-===//
//
// State of targets and demand that the caller passes to the planner, and the
// orders that it returns.
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

/// A version of a model, or of an adapter of a model.
struct ModelVersion {
  std::string Name;
  std::string Version;
  /// Empty for the model itself.
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
  /// It is on the platform's list, is not being removed, and its agent is
  /// reachable.
  bool Live = false;
  /// Its agent accepts work.
  bool Accepting = false;
  /// An order runs on it, possibly one of another planner.
  bool OrderInProgress = false;
  std::vector<ModelVersion> Models;
  route::TargetLoad Load;
  BootTime ReportedAt;
};

/// Work offered to the shard, including refused work, in tokens per second.
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

/// An order to one target.
struct TargetOrder {
  std::string Target;
  Change RequestedChange;
  /// Reason for the order, for the timeline and the log.
  std::string Reason;
};

/// Sent about once a second, with the current state.
struct Tick {
  Snapshot View;
};
/// An order of this planner has ended. If its reply is lost, this is sent only
/// after the intent row or the agent has shown how the order ended.
struct OrderEnded {
  std::string Target;
  /// Success, or the reason of the failure. StoreUnavailable and Overloaded
  /// mean that the weight store granted no permit, and do not count as failures
  /// of the model.
  ResultCode Code = ResultCode::Success;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

using Event = std::variant<Tick, OrderEnded>;
using Action = TargetOrder;

} // namespace figlift::plan
