//===- PrefixHash.cpp - Hashes of the leading blocks of a prompt ----------===//
//
// Chained XXH64, and the bounded set of hashes.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/PrefixHash.h"

#include <algorithm>
#include <xxhash.h>

namespace figlift::route {

std::vector<uint64_t> prefixHashes(std::string_view Prompt,
                                   size_t MaximumBlocks) {
  const size_t Blocks =
      std::min(Prompt.size() / PrefixBlockBytes, MaximumBlocks);
  std::vector<uint64_t> Hashes;
  Hashes.reserve(Blocks);
  uint64_t Seed = 0;
  for (size_t I = 0; I < Blocks; ++I) {
    Seed = XXH64(Prompt.data() + I * PrefixBlockBytes, PrefixBlockBytes, Seed);
    Hashes.push_back(Seed);
  }
  return Hashes;
}

PrefixSummary::PrefixSummary(std::span<const uint64_t> Hashes, size_t Maximum) {
  const auto MostRecent = Hashes.first(std::min(Hashes.size(), Maximum));
  m_Hashes.assign(MostRecent.begin(), MostRecent.end());
  std::ranges::sort(m_Hashes);
  m_Hashes.erase(std::unique(m_Hashes.begin(), m_Hashes.end()), m_Hashes.end());
}

bool PrefixSummary::contains(uint64_t Hash) const {
  return std::ranges::binary_search(m_Hashes, Hash);
}

size_t
PrefixSummary::matchingBlocks(std::span<const uint64_t> PromptHashes) const {
  // Hashes are chained, so a cached block implies all blocks before it, even if
  // a lost cache event left a gap between them.
  for (size_t I = PromptHashes.size(); I > 0; --I)
    if (contains(PromptHashes[I - 1]))
      return I;
  return 0;
}

} // namespace figlift::route
