//===- PrefixCache.h - Prefixes that the engine likely holds ----*- C++ -*-===//
//
// The agent's summary of its engine's prefix cache: what it sent, most recent
// first, bounded. The engine's own events come late and with gaps, so they
// only correct the summary.
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
  explicit PrefixCache(size_t Maximum = 2048) : m_Maximum(Maximum) {}

  /// Hashes of one prompt, from its beginning.
  void used(const std::vector<uint64_t> &Hashes);
  void evicted(uint64_t Hash);
  /// The engine restarted.
  void clear();
  /// How many leading blocks are likely cached.
  size_t matching(const std::vector<uint64_t> &Hashes) const;
  /// Most recent first, at most \p Count.
  std::vector<uint64_t> recent(size_t Count) const;

private:
  const size_t m_Maximum;
  /// Most recently used first.
  std::list<uint64_t> m_Order;
  /// Where each hash stands in m_Order.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_Places;
};

} // namespace figlift::agent
