//===- EventRelay.cpp - Forwards complete events of a stream --------------===//
//
// Splits at blank lines and reads the "id" field of each event.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EventRelay.h"

#include <charconv>
#include <utility>

namespace figlift::dispatch {

namespace {

/// The end of the event that begins at \p Begin, including its blank line.
size_t endOfEvent(std::string_view Text, size_t Begin) {
  const size_t LineFeeds = Text.find("\n\n", Begin);
  const size_t CarriageReturns = Text.find("\r\n\r\n", Begin);
  if (LineFeeds == std::string_view::npos &&
      CarriageReturns == std::string_view::npos)
    return std::string_view::npos;
  if (LineFeeds < CarriageReturns)
    return LineFeeds + 2;
  return CarriageReturns + 4;
}

std::optional<uint64_t> eventNumber(std::string_view Event) {
  while (!Event.empty()) {
    const std::string_view Line = Event.substr(0, Event.find('\n'));
    Event.remove_prefix(std::min(Line.size() + 1, Event.size()));
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

} // namespace

bool EventRelay::accept(std::string_view Event) {
  const auto Number = eventNumber(Event);
  if (!Number)
    return true;
  if (m_Last && *Number <= *m_Last)
    return false;
  m_Last = Number;
  ++m_Events;
  return true;
}

std::string EventRelay::feed(std::string_view Bytes) {
  m_Incomplete += Bytes;
  std::string Complete;
  size_t Begin = 0;
  for (size_t End = endOfEvent(m_Incomplete, Begin); End != std::string::npos;
       End = endOfEvent(m_Incomplete, Begin)) {
    const std::string_view Event =
        std::string_view(m_Incomplete).substr(Begin, End - Begin);
    if (accept(Event))
      Complete += Event;
    Begin = End;
  }
  m_Incomplete.erase(0, Begin);
  return Complete;
}

std::string EventRelay::finish() { return std::exchange(m_Incomplete, {}); }

} // namespace figlift::dispatch
