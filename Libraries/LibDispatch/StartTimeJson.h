//===- StartTimeJson.h - The start of a server in datagrams -----*- C++ -*-===//
//
// Milliseconds since 1970, or null where servers do not tell.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Target.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace figlift::dispatch {

inline nlohmann::json encodeStartTime(const std::optional<StartTime> &What) {
  if (!What)
    return nullptr;
  return What->time_since_epoch().count();
}

/// Throws nlohmann::json::exception for what is neither.
inline std::optional<StartTime> decodeStartTime(const nlohmann::json &From) {
  if (From.is_null())
    return std::nullopt;
  return StartTime(std::chrono::milliseconds(From.get<int64_t>()));
}

} // namespace figlift::dispatch
