//===- Slice.h - Slices of the key space ------------------------*- C++ -*-===//
//
// Idempotency keys of one back end fall into a fixed number of slices; each
// slice has one home. Also reads the mint time out of a UUIDv7 key.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace figlift::idempotency {

using SliceId = uint32_t;
inline constexpr SliceId SliceCount = 64;

/// Slice of \p Key; the same in every process and version.
SliceId sliceOf(std::string_view Key);

/// Mint time of a UUIDv7 key (RFC 9562) in its usual 36-character form; empty
/// for any other key.
std::optional<WallTime> mintTimeOf(std::string_view Key);

} // namespace figlift::idempotency
