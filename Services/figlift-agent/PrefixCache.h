//===- PrefixCache.h - Estimate of the engine's prefix cache ----*- C++ -*-===//
//
// Bounded LRU list of the prompt blocks that the agent sent to the engine. The
// engine's cache events arrive late and with gaps, so they only remove blocks
// that the engine evicted.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace figlift::agent {

class PrefixCache {
public:
  explicit PrefixCache(size_t MaximumHashes = 2048)
      : m_MaximumHashes(MaximumHashes) {}

  /// Marks the blocks of a prompt as most recently used; \p Hashes are in the
  /// order of the prompt.
  void used(const std::vector<uint64_t> &Hashes);
  void evicted(uint64_t Hash);
  /// Call it when the engine has restarted.
  void clear();
  /// Number of leading blocks that are likely cached.
  size_t matching(const std::vector<uint64_t> &Hashes) const;
  /// Most recent first, at most \p Count.
  std::vector<uint64_t> recent(size_t Count) const;

private:
  const size_t m_MaximumHashes;
  /// Most recently used first.
  std::list<uint64_t> m_Hashes;
  /// Position of each hash in m_Hashes.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_Positions;
};

} // namespace figlift::agent
