//===- Record.h - What operators submit -------------------------*- C++ -*-===//
//
// The typed form of operators' records. Records of schema versions 1 and 2 are
// valid side by side: both are read into these structures, and the original
// JSON is kept unchanged beside them.
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

/// Urgency of a call, as the records assign it.
enum class ServiceClass { Immediate = 0, Interactive = 1, Background = 2 };

struct ModelReference {
  std::string Name;
  std::string Version;
  /// Schema version 2 only.
  std::vector<std::string> Adapters;

  bool operator==(const ModelReference &) const = default;
};

/// How many targets at least must be able to do each kind of work.
struct RoleSplit {
  unsigned Prefill = 0;
  unsigned Decode = 0;
  unsigned Mixed = 0;

  bool operator==(const RoleSplit &) const = default;
};

/// Weights of the planner. Schema version 2 only; version 1 has the defaults.
struct PlannerWeights {
  /// Value of one useful token each second of gained goodput.
  double Goodput = 1.0;
  /// Cost of one role change, in tokens each second.
  double RoleChangeCost = 1.0;
  std::chrono::milliseconds Horizon{60000};
  /// Targets of one shard that may change at once.
  unsigned MaximumConcurrentChanges = 1;

  bool operator==(const PlannerWeights &) const = default;
};

struct ClassLimits {
  /// Bound of the queue of one target, in prompt tokens.
  uint64_t MaximumQueuedTokens = 65536;
  std::chrono::milliseconds DefaultDeadline{30000};

  bool operator==(const ClassLimits &) const = default;
};

enum class BackEndType { Model, Service };

/// A group of targets of one kind that serves the same models or service.
struct BackEnd {
  BackEndType Type = BackEndType::Model;
  std::vector<ModelReference> Models;
  RoleSplit Roles;
  PlannerWeights Weights;
  /// Keyed by ServiceClass; schema version 2 only, else the defaults.
  std::map<ServiceClass, ClassLimits> Classes;
  /// Whether the targets refuse an order that carries an old epoch.
  bool HonoursFencing = false;
  /// Service back ends: path prefixes whose calls may not be repeated.
  std::vector<std::string> NonRepeatablePaths;
  /// Service back ends: path prefixes that must answer at once.
  std::vector<std::string> ImmediatePaths;

  bool operator==(const BackEnd &) const = default;
};

/// A customer's share and limits.
struct Workspace {
  double Share = 1.0;
  std::optional<unsigned> MaximumConcurrentRequests;
  /// Schema version 2 only.
  std::optional<ServiceClass> DefaultClass;

  bool operator==(const Workspace &) const = default;
};

enum class TargetIntent { Serve, Drain, Retire };

/// An operator's wish for one VM (figlift-ctl drain, retire).
struct TargetWish {
  TargetIntent Intent = TargetIntent::Serve;

  bool operator==(const TargetWish &) const = default;
};

using Specification = std::variant<BackEnd, Workspace, TargetWish>;

struct Record {
  unsigned SchemaVersion = 1;
  /// "backEnd", "workspace" or "target"; agrees with the variant.
  std::string Kind;
  std::string Name;
  Specification Spec;
};

inline constexpr unsigned OldestSchemaVersion = 1;
inline constexpr unsigned NewestSchemaVersion = 2;

/// Reads one record from JSON (comments allowed) and checks it whole. The
/// error has code RecordInvalid and names the line or the field, what was
/// found and what is allowed.
Result<Record> parseRecord(std::string_view Json);

/// Reads a file of one record or of an array of records.
Result<std::vector<Record>> parseRecords(std::string_view Json);

} // namespace figlift::record
