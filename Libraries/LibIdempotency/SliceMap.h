//===- SliceMap.h - Which home each slice should have -----------*- C++ -*-===//
//
// Planner's side: spreads the slices of one back end over its live homes by
// rendezvous hashing, so that a home that comes or goes moves only its own
// share.
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

/// One line of the row slice/<back end>.
struct Grant {
  /// Empty when the slice never had a home.
  std::string Home;
  uint64_t Epoch = 0;
  bool operator==(const Grant &) const = default;
};

using GrantTable = std::array<Grant, SliceCount>;

enum class MoveReason {
  /// No home before: write the grant (GrantReason::Initial).
  Initial,
  /// The home lives: ask it to hand the slice over. It writes the grant.
  Handover,
  /// The home is gone: write the grant (GrantReason::TableTakeover).
  Takeover,
};

struct Move {
  SliceId Slice = 0;
  std::string From;
  std::string To;
  /// Epoch of the new grant; 0 for a handover, whose home chooses it.
  uint64_t Epoch = 0;
  MoveReason Why = MoveReason::Initial;
  bool operator==(const Move &) const = default;
};

class SliceMap {
public:
  /// Home that rendezvous hashing gives the slice; empty without homes.
  static std::string preferredHome(SliceId Slice,
                                   std::span<const std::string> Homes);

  /// Moves that bring \p Now to the preferred homes.
  /// \p Serving may get slices. \p Gone is proven to have stopped (absent from
  /// the platform's list or retired); a home that is in neither is cut off or
  /// leaving: leaving homes hand over (list them in \p Leaving), those cut off
  /// keep their slices, because nothing proves that they have stopped.
  static std::vector<Move> plan(const GrantTable &Now,
                                std::span<const std::string> Serving,
                                std::span<const std::string> Leaving,
                                std::span<const std::string> Gone);
};

} // namespace figlift::idempotency
