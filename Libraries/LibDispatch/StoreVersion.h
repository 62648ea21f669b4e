//===- StoreVersion.h - Version of the store, with its era ------*- C++ -*-===//
//
// The store may be restored from a copy that is some seconds old: later writes
// are lost, and their version numbers are assigned again to other writes. By
// number alone, versions of the two histories cannot be told apart: a change of
// the later history is skipped, or a lost one is taken as current.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <compare>
#include <cstdint>

namespace figlift::dispatch {

/// Ordered by era, then by number: every version of a later era is newer.
struct StoreVersion {
  /// Incremented whenever the store is restored from a copy.
  uint64_t Era = 0;
  /// Increases with each transaction of the era.
  uint64_t Number = 0;

  auto operator<=>(const StoreVersion &) const = default;
};

} // namespace figlift::dispatch
