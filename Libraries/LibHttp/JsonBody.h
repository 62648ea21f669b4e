//===- JsonBody.h - JSON of a request's body --------------------*- C++ -*-===//
//
// Parses what callers and operators send, after a look at how deeply it is
// nested. A parser keeps a record for each open bracket, so two megabytes of
// brackets would take over a hundred of memory; nothing that is sent here in
// earnest is nested more than a few levels.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace figlift::http {

/// Ten times the depth of the deepest record.
inline constexpr size_t MaximumJsonDepth = 64;

/// Whether objects and arrays are nested more than \p Depth deep; brackets in
/// texts do not count.
bool nestsDeeperThan(std::string_view Json, size_t Depth);

/// Fails with InvalidInput, field "body", for what is no JSON, or nested too
/// deeply.
Result<nlohmann::json> parseJsonBody(std::string_view Body);

} // namespace figlift::http
