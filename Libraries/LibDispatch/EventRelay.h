//===- EventRelay.h - Forwards complete events of a stream ------*- C++ -*-===//
//
// Receives the bytes of a server's event stream and returns complete events. A
// server that fails may stop in the middle of an event; only events that end
// with a blank line are forwarded, so that another server can resume the stream
// and the caller gets every event exactly once. Events that the caller already
// has are dropped.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figlift::dispatch {

class EventRelay {
public:
  /// \p After is the last event that the caller received in an earlier attempt.
  explicit EventRelay(std::optional<uint64_t> After = std::nullopt)
      : m_Last(After) {}

  /// Returns the bytes to forward.
  std::string feed(std::string_view Bytes);
  /// Another server resumes the stream: discards the incomplete event.
  void restart() { m_Incomplete.clear(); }
  /// The stream has ended normally. Returns the bytes after the last blank
  /// line.
  std::string finish();

  std::optional<uint64_t> lastEvent() const { return m_Last; }
  uint64_t events() const { return m_Events; }
  /// Bytes received after the last complete event.
  size_t incompleteBytes() const { return m_Incomplete.size(); }

private:
  bool accept(std::string_view Event);

  std::string m_Incomplete;
  std::optional<uint64_t> m_Last;
  uint64_t m_Events = 0;
};

} // namespace figlift::dispatch
