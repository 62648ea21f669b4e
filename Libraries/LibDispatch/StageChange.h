//===- StageChange.h - Change of an engine's stage --------------*- C++ -*-===//
//
// The order that the stage planner determines.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Target.h"

#include <optional>
#include <string>

namespace figlift::dispatch {

struct StageChange {
  std::string TargetId;
  Stage DesiredStage = Stage::Decode;
  /// Start of the target for which the change was planned.
  std::optional<StartTime> Start = std::nullopt;
  bool operator==(const StageChange &) const = default;
};

} // namespace figlift::dispatch
