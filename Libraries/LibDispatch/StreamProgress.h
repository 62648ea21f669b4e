//===- StreamProgress.h - Intervals between a stream's events ---*- C++ -*-===//
//
// Measures the intervals between the events of one stream as they arrive, and
// tells pauses of the server or the link from those of this process, which must
// not be taken for the pace of a target.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibEngine/EngineModel.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace figlift::dispatch {

using engine::Milliseconds;

class StreamProgress {
public:
  struct Interval {
    /// Mean time between two events.
    Milliseconds Length{0};
    uint64_t Events = 0;
    /// Whether the length says something about the target: both events came
    /// from it, and this process was not late in the meantime.
    bool IsOfTarget = true;
  };

  /// \p Events: number of events of the stream so far. \p OwnDelay: total time
  /// by which the event loop of this process has been late so far. Returns the
  /// time since the event before; empty for the first event at a server.
  std::optional<Interval>
  recordEvents(uint64_t Events, BootClock::duration OwnDelay, BootTime Now) {
    if (Events == m_Events)
      return std::nullopt;
    const uint64_t New = Events - m_Events;
    const auto Previous = m_LastAt;
    const auto Delay = OwnDelay - m_OwnDelay;
    m_Events = Events;
    m_LastAt = Now;
    m_OwnDelay = OwnDelay;
    if (!Previous)
      return std::nullopt;
    const Milliseconds Pause(Now - *Previous);
    const bool IsOwnDelay = Milliseconds(Delay) > Pause * MaximumOwnShare;
    const bool IsOfTarget =
        !IsOwnDelay && !std::exchange(m_IsOtherServer, false);
    if (Pause > m_LongestPause) {
      m_LongestPause = Pause;
      m_LongestAfter = Events - New;
      m_LongestIsOwnDelay = IsOwnDelay;
      m_LongestIsOfTarget = IsOfTarget;
    }
    m_Sum += Pause;
    m_Intervals += New;
    return Interval{Pause / static_cast<double>(New), New, IsOfTarget};
  }
  /// The next event comes from another server.
  void serverChanged() { m_IsOtherServer = true; }

  Milliseconds longestPause() const { return m_LongestPause; }
  /// Number of events before the longest pause.
  uint64_t longestPauseAfter() const { return m_LongestAfter; }
  bool isLongestOwnDelay() const { return m_LongestIsOwnDelay; }
  /// Neither an own delay nor a change of the server.
  bool isLongestOfTarget() const { return m_LongestIsOfTarget; }
  uint64_t intervals() const { return m_Intervals; }
  /// 0 if there were none.
  Milliseconds meanInterval() const {
    return m_Sum / static_cast<double>(std::max<uint64_t>(1, m_Intervals));
  }

private:
  /// A pause of which this process was late for a larger share is its own.
  static constexpr double MaximumOwnShare = 0.25;

  uint64_t m_Events = 0;
  std::optional<BootTime> m_LastAt;
  BootClock::duration m_OwnDelay{};
  Milliseconds m_LongestPause{0};
  uint64_t m_LongestAfter = 0;
  bool m_LongestIsOwnDelay = false;
  bool m_LongestIsOfTarget = true;
  Milliseconds m_Sum{0};
  uint64_t m_Intervals = 0;
  bool m_IsOtherServer = false;
};

} // namespace figlift::dispatch
