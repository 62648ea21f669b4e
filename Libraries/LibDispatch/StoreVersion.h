//===- StoreVersion.h - A moment in the store's history ---------*- C++ -*-===//
//
// The store may come back from a copy that is some seconds old: what was
// written since is gone, and its version numbers are given out again, to other
// writes. Compared as numbers, the versions of two such histories look alike:
// a change of the later one is passed over, or one that never was is believed.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <compare>
#include <cstdint>

namespace figlift::dispatch {

/// Ordered by era, then by number: all of a later era is newer.
struct StoreVersion {
  /// Rises by one whenever the store comes back from a copy.
  uint64_t Era = 0;
  /// Rises with each transaction of its era.
  uint64_t Number = 0;

  auto operator<=>(const StoreVersion &) const = default;
};

} // namespace figlift::dispatch
