//===- HandledMessage.cpp - The message that a thread works on ------------===//
//
// The scopes of a thread form a list on its stack.
//
//===----------------------------------------------------------------------===//

#include "LibLog/HandledMessage.h"

#include <exception>
#include <string>

namespace figlift::log {

namespace {

thread_local HandledMessage *Innermost = nullptr;
/// See HandledMessage::failed().
thread_local std::string Failed;

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
    Failed.clear();
}

HandledMessage::~HandledMessage() {
  Innermost = m_Outer;
  if (std::uncaught_exceptions() > m_Exceptions && Failed.empty())
    Failed.assign(m_Text.data(), m_Size);
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

std::string_view HandledMessage::failed() { return Failed; }

} // namespace figlift::log
