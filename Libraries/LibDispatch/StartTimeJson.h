//===- StartTimeJson.h - Start time of a server as JSON ---------*- C++ -*-===//
//
// Milliseconds since 1970, or null for servers that do not report one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Target.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace figlift::dispatch {

inline nlohmann::json encodeStartTime(const std::optional<StartTime> &Time) {
  if (!Time)
    return nullptr;
  return Time->time_since_epoch().count();
}

/// Throws nlohmann::json::exception for other values.
inline std::optional<StartTime> decodeStartTime(const nlohmann::json &Encoded) {
  if (Encoded.is_null())
    return std::nullopt;
  return StartTime(std::chrono::milliseconds(Encoded.get<int64_t>()));
}

} // namespace figlift::dispatch
