//===- StreamPaces.h - Pauses of streams by target --------------*- C++ -*-===//
//
// A stream is late if a single pause between two of its events exceeds what its
// route allows, however early its first event was. Targets of one service
// differ in speed, and at a slow one nearly every long stream has such a pause.
// This estimates, for each target, the longest pause that a stream would have
// there: the mean interval between events at the target, times the ratio
// between the longest and the mean interval that streams of the service have.
//
// The ratio is one figure for all targets of a service, as it needs whole
// streams to measure, while a mean interval needs only some events.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/FleetAverages.h"
#include "LibDispatch/Target.h"
#include "LibEngine/EngineModel.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace figlift::dispatch {

using engine::Milliseconds;

class StreamPaces {
public:
  /// Records \p Count intervals between events of a stream at a target.
  void recordInterval(const std::string &TargetId, Milliseconds Interval,
                      double Count, BootTime Now);
  /// Records the ratio between the longest and the mean interval of a stream
  /// that ended.
  void recordPauseRatio(const std::string &Service, double Ratio, BootTime Now);

  /// Empty while fewer than MinimumIntervals are known.
  std::optional<Milliseconds> meanInterval(const std::string &TargetId,
                                           BootTime Now) const;
  /// Empty if the mean interval is not known.
  std::optional<Milliseconds> expectedLongestPause(const std::string &Service,
                                                   const std::string &TargetId,
                                                   BootTime Now) const;
  /// Events of streams at all \p Engines.
  double eventsPerMillisecond(std::span<const Target *const> Engines,
                              BootTime Now) const;
  double pauseRatio(const std::string &Service, BootTime Now) const;

  void removeTarget(const std::string &TargetId) {
    m_Intervals.removeTarget(TargetId);
  }
  /// Bounds the memory; see FleetAverages.
  void removeDecayed(BootTime Now) {
    m_Intervals.removeDecayed(Now);
    m_Ratios.removeDecayed(Now);
  }

  /// \name Exchange with peers.
  /// @{
  FleetAverages &intervals() { return m_Intervals; }
  const FleetAverages &intervals() const { return m_Intervals; }
  FleetAverages &ratios() { return m_Ratios; }
  /// @}

private:
  /// Slow spells of a target last tenths of a second. An average over some
  /// seconds includes them in proportion.
  static constexpr std::chrono::milliseconds IntervalHalfLife{5000};
  static constexpr std::chrono::milliseconds RatioHalfLife{10000};
  static constexpr double MinimumIntervals = 8;
  /// Used with the weight of PriorStreams streams until streams have ended.
  static constexpr double PriorRatio = 2;
  static constexpr double PriorStreams = 4;

  FleetAverages m_Intervals{IntervalHalfLife};
  /// By service instead of target.
  FleetAverages m_Ratios{RatioHalfLife};
};

} // namespace figlift::dispatch
