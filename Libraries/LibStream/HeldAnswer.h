//===- HeldAnswer.h - Buffered tokens of an answer --------------*- C++ -*-===//
//
// The text of an answer with the end offset of each token. Readers can be
// served from any token index that is still buffered.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::stream {

/// Consecutive tokens, as sent to a reader.
struct TokenRange {
  uint32_t FirstIndex = 0;
  uint32_t Count = 0;
  std::string Text;
};

class HeldAnswer {
public:
  explicit HeldAnswer(uint32_t FirstIndex = 0) : m_Begin(FirstIndex) {}

  /// Index of the oldest buffered token.
  uint32_t begin() const { return m_Begin; }
  /// Index of the next token to be appended.
  uint32_t end() const {
    return m_Begin + static_cast<uint32_t>(m_Ends.size());
  }
  /// Memory that counts toward the limit of the store.
  size_t bytes() const {
    return m_Text.size() + m_Ends.size() * sizeof(uint32_t);
  }

  void append(std::string_view Text);
  /// Returns the tokens from \p FirstIndex, which must be in [begin(), end()],
  /// to the end.
  TokenRange tokensFrom(uint32_t FirstIndex) const;
  /// Discards the tokens before \p Index; returns the number of freed bytes.
  size_t discardBefore(uint32_t Index);

private:
  size_t textOffsetOf(uint32_t Index) const;

  uint32_t m_Begin;
  std::string m_Text;
  /// m_Ends[i] is the end offset of token m_Begin + i in m_Text; ascending.
  std::vector<uint32_t> m_Ends;
};

} // namespace figlift::stream
