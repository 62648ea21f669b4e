//===- SliceMap.cpp - Which home each slice should have -------------------===//
//
// See SliceMap.h.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/SliceMap.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace figlift::idempotency {

namespace {

bool contains(std::span<const std::string> Names, const std::string &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

std::optional<MoveReason> reasonToMove(const Grant &Now,
                                       std::span<const std::string> Serving,
                                       std::span<const std::string> Leaving,
                                       std::span<const std::string> Gone) {
  if (Now.Home.empty())
    return Now.Epoch == 0 ? MoveReason::Initial : MoveReason::Takeover;
  if (contains(Serving, Now.Home) || contains(Leaving, Now.Home))
    return MoveReason::Handover;
  if (contains(Gone, Now.Home))
    return MoveReason::Takeover;
  return std::nullopt;
}

} // namespace

std::string SliceMap::preferredHome(SliceId Slice,
                                    std::span<const std::string> Homes) {
  std::string Best;
  uint64_t BestWeight = 0;
  for (const std::string &Home : Homes) {
    uint64_t Weight = XXH64(Home.data(), Home.size(), Slice + 1);
    if (Best.empty() || std::pair(Weight, Home) > std::pair(BestWeight, Best)) {
      Best = Home;
      BestWeight = Weight;
    }
  }
  return Best;
}

std::vector<Move> SliceMap::plan(const GrantTable &Now,
                                 std::span<const std::string> Serving,
                                 std::span<const std::string> Leaving,
                                 std::span<const std::string> Gone) {
  std::vector<Move> Moves;
  if (Serving.empty())
    return Moves;
  for (SliceId Slice = 0; Slice != SliceCount; ++Slice) {
    const Grant &Line = Now[Slice];
    std::string To = preferredHome(Slice, Serving);
    if (Line.Home == To)
      continue;
    auto Why = reasonToMove(Line, Serving, Leaving, Gone);
    if (!Why)
      continue;
    uint64_t Epoch = *Why == MoveReason::Initial ? 1
                     : *Why == MoveReason::Handover
                         ? 0
                         : nextTakeoverEpoch(Line.Epoch);
    Moves.push_back({Slice, Line.Home, To, Epoch, *Why});
  }
  return Moves;
}

} // namespace figlift::idempotency
