//===- StartLag.h - How much later than planned answers begin ---*- C++ -*-===//
//
// What a plan does not see (work that other processes sent since their last
// reports, queues on links) delays all engines of a service alike. One process
// sends each engine a request or two a second, too few to learn an engine's
// delay from, but to all of them together it sends enough to notice within a
// quarter of a second that the service falls behind. Without this the plans of
// an overloaded service stay good while its answers come late: too much is
// admitted, engines queue what they can and turn the rest away, and few are
// served in time.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>

namespace figlift::dispatch {

/// Follows the lateness that four of five answers stay below: a plan that adds
/// it is kept four times out of five, however widely engines differ.
class StartLag {
public:
  using Milliseconds = std::chrono::duration<double, std::milli>;

  /// An answer that was planned to begin after \p Planned, this lag left out,
  /// began after \p Measured. \p Target: its latency target.
  void observe(Milliseconds Planned, Milliseconds Measured, Milliseconds Target,
               BootTime Now);
  /// An engine was full: it would have begun later than the lag allows for.
  void recordRejection(Milliseconds Target, BootTime Now) {
    step(true, Target, Now);
  }
  Milliseconds current(BootTime Now) const;

private:
  static constexpr double Quantile = 0.8;
  /// Of the latency target. At twenty answers a second it rises by half of the
  /// target within a third of a second when all of them are late, and falls as
  /// much within one second when all are as planned.
  static constexpr double StepShare = 0.1;
  /// Of the latency target: with more, a process would refuse what it plans to
  /// begin at once, learn nothing, and go on refusing.
  static constexpr double MaximumShare = 0.6;
  /// What is not measured is forgotten.
  static constexpr std::chrono::milliseconds HalfLife{2000};

  void step(bool IsAboveLag, Milliseconds Target, BootTime Now);

  /// At m_At; between 0 and MaximumShare of the last target.
  Milliseconds m_Lag{0};
  BootTime m_UpdatedAt{};
};

} // namespace figlift::dispatch
