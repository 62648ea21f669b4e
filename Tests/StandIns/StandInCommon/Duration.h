//===- Duration.h - Times in flags and JSON ---------------------*- C++ -*-===//
//
// The stand-ins take times as text with a unit ("250ms", "4s"), as figlift's
// own settings do; a bare number counts milliseconds.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace figlift::standin {

using Json = nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Throws std::invalid_argument when the text is no time.
std::chrono::microseconds parseDuration(const std::string &Text);

/// The time in member \p Name of \p Object, or \p Default when it is absent.
std::chrono::microseconds durationOr(const Json &Object, const char *Name,
                                     std::chrono::microseconds Default);

} // namespace figlift::standin
