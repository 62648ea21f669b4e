//===- LoopDelay.h - Delay of the process's event loop ----------*- C++ -*-===//
//
// Total time by which the event loop has been late. A process that was frozen
// may handle events that arrived meanwhile before its next tick, so the delay
// of the tick that is due counts already.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace figlift::dispatch {

class LoopDelay {
public:
  /// \p Interval: planned time between two ticks.
  explicit LoopDelay(std::chrono::milliseconds Interval, BootTime Start = {})
      : m_Interval(Interval), m_LastTick(Start), m_TickBefore(Start) {}

  /// Sets the time of the first tick without a delay.
  void start(BootTime Now) { m_LastTick = m_TickBefore = Now; }
  void recordTick(BootTime Now) {
    m_Total = total(Now);
    m_TickBefore = std::exchange(m_LastTick, Now);
  }
  /// A time at which the loop had handled all that had arrived. After a delay,
  /// the latest tick may be handled before what arrived meanwhile.
  BootTime lastAwake() const { return m_TickBefore; }
  /// Never decreases.
  BootClock::duration total(BootTime Now) const {
    return m_Total +
           std::max(BootClock::duration::zero(), Now - m_LastTick - m_Interval);
  }

private:
  BootClock::duration m_Interval;
  BootTime m_LastTick;
  BootTime m_TickBefore;
  BootClock::duration m_Total{};
};

} // namespace figlift::dispatch
