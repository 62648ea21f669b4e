//===- HeldAnswer.cpp - Tokens of one answer so far -----------------------===//
//
// One text and the ends of its tokens: five to ten bytes a token, where a
// vector of strings would take at least 32.
//
//===----------------------------------------------------------------------===//

#include "LibStream/HeldAnswer.h"

namespace figlift::stream {

void HeldAnswer::append(std::string_view Text) {
  m_Text.append(Text);
  m_Ends.push_back(static_cast<uint32_t>(m_Text.size()));
}

size_t HeldAnswer::offsetOf(uint32_t Index) const {
  return Index == m_Begin ? 0 : m_Ends[Index - m_Begin - 1];
}

TokenRange HeldAnswer::from(uint32_t From) const {
  return {From, end() - From, m_Text.substr(offsetOf(From))};
}

size_t HeldAnswer::forgetBefore(uint32_t Index) {
  if (Index <= m_Begin)
    return 0;
  const size_t Before = bytes();
  const auto Cut = static_cast<uint32_t>(offsetOf(Index));
  m_Text.erase(0, Cut);
  m_Ends.erase(m_Ends.begin(), m_Ends.begin() + (Index - m_Begin));
  for (uint32_t &End : m_Ends)
    End -= Cut;
  m_Begin = Index;
  return Before - bytes();
}

} // namespace figlift::stream
