//===- HandledMessage.h - The message that a thread works on ----*- C++ -*-===//
//
// A process that fails has to say which message of which sender it was working
// on. A scope names the message; the report of the failure, which may run in a
// signal handler, reads the innermost one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace figlift::log {

/// \p Byte, or '?' in place of one that JSON would have to escape.
constexpr char printableByte(char Byte) {
  const bool IsPlain =
      Byte >= ' ' && Byte <= '~' && Byte != '"' && Byte != '\\';
  return IsPlain ? Byte : '?';
}

class HandledMessage {
public:
  /// \p Kind is a constant such as "store page"; \p Source is the sender's id
  /// or address, whose first bytes are kept. Neither may hold customer data.
  HandledMessage(std::string_view Kind, std::string_view Source);
  HandledMessage(const HandledMessage &) = delete;
  HandledMessage &operator=(const HandledMessage &) = delete;
  ~HandledMessage();

  /// "KIND from SOURCE", as printable ASCII without quotes and backslashes, or
  /// an empty text. Valid until the innermost scope of this thread ends. Safe
  /// to call in a signal handler.
  static std::string_view current();
  /// The innermost scope that the latest exception has left, in the same form;
  /// empty if a scope has begun since.
  static std::string_view failed();

private:
  static constexpr size_t MaximumBytes = 160;

  void append(std::string_view Part);

  std::array<char, MaximumBytes> m_Text;
  size_t m_Size = 0;
  HandledMessage *m_Outer;
  /// Exceptions that were on their way when the scope began.
  int m_Exceptions;
};

} // namespace figlift::log
