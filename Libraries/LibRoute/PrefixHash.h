//===- PrefixHash.h - Hashes of the leading blocks of a prompt --*- C++ -*-===//
//
// A prefix of a prompt is identified by the hash of its last whole block, which
// is chained over the blocks before it: equal hashes mean equal prefixes.
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
/// Limits hashing to the first 128 Ki tokens.
inline constexpr size_t MaximumPrefixBlocks = 512;

/// Returns the XXH64 of each whole block, seeded with the hash of the block
/// before it (the first with 0). A trailing partial block is not hashed.
std::vector<uint64_t> prefixHashes(std::string_view Prompt,
                                   size_t MaximumBlocks = MaximumPrefixBlocks);

/// Bounded set of the hashes of blocks in a target's cache.
class PrefixSummary {
public:
  PrefixSummary() = default;
  /// Keeps the first \p Maximum of \p Hashes, which are ordered most recent
  /// first.
  explicit PrefixSummary(std::span<const uint64_t> Hashes,
                         size_t Maximum = 4096);

  bool contains(uint64_t Hash) const;
  /// Returns the number of leading blocks of a prompt that are cached.
  size_t matchingBlocks(std::span<const uint64_t> PromptHashes) const;
  size_t size() const { return m_Hashes.size(); }

private:
  /// Ascending, without duplicates.
  std::vector<uint64_t> m_Hashes;
};

} // namespace figlift::route
