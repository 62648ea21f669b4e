//===- StreamPaces.cpp - Pauses of streams by target ----------------------===//
//
// Two fleet-wide averages.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamPaces.h"

#include <numbers>

#include <algorithm>

namespace figlift::dispatch {

void StreamPaces::recordInterval(const std::string &TargetId,
                                 Milliseconds Interval, double Count,
                                 BootTime Now) {
  m_Intervals.record(TargetId, Interval.count(), Count, Now);
}

void StreamPaces::recordPauseRatio(const std::string &Service, double Ratio,
                                   BootTime Now) {
  m_Ratios.record(Service, Ratio, 1, Now);
}

std::optional<Milliseconds>
StreamPaces::meanInterval(const std::string &TargetId, BootTime Now) const {
  const auto Average = m_Intervals.average(TargetId, Now);
  if (!Average || Average->Count < MinimumIntervals)
    return std::nullopt;
  return Milliseconds(Average->Value);
}

double StreamPaces::eventsPerMillisecond(std::span<const Target *const> Engines,
                                         BootTime Now) const {
  double Count = 0;
  for (const Target *Engine : Engines)
    if (const auto Average = m_Intervals.average(Engine->Id, Now))
      Count += Average->Count;
  // A steady rate adds up to the rate times the mean lifetime of a sample.
  return Count * std::numbers::ln2 / Milliseconds(IntervalHalfLife).count();
}

double StreamPaces::pauseRatio(const std::string &Service, BootTime Now) const {
  const auto Average = m_Ratios.average(Service, Now);
  const FleetAverages::Average Known =
      Average.value_or(FleetAverages::Average{});
  // The longest interval is never shorter than the mean.
  return std::max(1.0, (Known.Value * Known.Count + PriorRatio * PriorStreams) /
                           (Known.Count + PriorStreams));
}

std::optional<Milliseconds>
StreamPaces::expectedLongestPause(const std::string &Service,
                                  const std::string &TargetId,
                                  BootTime Now) const {
  const auto Mean = meanInterval(TargetId, Now);
  if (!Mean)
    return std::nullopt;
  return *Mean * pauseRatio(Service, Now);
}

} // namespace figlift::dispatch
