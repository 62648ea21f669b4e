//===- FleetFigures.h - Figures of the modeled fleet ------------*- C++ -*-===//
//
// Sizes and times that no test varies.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibEngine/EngineModel.h"

#include <chrono>

namespace figlift::dispatch::test {

using engine::Milliseconds;

inline constexpr unsigned EngineSlots = 6;
/// Requests that an engine admits beyond those in its slots.
inline constexpr unsigned EngineQueueLimit = 18;
/// Network delay of a request to an engine, or of a response from one.
inline constexpr Milliseconds NetworkDelay{0.5};
/// Callers return within this time after the end of the first pause.
inline constexpr Milliseconds ReturnSpread{500};
inline constexpr Milliseconds LatencyTarget{200};
inline constexpr Milliseconds Deadline{2000};
/// Fraction of the requests at normal load whose responses last seconds. Their
/// rate stays the same when the load rises.
inline constexpr double LongResponseFraction = 1.0 / 76;
inline constexpr Milliseconds LongResponseTime{3500};
/// Time between the two events of a short response; six in ten have a second.
inline constexpr Milliseconds SecondEventGap{85};
inline constexpr double SecondEventFraction = 0.6;
/// Events of a long response. At an interval of 70 ms they take
/// LongResponseTime.
inline constexpr unsigned LongResponseEvents = 50;
/// An engine is slower by this factor in a part of each period.
inline constexpr double SlowFactor = 2.5;
inline constexpr Milliseconds SlowTime{300};
inline constexpr Milliseconds SlowPeriod{2000};
/// The gateways report intervals between events this often.
inline constexpr Milliseconds PaceInterval{500};
inline constexpr const char *ServiceName = "s";
inline constexpr unsigned SubjectCount = 4158;
inline constexpr unsigned UrgentPriority = 1;
inline constexpr unsigned LessUrgentPriority = 6;

inline BootClock::duration toClockDuration(Milliseconds Time) {
  return std::chrono::duration_cast<BootClock::duration>(Time);
}

} // namespace figlift::dispatch::test
