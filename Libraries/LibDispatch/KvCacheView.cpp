//===- KvCacheView.cpp - Estimated content of a KV cache ------------------===//
//
// LRU cache with a capacity in tokens.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvCacheView.h"

#include <iterator>

namespace figlift::dispatch {

namespace {

/// Number of tokens in the leading parts that \p IsCached accepts.
template <typename Predicate>
uint32_t leadingTokens(const Prompt &Input, Predicate IsCached) {
  uint32_t Sum = 0;
  for (const PromptPart &Part : Input.Parts) {
    if (!IsCached(Part.Id))
      break;
    Sum += Part.Tokens;
  }
  return Sum;
}

} // namespace

void KvCacheView::setCapacity(uint64_t Tokens) {
  m_Capacity = Tokens;
  evictToCapacity();
}

void KvCacheView::add(const PromptPart &Part,
                      std::optional<BootTime> PendingUntil) {
  m_Parts.push_front({Part, PendingUntil});
  m_Index[Part.Id] = m_Parts.begin();
  m_Used += Part.Tokens;
  evictToCapacity();
}

void KvCacheView::insert(const PromptPart &Part) {
  const auto Found = m_Index.find(Part.Id);
  if (Found == m_Index.end())
    return add(Part, std::nullopt);
  Found->second->PendingUntil.reset();
  m_Parts.splice(m_Parts.begin(), m_Parts, Found->second);
}

void KvCacheView::addPending(const PromptPart &Part, BootTime Until) {
  const auto Found = m_Index.find(Part.Id);
  if (Found == m_Index.end())
    return add(Part, Until);
  // A cached part stays cached.
  if (Found->second->PendingUntil)
    Found->second->PendingUntil = Until;
}

void KvCacheView::removePending(uint64_t PartId) {
  const auto Found = m_Index.find(PartId);
  if (Found != m_Index.end() && Found->second->PendingUntil)
    remove(Found->second);
}

void KvCacheView::remove(Entries::iterator Position) {
  m_Used -= Position->Part.Tokens;
  m_Index.erase(Position->Part.Id);
  m_Parts.erase(Position);
}

void KvCacheView::evictToCapacity() {
  while (m_Used > m_Capacity && !m_Parts.empty())
    remove(std::prev(m_Parts.end()));
}

bool KvCacheView::contains(uint64_t PartId) const {
  const auto Found = m_Index.find(PartId);
  return Found != m_Index.end() && !Found->second->PendingUntil;
}

uint32_t KvCacheView::cachedTokens(const Prompt &Input) const {
  return leadingTokens(Input, [&](uint64_t Id) { return contains(Id); });
}

uint32_t KvCacheView::cachedTokensWithPending(const Prompt &Input,
                                              BootTime Now) const {
  return leadingTokens(Input, [&](uint64_t Id) {
    const auto Found = m_Index.find(Id);
    return Found != m_Index.end() &&
           Now < Found->second->PendingUntil.value_or(BootTime::max());
  });
}

void KvCacheView::clear() {
  m_Parts.clear();
  m_Index.clear();
  m_Used = 0;
}

} // namespace figlift::dispatch
