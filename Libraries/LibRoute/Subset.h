//===- Subset.h - Rendezvous hashing ----------------------------*- C++ -*-===//
//
// Which targets an entry connects to, and which targets a prefix belongs to.
// Rendezvous hashing moves only the share of a target that came or left.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::route {

/// Weight of \p Target for \p Key; the highest wins.
uint64_t rendezvousWeight(uint64_t Key, std::string_view Target);
uint64_t rendezvousKey(std::string_view Text);

struct SubsetMember {
  std::string Id;
  std::string Zone;
};

/// The at most \p Size targets that \p Entry keeps streams to: those of its
/// own zone first, by rendezvous weight, and at least a quarter of the places
/// for other zones, so that a zone's end leaves the entry with targets.
///
/// Covering: every target is in the subset of some entry as long as the
/// entries together have more places than there are targets only with high
/// probability; \p Entries (all entries, own one included, any order) makes it
/// certain, by giving each target to its own best \p MinimumHolders entries
/// first.
std::vector<std::string>
subsetFor(std::string_view Entry, std::string_view Zone,
          std::span<const SubsetMember> Targets, size_t Size,
          std::span<const std::string> Entries = {}, size_t MinimumHolders = 2);

} // namespace figlift::route
