//===- RecentPrefixes.h - Prefixes sent to one target -----------*- C++ -*-===//
//
// A target's summary of its cache is late. Until it arrives, requests with the
// same beginning would be scattered, each computed anew and each pushing
// something else out of a cache; one would see hit rates near those of random
// routing. So an entry remembers which blocks it sent where.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <span>

namespace figlift::route {

/// Direct-mapped and lock-free: a colliding hash overwrites, and a lost entry
/// costs no more than a missed saving.
class RecentPrefixes {
public:
  void add(std::span<const uint64_t> Hashes);
  bool contains(uint64_t Hash) const;
  /// The target has lost its cache.
  void clear();

private:
  static constexpr size_t Slots = 4096;

  /// 0 is an empty slot; a hash of 0 is never remembered.
  std::array<std::atomic<uint64_t>, Slots> m_Slots{};
};

} // namespace figlift::route
