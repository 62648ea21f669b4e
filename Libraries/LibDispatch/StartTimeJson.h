//===- StartTimeJson.h - Times as JSON --------------------------*- C++ -*-===//
//
// The start time of a server is milliseconds since 1970, or null for servers
// that do not report one. Ages and remaining times are milliseconds.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/BoundedJson.h"
#include "LibDispatch/Target.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>

namespace figlift::dispatch {

inline nlohmann::json encodeStartTime(const std::optional<StartTime> &Time) {
  if (!Time)
    return nullptr;
  return Time->time_since_epoch().count();
}

/// Decodes milliseconds since 1970, up to the largest that rows may have.
/// Throws nlohmann::json::exception for other values.
inline std::chrono::milliseconds decodeUnixTime(const nlohmann::json &Encoded) {
  constexpr int64_t LatestMilliseconds = 1LL << 52;
  return std::chrono::milliseconds(
      wholeNumber<int64_t>(Encoded, 0, LatestMilliseconds));
}

/// Throws nlohmann::json::exception for other values.
inline std::optional<StartTime> decodeStartTime(const nlohmann::json &Encoded) {
  if (Encoded.is_null())
    return std::nullopt;
  return StartTime(decodeUnixTime(Encoded));
}

/// Decodes an age or a remaining time. Throws nlohmann::json::exception for
/// other values. The limit of 34 years is beyond the uptime of any machine, and
/// nanoseconds of it can be added to a time without an overflow.
inline std::chrono::milliseconds decodeTimeSpan(const nlohmann::json &Encoded) {
  constexpr int64_t MaximumMilliseconds = 1LL << 40;
  return std::chrono::milliseconds(
      wholeNumber<int64_t>(Encoded, 0, MaximumMilliseconds));
}

} // namespace figlift::dispatch
