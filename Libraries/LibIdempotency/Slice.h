//===- Slice.h - Slices of the key space ------------------------*- C++ -*-===//
//
// The idempotency keys of a back end are divided into a fixed number of slices,
// each of which has one home. Also extracts the mint time from UUIDv7 keys.
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
/// restarts are even; the initial grant has epoch 1. If a home abandons a
/// handover and dies, its slice is taken over, and the new home must not treat
/// the claims of that handover as complete. As the two kinds never share an
/// epoch, the epoch of a grant shows which of them wrote it.
/// @{
constexpr bool isHandoverEpoch(uint64_t Epoch) {
  return Epoch > 1 && Epoch % 2 == 1;
}
constexpr uint64_t nextHandoverEpoch(uint64_t Epoch) {
  return Epoch % 2 == 1 ? Epoch + 2 : Epoch + 1;
}
constexpr uint64_t nextTakeoverEpoch(uint64_t Epoch) {
  return Epoch % 2 == 0 ? Epoch + 2 : Epoch + 1;
}
/// @}

/// Slice of \p Key. All processes and versions have to agree on it.
SliceId sliceOf(std::string_view Key);

/// Mint time of a UUIDv7 key (RFC 9562) in its usual 36-character form; empty
/// for any other key.
std::optional<WallTime> mintTimeOf(std::string_view Key);

} // namespace figlift::idempotency
