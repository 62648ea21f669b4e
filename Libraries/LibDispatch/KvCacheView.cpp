//===- KvCacheView.cpp - What an engine keeps, as far as known ------------===//
//
// Least recently used order, by tokens.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvCacheView.h"

namespace figlift::dispatch {

void KvCacheView::setCapacity(uint64_t Tokens) {
  m_Capacity = Tokens;
  shrink();
}

void KvCacheView::insert(const PromptPart &Part) {
  if (const auto Found = m_Index.find(Part.Id); Found != m_Index.end()) {
    m_Parts.splice(m_Parts.begin(), m_Parts, Found->second);
    return;
  }
  m_Parts.push_front(Part);
  m_Index[Part.Id] = m_Parts.begin();
  m_Used += Part.Tokens;
  shrink();
}

void KvCacheView::shrink() {
  while (m_Used > m_Capacity && !m_Parts.empty()) {
    m_Used -= m_Parts.back().Tokens;
    m_Index.erase(m_Parts.back().Id);
    m_Parts.pop_back();
  }
}

uint32_t KvCacheView::cachedTokens(const Prompt &What) const {
  uint32_t Cached = 0;
  for (const PromptPart &Part : What.Parts) {
    if (!holds(Part.Id))
      break;
    Cached += Part.Tokens;
  }
  return Cached;
}

void KvCacheView::clear() {
  m_Parts.clear();
  m_Index.clear();
  m_Used = 0;
}

} // namespace figlift::dispatch
