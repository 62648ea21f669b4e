//===- EventRelay.cpp - Forwards complete events of a stream --------------===//
//
// Splits at blank lines and reads the "id" field of each event.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EventRelay.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace figlift::dispatch {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view LineEnds = "\r\n";

/// Removes the first line from \p Text and returns it without its end. The LF
/// of a CR LF is left as an empty line.
std::string_view takeLine(std::string_view &Text) {
  const std::string_view Line = Text.substr(0, Text.find_first_of(LineEnds));
  Text.remove_prefix(std::min(Line.size() + 1, Text.size()));
  return Line;
}

std::optional<uint64_t> eventNumber(std::string_view Event) {
  while (!Event.empty()) {
    const std::string_view Line = takeLine(Event);
    if (!Line.starts_with("id:"))
      continue;
    std::string_view Value = Line.substr(3);
    if (Value.starts_with(' '))
      Value.remove_prefix(1);
    uint64_t Number = 0;
    const char *End = Value.data() + Value.size();
    if (std::from_chars(Value.data(), End, Number).ec == std::errc{})
      return Number;
  }
  return std::nullopt;
}

/// Whether there is more than comments and blank lines.
bool hasFields(std::string_view Event) {
  while (!Event.empty())
    if (const auto Line = takeLine(Event);
        !Line.empty() && !Line.starts_with(':'))
      return true;
  return false;
}

} // namespace

bool EventRelay::accept(std::string_view Event) {
  if (!m_HasEvent && Event.starts_with(ByteOrderMark))
    Event.remove_prefix(ByteOrderMark.size());
  m_HasEvent = m_HasEvent || hasFields(Event);
  const auto Number = eventNumber(Event);
  if (!Number)
    return true;
  if (m_Last && *Number <= *m_Last)
    return false;
  m_Last = Number;
  ++m_Events;
  return true;
}

/// Examines the next byte. Returns whether an event ends with it.
bool EventRelay::endsEvent(char Next) {
  const bool IsLineFeed = Next == '\n';
  const bool WasAfterCarriageReturn =
      std::exchange(m_AfterCarriageReturn, false);
  if (WasAfterCarriageReturn && IsLineFeed)
    return false;
  if (!IsLineFeed && Next != '\r') {
    m_LineEmpty = false;
    return false;
  }
  if (m_LineEmpty) {
    // After a CR alone, the server ends its lines with CR.
    const bool IsEnd = IsLineFeed || WasAfterCarriageReturn;
    m_BlankLineOpen = !IsEnd;
    return IsEnd;
  }
  m_LineEmpty = true;
  m_AfterCarriageReturn = !IsLineFeed;
  return false;
}

/// Moves the first \p Size bytes to \p Complete, unless the caller already has
/// this event.
void EventRelay::takeEvent(size_t Size, std::string &Complete) {
  const std::string_view Event = std::string_view(m_Incomplete).substr(0, Size);
  if (accept(Event))
    Complete += Event;
  m_Incomplete.erase(0, Size);
  m_Examined = 0;
  m_LineEmpty = true;
  m_BlankLineOpen = false;
}

std::string EventRelay::feed(std::string_view Bytes) {
  m_Incomplete += Bytes;
  std::string Complete;
  while (m_Examined < m_Incomplete.size()) {
    const char Next = m_Incomplete[m_Examined];
    if (m_BlankLineOpen) {
      takeEvent(m_Examined + (Next == '\n' ? 1 : 0), Complete);
      continue;
    }
    ++m_Examined;
    if (endsEvent(Next))
      takeEvent(m_Examined, Complete);
  }
  return Complete;
}

StreamEnd EventRelay::end() const {
  if (!m_Incomplete.empty())
    return StreamEnd::InsideEvent;
  return m_HasEvent ? StreamEnd::AfterEvent : StreamEnd::WithoutEvent;
}

void EventRelay::restart() {
  m_Incomplete.clear();
  m_Examined = 0;
  m_LineEmpty = true;
  m_AfterCarriageReturn = false;
  m_BlankLineOpen = false;
  m_HasEvent = false;
}

} // namespace figlift::dispatch
