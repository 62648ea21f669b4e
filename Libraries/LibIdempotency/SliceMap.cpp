//===- SliceMap.cpp - Assignment of slices to homes -----------------------===//
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

std::optional<MoveReason> moveReason(const Grant &Current,
                                     std::span<const std::string> Serving,
                                     std::span<const std::string> Leaving,
                                     std::span<const std::string> Gone) {
  if (Current.Home.empty())
    return Current.Epoch == 0 ? MoveReason::Initial : MoveReason::Takeover;
  if (contains(Serving, Current.Home) || contains(Leaving, Current.Home))
    return MoveReason::Handover;
  if (contains(Gone, Current.Home))
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

std::vector<Move> SliceMap::plan(const GrantTable &Current,
                                 std::span<const std::string> Serving,
                                 std::span<const std::string> Leaving,
                                 std::span<const std::string> Gone) {
  std::vector<Move> Moves;
  if (Serving.empty())
    return Moves;
  for (SliceId Slice = 0; Slice != SliceCount; ++Slice) {
    const Grant &Grant = Current[Slice];
    std::string Home = preferredHome(Slice, Serving);
    if (Grant.Home == Home)
      continue;
    auto Reason = moveReason(Grant, Serving, Leaving, Gone);
    if (!Reason)
      continue;
    uint64_t Epoch = *Reason == MoveReason::Initial ? 1
                     : *Reason == MoveReason::Handover
                         ? 0
                         : nextTakeoverEpoch(Grant.Epoch);
    Moves.push_back({Slice, Grant.Home, Home, Epoch, *Reason});
  }
  return Moves;
}

} // namespace figlift::idempotency
