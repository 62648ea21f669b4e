//===- RecentPrefixes.h - Prefixes sent to one target -----------*- C++ -*-===//
//
// A target reports the contents of its cache with a delay. Until the report
// arrives, requests with the same prefix would be spread over the targets, and
// each would compute the prefix again and evict another one, with hit rates
// near those of random routing. An entry therefore records which blocks it has
// sent to each target.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <span>

namespace figlift::route {

/// Direct-mapped and lock-free: a colliding hash overwrites the older one, and
/// a lost entry costs only a missed cache hit.
class RecentPrefixes {
public:
  void add(std::span<const uint64_t> Hashes);
  bool contains(uint64_t Hash) const;
  /// Removes all hashes after the target has lost its cache.
  void clear();

private:
  static constexpr size_t Slots = 4096;

  /// 0 marks an empty slot, so a hash of 0 is never found.
  std::array<std::atomic<uint64_t>, Slots> m_Slots{};
};

} // namespace figlift::route
