//===- HandledMessage.cpp - The message that a thread works on ------------===//
//
// The scopes of a thread form a list on its stack.
//
//===----------------------------------------------------------------------===//

#include "LibLog/HandledMessage.h"

#include <array>
#include <exception>

namespace figlift::log {

namespace {

thread_local HandledMessage *Innermost = nullptr;
/// See HandledMessage::failed(). Written while an exception is on its way, so
/// it must not allocate: that could throw a second one, which ends the process.
/// @{
thread_local std::array<char, 160> FailedText;
thread_local size_t FailedSize = 0;
/// @}

} // namespace

HandledMessage::HandledMessage(std::string_view Kind, std::string_view Source)
    : m_Outer(Innermost), m_Exceptions(std::uncaught_exceptions()) {
  append(Kind);
  if (!Source.empty()) {
    append(" from ");
    append(Source);
  }
  Innermost = this;
  if (m_Exceptions == 0)
    FailedSize = 0;
}

HandledMessage::~HandledMessage() {
  Innermost = m_Outer;
  static_assert(FailedText.size() == MaximumBytes);
  if (std::uncaught_exceptions() <= m_Exceptions || FailedSize > 0)
    return;
  FailedText = m_Text;
  FailedSize = m_Size;
}

void HandledMessage::append(std::string_view Part) {
  for (const char Byte : Part.substr(0, MaximumBytes - m_Size))
    m_Text[m_Size++] = printableByte(Byte);
}

std::string_view HandledMessage::current() {
  return Innermost
             ? std::string_view(Innermost->m_Text.data(), Innermost->m_Size)
             : std::string_view();
}

std::string_view HandledMessage::failed() {
  return {FailedText.data(), FailedSize};
}

} // namespace figlift::log
