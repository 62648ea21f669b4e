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

/// \name Epochs of grants. Those of handovers are odd, those of takeovers and
/// restarts even (the first grant ever is 1). A home may give a handover up and
/// die; its slice is then taken over, and the heir must not take the claims of
/// that handover for all that there are. As the two never share an epoch, a
/// row of the table tells by its epoch which of them wrote it.
/// @{
constexpr bool isHandoverEpoch(uint64_t Epoch) {
  return Epoch > 1 && Epoch % 2 == 1;
}
constexpr uint64_t nextHandoverEpoch(uint64_t Now) {
  return Now % 2 == 1 ? Now + 2 : Now + 1;
}
constexpr uint64_t nextTakeoverEpoch(uint64_t Now) {
  return Now % 2 == 0 ? Now + 2 : Now + 1;
}
/// @}

/// Slice of \p Key; the same in every process and version.
SliceId sliceOf(std::string_view Key);

/// Mint time of a UUIDv7 key (RFC 9562) in its usual 36-character form; empty
/// for any other key.
std::optional<WallTime> mintTimeOf(std::string_view Key);

} // namespace figlift::idempotency
