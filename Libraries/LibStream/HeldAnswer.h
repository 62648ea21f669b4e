//===- HeldAnswer.h - Tokens of one answer so far ---------------*- C++ -*-===//
//
// The text of one answer with the place of each token, from which any reader
// can be served at any offset that is still held.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::stream {

/// Consecutive tokens as they are sent to a reader.
struct TokenRange {
  uint32_t FirstIndex = 0;
  uint32_t Count = 0;
  std::string Text;
};

class HeldAnswer {
public:
  explicit HeldAnswer(uint32_t FirstIndex = 0) : m_Begin(FirstIndex) {}

  /// Index of the oldest token that is held.
  uint32_t begin() const { return m_Begin; }
  /// Index of the next token to come.
  uint32_t end() const {
    return m_Begin + static_cast<uint32_t>(m_Ends.size());
  }
  /// Memory that this answer is charged with.
  size_t bytes() const {
    return m_Text.size() + m_Ends.size() * sizeof(uint32_t);
  }

  void append(std::string_view Text);
  /// Tokens from \p From, which lies in [begin(), end()], to the end.
  TokenRange from(uint32_t From) const;
  /// Forgets tokens before \p Index; returns the bytes that became free.
  size_t forgetBefore(uint32_t Index);

private:
  size_t offsetOf(uint32_t Index) const;

  uint32_t m_Begin;
  std::string m_Text;
  /// m_Ends[i] is where token m_Begin + i ends in m_Text; ascending.
  std::vector<uint32_t> m_Ends;
};

} // namespace figlift::stream
