//===- Subset.cpp - Rendezvous hashing --------------------------*- C++ -*-===//
//
// Rendezvous weights and the choice of an entry's connections.
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
  bool Held;
  bool SameZone;
  uint64_t Weight;
};

/// Whether \p Entry is among the \p Holders best entries for \p Target.
bool mustHold(std::string_view Entry, std::string_view Target,
              std::span<const std::string> Entries, size_t Holders) {
  const uint64_t Key = rendezvousKey(Target);
  const uint64_t Own = rendezvousWeight(Key, Entry);
  const auto Better = std::ranges::count_if(Entries, [&](const auto &Other) {
    return rendezvousWeight(Key, Other) > Own;
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
    All.push_back(
        {&Target,
         !Entries.empty() && mustHold(Entry, Target.Id, Entries, Holders),
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
  const auto Take = [&](size_t Limit, auto Wanted) {
    for (const Ranked &One : All)
      if (Chosen.size() < Limit && Wanted(One) &&
          std::ranges::find(Chosen, One.Member->Id) == Chosen.end())
        Chosen.push_back(One.Member->Id);
  };
  // Those held for the sake of covering may exceed Size: an entry that dropped
  // one would leave a target that nobody sends work to.
  Take(All.size(), [](const Ranked &One) { return One.Held; });
  const size_t ForOtherZones = std::min(Size, Size / 4 + 1);
  Take(Size - ForOtherZones, [](const Ranked &One) { return One.SameZone; });
  Take(Size, [](const Ranked &One) { return !One.SameZone; });
  Take(Size, [](const Ranked &) { return true; });
  return Chosen;
}

} // namespace figlift::route
