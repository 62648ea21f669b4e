//===- Record.h - Configuration records of operators ------------*- C++ -*-===//
//
// The parsed form of operators' records. Records of schema versions 1 and 2 are
// valid at the same time: both are parsed into these structures, and the
// original JSON is stored unchanged in addition.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figlift::record {

/// Urgency of a call, as assigned by the records.
enum class ServiceClass { Immediate = 0, Interactive = 1, Background = 2 };

struct ModelReference {
  std::string Name;
  std::string Version;
  /// Schema version 2 only.
  std::vector<std::string> Adapters;

  bool operator==(const ModelReference &) const = default;
};

/// Minimum number of targets in each role.
struct RoleSplit {
  unsigned Prefill = 0;
  unsigned Decode = 0;
  unsigned Mixed = 0;

  bool operator==(const RoleSplit &) const = default;
};

/// Weights of the planner. Schema version 2 only; version 1 uses the defaults.
struct PlannerWeights {
  /// Value of one additional useful token per second.
  double Goodput = 1.0;
  /// Cost of one role change, in tokens per second.
  double RoleChangeCost = 1.0;
  std::chrono::milliseconds Horizon{60000};
  /// Maximum number of targets of a shard that change at the same time.
  unsigned MaximumConcurrentChanges = 1;

  bool operator==(const PlannerWeights &) const = default;
};

struct ClassLimits {
  /// Capacity of the queue of one target, in prompt tokens.
  uint64_t MaximumQueuedTokens = 65536;
  std::chrono::milliseconds DefaultDeadline{30000};

  bool operator==(const ClassLimits &) const = default;
};

enum class BackEndType { Model, Service };

/// A group of targets that serve the same models or the same service.
struct BackEnd {
  BackEndType Type = BackEndType::Model;
  std::vector<ModelReference> Models;
  RoleSplit Roles;
  PlannerWeights Weights;
  /// Schema version 2 only; version 1 uses the defaults.
  std::map<ServiceClass, ClassLimits> Classes;
  /// Whether the targets reject an order that has a stale epoch.
  bool HonoursFencing = false;
  /// Service back ends: path prefixes whose calls must not be retried.
  std::vector<std::string> NonRepeatablePaths;
  /// Service back ends: path prefixes whose calls have class Immediate.
  std::vector<std::string> ImmediatePaths;

  bool operator==(const BackEnd &) const = default;
};

/// Share and limits of a workspace.
struct Workspace {
  double Share = 1.0;
  std::optional<unsigned> MaximumConcurrentRequests;
  /// Schema version 2 only.
  std::optional<ServiceClass> DefaultClass;

  bool operator==(const Workspace &) const = default;
};

enum class TargetIntent { Serve, Drain, Retire };

/// State of one VM that the operator requests (figlift-ctl drain, retire).
struct TargetDesiredState {
  TargetIntent Intent = TargetIntent::Serve;

  bool operator==(const TargetDesiredState &) const = default;
};

using Specification = std::variant<BackEnd, Workspace, TargetDesiredState>;

struct Record {
  unsigned SchemaVersion = 1;
  /// "backEnd", "workspace" or "target"; matches the alternative in Spec.
  std::string Kind;
  std::string Name;
  Specification Spec;
};

inline constexpr unsigned OldestSchemaVersion = 1;
inline constexpr unsigned NewestSchemaVersion = 2;

/// Parses and validates one record of JSON with optional comments. The error
/// has code RecordInvalid and names the line or the field, the value found and
/// the values expected.
Result<Record> parseRecord(std::string_view Text);

/// Parses a file that contains one record or an array of records.
Result<std::vector<Record>> parseRecords(std::string_view File);

} // namespace figlift::record
