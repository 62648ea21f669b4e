//===- PrefixCache.cpp - Estimate of the engine's prefix cache ------------===//
//
// An LRU list with an index.
//
//===----------------------------------------------------------------------===//

#include "PrefixCache.h"

namespace figlift::agent {

void PrefixCache::used(const std::vector<uint64_t> &Hashes) {
  // In reverse order, so that the first block of the prompt becomes the most
  // recently used and is evicted last: a cached block is useless without the
  // blocks before it.
  for (auto Position = Hashes.rbegin(); Position != Hashes.rend(); ++Position) {
    evicted(*Position);
    m_Hashes.push_front(*Position);
    m_Positions[*Position] = m_Hashes.begin();
  }
  while (m_Hashes.size() > m_MaximumHashes)
    evicted(uint64_t(m_Hashes.back()));
}

void PrefixCache::evicted(uint64_t Hash) {
  const auto Found = m_Positions.find(Hash);
  if (Found == m_Positions.end())
    return;
  m_Hashes.erase(Found->second);
  m_Positions.erase(Found);
}

void PrefixCache::clear() {
  m_Hashes.clear();
  m_Positions.clear();
}

size_t PrefixCache::matching(const std::vector<uint64_t> &Hashes) const {
  size_t Count = 0;
  while (Count < Hashes.size() && m_Positions.contains(Hashes[Count]))
    ++Count;
  return Count;
}

std::vector<uint64_t> PrefixCache::recent(size_t Count) const {
  std::vector<uint64_t> Result;
  for (auto Position = m_Hashes.begin();
       Position != m_Hashes.end() && Result.size() < Count; ++Position)
    Result.push_back(*Position);
  return Result;
}

} // namespace figlift::agent
