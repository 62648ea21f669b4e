//===- StartLag.h - Delay of answers against their plans --------*- C++ -*-===//
//
// Load that a plan does not include (requests that other processes have sent
// since their last reports, queues on links) delays all engines of a service
// alike. One process sends one or two requests a second to each engine, too few
// to measure the delay of a single engine. All its requests to the service are
// enough to detect within a quarter of a second that the service falls behind.
// Without this, plans for an overloaded service predict answers in time while
// the answers are late: too many requests are admitted, engines queue some and
// reject the others, and few are served in time.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>

namespace figlift::dispatch {

/// Estimates the 80th percentile of the start lag: a plan that adds it is met
/// by four of five answers, however much the engines differ.
class StartLag {
public:
  using Milliseconds = std::chrono::duration<double, std::milli>;

  /// Records an answer that began after \p Measured. \p Planned is the planned
  /// time without the lag, \p Target the latency target.
  void observe(Milliseconds Planned, Milliseconds Measured, Milliseconds Target,
               BootTime Now);
  /// Records that an engine was full. Counts as an answer above the lag.
  void recordRejection(Milliseconds Target, BootTime Now) {
    step(true, Target, Now);
  }
  Milliseconds current(BootTime Now) const;

private:
  static constexpr double Quantile = 0.8;
  /// Share of the latency target. At twenty answers a second the lag rises by
  /// half of the target within a third of a second if all answers are late, and
  /// falls by as much within one second if all are as planned.
  static constexpr double StepShare = 0.1;
  /// Share of the latency target. With a higher maximum a process would reject
  /// requests that could start immediately, get no new measurements, and keep
  /// rejecting.
  static constexpr double MaximumShare = 0.6;
  /// The lag decays with this half-life while there are no measurements.
  static constexpr std::chrono::milliseconds HalfLife{2000};

  void step(bool IsAboveLag, Milliseconds Target, BootTime Now);

  /// As of m_UpdatedAt; between 0 and MaximumShare of the last target.
  Milliseconds m_Lag{0};
  BootTime m_UpdatedAt{};
};

} // namespace figlift::dispatch
