//===- EventRelay.h - Forwards whole events of a stream ---------*- C++ -*-===//
//
// Takes the bytes of a server's event stream and gives back whole events. A
// server that fails may stop in the middle of an event; only what ends with a
// blank line goes to the caller, so that another server can go on after it and
// the caller sees every event once. An event that the caller has already is
// dropped.
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
  /// \p After is the last event that the caller has of an earlier attempt.
  explicit EventRelay(std::optional<uint64_t> After = std::nullopt)
      : m_Last(After) {}

  /// Bytes to forward.
  std::string feed(std::string_view Bytes);
  /// Another server goes on with the stream: what was left of an event is
  /// forgotten.
  void restart() { m_Rest.clear(); }
  /// The stream ended in order; what stands behind the last blank line.
  std::string finish();

  std::optional<uint64_t> lastEvent() const { return m_Last; }
  uint64_t events() const { return m_Events; }

private:
  bool accept(std::string_view Event);

  std::string m_Rest;
  std::optional<uint64_t> m_Last;
  uint64_t m_Events = 0;
};

} // namespace figlift::dispatch
