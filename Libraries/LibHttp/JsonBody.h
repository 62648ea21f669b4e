//===- JsonBody.h - Parser for JSON request bodies --------------*- C++ -*-===//
//
// Parses the bodies that callers and operators send, after checking the nesting
// depth. The JSON parser allocates a record for each open bracket, so that two
// megabytes of brackets would take over a hundred megabytes of memory. Valid
// bodies are nested only a few levels deep.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace figlift::http {

/// About ten times the depth of the most deeply nested record.
inline constexpr size_t MaximumJsonDepth = 64;

/// Whether objects and arrays are nested more than \p Depth levels deep;
/// brackets in strings do not count.
bool nestsDeeperThan(std::string_view Json, size_t Depth);

/// Fails with InvalidInput and field "body" if \p Body is not JSON or is nested
/// more than MaximumJsonDepth levels deep.
Result<nlohmann::json> parseJsonBody(std::string_view Body);

} // namespace figlift::http
