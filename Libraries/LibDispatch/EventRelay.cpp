//===- EventRelay.cpp - Forwards whole events of a stream -----------------===//
//
// Splits at blank lines and reads the "id" field of each event.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EventRelay.h"

#include <charconv>
#include <utility>

namespace figlift::dispatch {

namespace {

/// Where the event that begins at \p From ends, its blank line included.
size_t endOfEvent(std::string_view Text, size_t From) {
  const size_t Plain = Text.find("\n\n", From);
  const size_t Returns = Text.find("\r\n\r\n", From);
  if (Plain == std::string_view::npos && Returns == std::string_view::npos)
    return std::string_view::npos;
  if (Plain < Returns)
    return Plain + 2;
  return Returns + 4;
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
  m_Rest += Bytes;
  std::string Whole;
  size_t Begin = 0;
  for (size_t End = endOfEvent(m_Rest, Begin); End != std::string::npos;
       End = endOfEvent(m_Rest, Begin)) {
    const std::string_view Event =
        std::string_view(m_Rest).substr(Begin, End - Begin);
    if (accept(Event))
      Whole += Event;
    Begin = End;
  }
  m_Rest.erase(0, Begin);
  return Whole;
}

std::string EventRelay::finish() { return std::exchange(m_Rest, {}); }

} // namespace figlift::dispatch
