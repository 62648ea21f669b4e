//===- EventRelay.h - Forwards complete events of a stream ------*- C++ -*-===//
//
// Receives the bytes of a server's event stream and returns complete events. A
// server that fails may stop in the middle of an event; only events that end
// with a blank line are forwarded, so that another server can resume the stream
// and the caller gets every event exactly once. Events that the caller already
// has are dropped.
//
// Lines end with LF, CR or CR LF, in any mixture, as the standard of event
// streams allows.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figlift::dispatch {

/// Where a server's stream of events ended.
enum class StreamEnd {
  AfterEvent,
  /// The server broke off, whatever the framing of the stream says.
  InsideEvent,
  /// No event came.
  WithoutEvent,
};

class EventRelay {
public:
  /// \p After is the last event that the caller received in an earlier attempt.
  explicit EventRelay(std::optional<uint64_t> After = std::nullopt)
      : m_Last(After) {}

  /// Returns the bytes to forward.
  std::string feed(std::string_view Bytes);
  /// Another server resumes the stream: discards the incomplete event.
  void restart();
  /// Where the server's stream has ended if nothing more comes.
  StreamEnd end() const;

  std::optional<uint64_t> lastEvent() const { return m_Last; }
  uint64_t events() const { return m_Events; }
  /// Bytes received after the last complete event.
  size_t incompleteBytes() const { return m_Incomplete.size(); }

private:
  bool endsEvent(char Next);
  void takeEvent(size_t Size, std::string &Complete);
  bool accept(std::string_view Event);

  std::string m_Incomplete;
  /// Bytes of m_Incomplete that have been examined.
  size_t m_Examined = 0;
  /// The current line has no character yet.
  bool m_LineEmpty = true;
  /// The previous line ended with CR; an LF that follows is part of its end.
  bool m_AfterCarriageReturn = false;
  /// A blank line ended with CR; the LF of a CR LF may follow.
  bool m_BlankLineOpen = false;
  /// The stream of the current server has brought an event.
  bool m_HasEvent = false;
  std::optional<uint64_t> m_Last;
  uint64_t m_Events = 0;
};

} // namespace figlift::dispatch
