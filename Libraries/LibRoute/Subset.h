//===- Subset.h - Rendezvous hashing ----------------------------*- C++ -*-===//
//
// Selects the targets that an entry connects to, and the candidate targets of a
// prefix. When a target is added or removed, rendezvous hashing moves only the
// share of that target.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::route {

/// Returns the weight of \p Target for \p Key; the target with the highest
/// weight is chosen.
uint64_t rendezvousWeight(uint64_t Key, std::string_view Target);
uint64_t rendezvousKey(std::string_view Text);

struct SubsetMember {
  std::string Id;
  std::string Zone;
};

/// Returns up to \p Size targets that \p Entry keeps streams to: targets of its
/// own zone first, by rendezvous weight, and at least a quarter from other
/// zones, so that the entry still has targets if its zone fails.
///
/// Coverage: by rendezvous weight alone, each target is in the subset of some
/// entry only with high probability, even if the subsets together are larger
/// than the fleet. \p Entries (all entries including \p Entry, in any order)
/// guarantees it: each target is first assigned to the \p MinimumHolders
/// entries with the highest weights for it, even if a subset then exceeds
/// \p Size.
std::vector<std::string>
subsetFor(std::string_view Entry, std::string_view Zone,
          std::span<const SubsetMember> Targets, size_t Size,
          std::span<const std::string> Entries = {}, size_t MinimumHolders = 2);

} // namespace figlift::route
