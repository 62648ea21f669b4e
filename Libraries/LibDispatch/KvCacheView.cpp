//===- KvCacheView.cpp - What an engine keeps, as far as known ------------===//
//
// Least recently used order, by tokens.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvCacheView.h"

#include <iterator>

namespace figlift::dispatch {

namespace {

/// Tokens of the leading parts that \p Counts accepts.
template <typename Accept>
uint32_t leadingTokens(const Prompt &What, Accept Counts) {
  uint32_t Sum = 0;
  for (const PromptPart &Part : What.Parts) {
    if (!Counts(Part.Id))
      break;
    Sum += Part.Tokens;
  }
  return Sum;
}

} // namespace

void KvCacheView::setCapacity(uint64_t Tokens) {
  m_Capacity = Tokens;
  shrink();
}

void KvCacheView::add(const PromptPart &Part,
                      std::optional<BootTime> ComesUntil) {
  m_Parts.push_front({Part, ComesUntil});
  m_Index[Part.Id] = m_Parts.begin();
  m_Used += Part.Tokens;
  shrink();
}

void KvCacheView::insert(const PromptPart &Part) {
  const auto Found = m_Index.find(Part.Id);
  if (Found == m_Index.end())
    return add(Part, std::nullopt);
  Found->second->ComesUntil.reset();
  m_Parts.splice(m_Parts.begin(), m_Parts, Found->second);
}

void KvCacheView::expect(const PromptPart &Part, BootTime Until) {
  const auto Found = m_Index.find(Part.Id);
  if (Found == m_Index.end())
    return add(Part, Until);
  // One that is there stays there.
  if (Found->second->ComesUntil)
    Found->second->ComesUntil = Until;
}

void KvCacheView::abandon(uint64_t PartId) {
  const auto Found = m_Index.find(PartId);
  if (Found != m_Index.end() && Found->second->ComesUntil)
    remove(Found->second);
}

void KvCacheView::remove(Entries::iterator Which) {
  m_Used -= Which->Part.Tokens;
  m_Index.erase(Which->Part.Id);
  m_Parts.erase(Which);
}

void KvCacheView::shrink() {
  while (m_Used > m_Capacity && !m_Parts.empty())
    remove(std::prev(m_Parts.end()));
}

bool KvCacheView::holds(uint64_t PartId) const {
  const auto Found = m_Index.find(PartId);
  return Found != m_Index.end() && !Found->second->ComesUntil;
}

uint32_t KvCacheView::cachedTokens(const Prompt &What) const {
  return leadingTokens(What, [&](uint64_t Id) { return holds(Id); });
}

uint32_t KvCacheView::cachedTokensInTurn(const Prompt &What,
                                         BootTime Now) const {
  return leadingTokens(What, [&](uint64_t Id) {
    const auto Found = m_Index.find(Id);
    return Found != m_Index.end() &&
           Now < Found->second->ComesUntil.value_or(BootTime::max());
  });
}

void KvCacheView::clear() {
  m_Parts.clear();
  m_Index.clear();
  m_Used = 0;
}

} // namespace figlift::dispatch
