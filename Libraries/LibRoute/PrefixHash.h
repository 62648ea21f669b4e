//===- PrefixHash.h - Hashes of the leading blocks of a prompt --*- C++ -*-===//
//
// A prompt's prefix is known by the hash of its last whole block, chained over
// the blocks before it: equal hashes mean equal text from the beginning.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace figlift::route {

inline constexpr size_t PrefixBlockBytes = 1024;
inline constexpr uint32_t BytesPerToken = 4;
inline constexpr uint32_t PrefixBlockTokens = PrefixBlockBytes / BytesPerToken;
/// Blocks hashed at most: 128 Ki tokens.
inline constexpr size_t MaximumPrefixBlocks = 512;

/// XXH64 of each whole block, seeded with the hash of the block before it (the
/// first with 0). A last part shorter than a block has no hash.
std::vector<uint64_t> prefixHashes(std::string_view Prompt,
                                   size_t MaximumBlocks = MaximumPrefixBlocks);

/// Bounded set of block hashes that a target holds in its cache.
class PrefixSummary {
public:
  PrefixSummary() = default;
  /// Keeps the first \p Maximum of \p Hashes, which come most recent first.
  explicit PrefixSummary(std::span<const uint64_t> Hashes,
                         size_t Maximum = 4096);

  bool contains(uint64_t Hash) const;
  /// How many leading blocks of a prompt are held.
  size_t matchingBlocks(std::span<const uint64_t> PromptHashes) const;
  size_t size() const { return m_Hashes.size(); }

private:
  /// Ascending, without duplicates.
  std::vector<uint64_t> m_Hashes;
};

} // namespace figlift::route
