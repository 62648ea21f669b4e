//===- AcceptControl.h - Whether new connections are read -------*- C++ -*-===//
//
// A process that reads more requests than it can serve answers all of them too
// late: each waits for the event loop several times, behind all others. A
// request that was not read costs its caller little, as it tries another
// gateway. While the event loop is late, new connections are therefore closed
// unread. Connections that exist are served as before.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace figlift::dispatch {

class AcceptControl {
public:
  /// \p Delay is how late the event loop was at a regular check of the clock.
  void recordDelay(BootClock::duration Delay) {
    mayRead(Delay);
    m_WasLate = Delay > RecoveredDelay;
    m_Overloaded = m_Overloaded && m_WasLate;
  }
  /// Whether a new connection may be read. \p Delay is how late the next check
  /// is by now.
  bool mayRead(BootClock::duration Delay) {
    // A process that stood still once has time for what came meanwhile.
    if (Delay > MaximumDelay && m_WasLate)
      m_Overloaded = true;
    return !m_Overloaded;
  }
  void recordClosed() {
    ++m_Closed;
    ++m_ClosedSinceTaken;
  }
  /// Connections that were closed unread.
  uint64_t closed() const { return m_Closed; }
  /// The same since the last call.
  uint64_t takeClosed() { return std::exchange(m_ClosedSinceTaken, 0); }

private:
  /// Longer than the pauses of a process that gets its share of a processor in
  /// each tenth of a second.
  static constexpr std::chrono::milliseconds MaximumDelay{100};
  static constexpr std::chrono::milliseconds RecoveredDelay{50};

  /// The last check was late, too.
  bool m_WasLate = false;
  bool m_Overloaded = false;
  uint64_t m_Closed = 0;
  uint64_t m_ClosedSinceTaken = 0;
};

} // namespace figlift::dispatch
