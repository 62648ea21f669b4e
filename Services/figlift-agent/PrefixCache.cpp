//===- PrefixCache.cpp - Prefixes that the engine likely holds ------------===//
//
// A list in order of use with an index.
//
//===----------------------------------------------------------------------===//

#include "PrefixCache.h"

namespace figlift::agent {

void PrefixCache::used(const std::vector<uint64_t> &Hashes) {
  // Backwards, so that the beginning of a prompt is the most recent one and
  // goes last: a block without those before it is useless.
  for (auto At = Hashes.rbegin(); At != Hashes.rend(); ++At) {
    evicted(*At);
    m_Order.push_front(*At);
    m_Places[*At] = m_Order.begin();
  }
  while (m_Order.size() > m_Maximum)
    evicted(uint64_t(m_Order.back()));
}

void PrefixCache::evicted(uint64_t Hash) {
  const auto Found = m_Places.find(Hash);
  if (Found == m_Places.end())
    return;
  m_Order.erase(Found->second);
  m_Places.erase(Found);
}

void PrefixCache::clear() {
  m_Order.clear();
  m_Places.clear();
}

size_t PrefixCache::matching(const std::vector<uint64_t> &Hashes) const {
  size_t Count = 0;
  while (Count < Hashes.size() && m_Places.contains(Hashes[Count]))
    ++Count;
  return Count;
}

std::vector<uint64_t> PrefixCache::recent(size_t Count) const {
  std::vector<uint64_t> Out;
  for (auto At = m_Order.begin(); At != m_Order.end() && Out.size() < Count;
       ++At)
    Out.push_back(*At);
  return Out;
}

} // namespace figlift::agent
