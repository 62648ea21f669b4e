//===- EngineSpeeds.h - Estimated decode interval of engines ----*- C++ -*-===//
//
// Engines of one service may differ in speed. The interval between the events
// of streams shows the speed of a decode engine. A prefill engine has no
// streams; its speed shows in the time that prefills take. The two are related
// through the engines that have worked in both stages.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/StreamPaces.h"
#include "LibDispatch/Target.h"

#include <map>
#include <span>
#include <string>

namespace figlift::dispatch {

/// Estimates for the engines of one service at one time.
struct EngineSpeeds {
  /// Expected interval between events of a stream, by engine. Engines that
  /// nothing is known of are missing.
  std::map<std::string, Milliseconds> Intervals;
  /// Longest interval with which streams have no longer pauses than allowed;
  /// 0 if no pause is too long.
  Milliseconds MaximumInterval{0};
  /// Streams have too long pauses at a decode engine although a prefill engine
  /// is much faster.
  bool ShouldExchange = false;

  /// Relative to the mean of the known engines; 1 if nothing is known.
  double speed(const std::string &EngineId) const;
  /// Mean speed of the engines in a stage.
  double meanSpeed(std::span<const Target *const> Engines, Stage Of) const;
};

/// Keeps the last known interval of each engine while it is not measured, as it
/// changes its stage.
class EngineSpeedEstimator {
public:
  /// \p ReadRatios: measured over planned time of prefills, by engine.
  /// \p AllowedPause: longest pause between events that streams of the service
  /// allow; 0 for no bound.
  EngineSpeeds estimate(const std::string &Service,
                        std::span<const Target *const> Engines,
                        const StreamPaces &Paces,
                        const FleetAverages &ReadRatios,
                        Milliseconds AllowedPause, BootTime Now);

private:
  bool shouldExchange(std::span<const Target *const> Engines,
                      const EngineSpeeds &Speeds);

  /// Engines whose intervals differ by less are equal as far as can be
  /// measured: the interval depends on the other work of the engine, too.
  static constexpr double MinimumDifference = 1.25;
  static constexpr double MinimumReads = 5;
  /// At this share of the allowed pause a part of the streams is late.
  static constexpr double LongPauseShare = 0.8;

  struct Known {
    std::optional<StartTime> Started;
    Milliseconds Interval{0};
  };
  std::map<std::string, Known> m_Known;
  bool m_Exchanging = false;
};

} // namespace figlift::dispatch
