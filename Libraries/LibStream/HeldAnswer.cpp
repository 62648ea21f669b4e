//===- HeldAnswer.cpp - Buffered tokens of an answer ----------------------===//
//
// Stores one string and the end offsets of the tokens: five to ten bytes per
// token, while a vector of strings would take at least 32.
//
//===----------------------------------------------------------------------===//

#include "LibStream/HeldAnswer.h"

namespace figlift::stream {

void HeldAnswer::append(std::string_view Text) {
  m_Text.append(Text);
  m_Ends.push_back(static_cast<uint32_t>(m_Text.size()));
}

size_t HeldAnswer::textOffsetOf(uint32_t Index) const {
  return Index == m_Begin ? 0 : m_Ends[Index - m_Begin - 1];
}

TokenRange HeldAnswer::tokensFrom(uint32_t FirstIndex) const {
  return {FirstIndex, end() - FirstIndex,
          m_Text.substr(textOffsetOf(FirstIndex))};
}

size_t HeldAnswer::discardBefore(uint32_t Index) {
  if (Index <= m_Begin)
    return 0;
  const size_t Before = bytes();
  const auto Discarded = static_cast<uint32_t>(textOffsetOf(Index));
  m_Text.erase(0, Discarded);
  m_Ends.erase(m_Ends.begin(), m_Ends.begin() + (Index - m_Begin));
  for (uint32_t &End : m_Ends)
    End -= Discarded;
  m_Begin = Index;
  return Before - bytes();
}

} // namespace figlift::stream
