//===- Subset.cpp - Rendezvous hashing --------------------------*- C++ -*-===//
//
// Rendezvous weights, and the selection of an entry's targets.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/Subset.h"

#include <algorithm>
#include <xxhash.h>

namespace figlift::route {

uint64_t rendezvousWeight(uint64_t Key, std::string_view Target) {
  return XXH64(Target.data(), Target.size(), Key);
}

uint64_t rendezvousKey(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

namespace {

struct Ranked {
  const SubsetMember *Member;
  bool RequiredForCoverage;
  bool SameZone;
  uint64_t Weight;
};

/// Whether \p Entry is among the \p Holders entries with the highest weights
/// for \p Target.
bool isRequiredForCoverage(std::string_view Entry, std::string_view Target,
                           std::span<const std::string> Entries,
                           size_t Holders) {
  const uint64_t Key = rendezvousKey(Target);
  const uint64_t EntryWeight = rendezvousWeight(Key, Entry);
  const auto Better = std::ranges::count_if(Entries, [&](const auto &Other) {
    return rendezvousWeight(Key, Other) > EntryWeight;
  });
  return static_cast<size_t>(Better) < Holders;
}

std::vector<Ranked> rank(std::string_view Entry, std::string_view Zone,
                         std::span<const SubsetMember> Targets,
                         std::span<const std::string> Entries, size_t Holders) {
  const uint64_t Key = rendezvousKey(Entry);
  std::vector<Ranked> All;
  All.reserve(Targets.size());
  for (const SubsetMember &Target : Targets)
    All.push_back({&Target,
                   !Entries.empty() && isRequiredForCoverage(Entry, Target.Id,
                                                             Entries, Holders),
                   Target.Zone == Zone, rendezvousWeight(Key, Target.Id)});
  std::ranges::sort(All, std::ranges::greater{}, &Ranked::Weight);
  return All;
}

} // namespace

std::vector<std::string>
subsetFor(std::string_view Entry, std::string_view Zone,
          std::span<const SubsetMember> Targets, size_t Size,
          std::span<const std::string> Entries, size_t MinimumHolders) {
  const auto All = rank(Entry, Zone, Targets, Entries, MinimumHolders);
  std::vector<std::string> Chosen;
  const auto AddUpTo = [&](size_t Limit, auto Matches) {
    for (const Ranked &Candidate : All)
      if (Chosen.size() < Limit && Matches(Candidate) &&
          std::ranges::find(Chosen, Candidate.Member->Id) == Chosen.end())
        Chosen.push_back(Candidate.Member->Id);
  };
  // The targets needed for coverage may exceed Size: without one of them, a
  // target might not be in the subset of any entry.
  AddUpTo(All.size(), [](const Ranked &Candidate) {
    return Candidate.RequiredForCoverage;
  });
  const size_t ForOtherZones = std::min(Size, Size / 4 + 1);
  AddUpTo(Size - ForOtherZones,
          [](const Ranked &Candidate) { return Candidate.SameZone; });
  AddUpTo(Size, [](const Ranked &Candidate) { return !Candidate.SameZone; });
  AddUpTo(Size, [](const Ranked &) { return true; });
  return Chosen;
}

} // namespace figlift::route
