//===- PrefixCache.cpp - Cached blocks of prompt prefixes -----------------===//
//
// Pins, eviction and the event log.
//
//===----------------------------------------------------------------------===//

#include "PrefixCache.h"

#include <xxhash.h>

#include <algorithm>

namespace figlift::standin {

namespace {

constexpr size_t KeptEvents = 16384;
constexpr size_t EventsPerAnswer = 1000;

} // namespace

std::vector<uint64_t> hashBlocks(std::string_view Prompt, uint64_t Tokens) {
  constexpr size_t BlockBytes = BlockTokens * BytesPerToken;
  std::vector<uint64_t> Hashes;
  uint64_t Previous = 0;
  for (uint64_t Index = 0; Index < Tokens / BlockTokens; ++Index) {
    const size_t Begin = std::min(Prompt.size(), Index * BlockBytes);
    const std::string_view Bytes = Prompt.substr(Begin, BlockBytes);
    Previous = XXH64(Bytes.data(), Bytes.size(), Previous);
    Hashes.push_back(Previous);
  }
  return Hashes;
}

void PrefixCache::pin(Block &Pinned) {
  if (Pinned.Pins++ == 0)
    m_Unpinned.erase(Pinned.Place);
}

size_t PrefixCache::pinPrefix(const std::vector<uint64_t> &Hashes) {
  size_t Count = 0;
  for (const uint64_t Hash : Hashes) {
    const auto Found = m_Blocks.find(Hash);
    if (Found == m_Blocks.end())
      break;
    pin(Found->second);
    ++Count;
  }
  return Count;
}

void PrefixCache::store(uint64_t Hash) {
  const auto [Place, Inserted] = m_Blocks.try_emplace(Hash);
  if (!Inserted)
    return pin(Place->second);
  Place->second.Pins = 1;
  record(Hash, true);
}

void PrefixCache::unpin(const std::vector<uint64_t> &Hashes, size_t Count) {
  // Last block first: a block is of no use once the one before it has gone.
  for (size_t Index = Count; Index-- > 0;) {
    Block &Unpinned = m_Blocks.at(Hashes[Index]);
    if (--Unpinned.Pins == 0)
      Unpinned.Place = m_Unpinned.insert(m_Unpinned.end(), Hashes[Index]);
  }
}

bool PrefixCache::evictOne() {
  if (m_Unpinned.empty())
    return false;
  const uint64_t Hash = m_Unpinned.front();
  m_Unpinned.pop_front();
  m_Blocks.erase(Hash);
  record(Hash, false);
  return true;
}

void PrefixCache::clear() {
  m_Blocks.clear();
  m_Unpinned.clear();
  m_Events.clear();
  m_LastSequence = 0;
}

void PrefixCache::record(uint64_t Hash, bool Stored) {
  m_Events.push_back(
      {std::chrono::steady_clock::now(), ++m_LastSequence, Hash, Stored});
  if (m_Events.size() > KeptEvents)
    m_Events.pop_front();
}

Json PrefixCache::events(uint64_t Sequence, std::chrono::microseconds Lag,
                         uint64_t Gap) const {
  const auto Horizon = std::chrono::steady_clock::now() - Lag;
  Json Found = Json::array();
  auto Next =
      std::ranges::upper_bound(m_Events, Sequence, {}, &Event::Sequence);
  for (; Next != m_Events.end() && Next->When <= Horizon; ++Next) {
    if (Found.size() == EventsPerAnswer)
      break;
    if (Gap == 0 || Next->Sequence % Gap != 0)
      Found.push_back({{"sequence", Next->Sequence},
                       {Next->Stored ? "stored" : "evicted", Next->Hash}});
  }
  return Found;
}

} // namespace figlift::standin
