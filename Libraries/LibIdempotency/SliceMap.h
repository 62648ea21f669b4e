//===- SliceMap.h - Assignment of slices to homes ---------------*- C++ -*-===//
//
// Used by the planner to distribute the slices of a back end over its homes by
// rendezvous hashing, which moves only the share of a home that is added or
// removed.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/Slice.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace figlift::idempotency {

/// Grant of one slice in the row slice/<back end>.
struct Grant {
  /// Empty if the slice never had a home.
  std::string Home;
  uint64_t Epoch = 0;
  bool operator==(const Grant &) const = default;
};

using GrantTable = std::array<Grant, SliceCount>;

enum class MoveReason {
  /// The slice had no home: write the grant (GrantReason::Initial).
  Initial,
  /// The home is alive: it hands the slice over and writes the grant itself.
  Handover,
  /// The home has stopped: write the grant (GrantReason::TableTakeover).
  Takeover,
};

struct Move {
  SliceId Slice = 0;
  std::string From;
  std::string To;
  /// Epoch of the new grant; 0 for a handover, for which the home chooses it.
  uint64_t Epoch = 0;
  MoveReason Reason = MoveReason::Initial;
  bool operator==(const Move &) const = default;
};

class SliceMap {
public:
  /// Home that rendezvous hashing selects for the slice; empty without homes.
  static std::string preferredHome(SliceId Slice,
                                   std::span<const std::string> Homes);

  /// Returns the moves that bring the grants to the preferred homes.
  /// Homes in \p Serving may receive slices, homes in \p Leaving hand theirs
  /// over, and homes in \p Gone are proven to have stopped (absent from the
  /// platform's list, or retired). Homes in none of the lists are unreachable
  /// and keep their slices, because nothing proves that they have stopped.
  static std::vector<Move> plan(const GrantTable &Current,
                                std::span<const std::string> Serving,
                                std::span<const std::string> Leaving,
                                std::span<const std::string> Gone);
};

} // namespace figlift::idempotency
