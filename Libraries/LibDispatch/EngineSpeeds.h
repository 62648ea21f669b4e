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

#include <limits>
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
  /// How many of the fastest engines the streams of the service need, with some
  /// room for swings.
  size_t FastEnginesNeeded = std::numeric_limits<size_t>::max();

  /// Relative to the mean of the known engines; 1 if nothing is known.
  double speed(const std::string &EngineId) const;
  /// Mean speed of the engines in a stage.
  double meanSpeed(std::span<const Target *const> Engines, Stage Of) const;
};

/// Remembers the interval of each engine while it is not measured, as it
/// changes its stage or has no streams. All engines are slower under load, so
/// remembered intervals are kept at the same load and scaled by the load of the
/// engines that decode now. Otherwise an engine that was measured before a
/// burst would look faster than equal engines during it.
class EngineSpeedEstimator {
public:
  /// \p ReadRatios: measured over planned time of prefills, by engine.
  /// \p AllowedPause: longest pause between events that streams of the service
  /// allow; 0 for no bound. \p Slots: number of streams that an engine decodes
  /// concurrently.
  EngineSpeeds
  estimate(const std::string &Service, std::span<const Target *const> Engines,
           const StreamPaces &Paces, const FleetAverages &ReadRatios,
           Milliseconds AllowedPause, unsigned Slots, BootTime Now);

private:
  /// Updates the load factor and what is known of the engines that decode;
  /// returns their intervals.
  std::map<std::string, Milliseconds>
  learnIntervals(std::span<const Target *const> Engines,
                 const StreamPaces &Paces, BootTime Now);
  /// Adds estimates for prefill engines that have never decoded.
  void addPrefillEngines(std::span<const Target *const> Engines,
                         const FleetAverages &ReadRatios, BootTime Now,
                         EngineSpeeds &Speeds);
  /// The interval of an engine that was measured, or else the mean of the
  /// measured ones for an engine that has decoded: engines without streams are
  /// preferred for a change to prefill, so they are often not measured.
  std::optional<Milliseconds> decodedInterval(const Target &Engine,
                                              const EngineSpeeds &Speeds) const;
  bool shouldExchange(std::span<const Target *const> Engines,
                      const EngineSpeeds &Speeds);

  /// Engines whose intervals differ by less are equal as far as can be
  /// measured: the interval depends on the other work of the engine, too.
  static constexpr double MinimumDifference = 1.25;
  static constexpr double MinimumReads = 5;
  /// Ratio between the slots of the fast engines and the streams that run there
  /// on average.
  static constexpr double StreamRoom = 1.5;
  /// At this share of the allowed pause a part of the streams is late.
  static constexpr double LongPauseShare = 0.8;

  /// How slowly remembered intervals follow the measured ones. A change of the
  /// load takes seconds and must not be taken for one of an engine.
  static constexpr std::chrono::seconds KnownHalfLife{30};

  struct Known {
    std::optional<StartTime> Started;
    /// At a load factor of 1.
    Milliseconds Interval{0};
    /// From streams, as opposed to prefill times.
    bool IsMeasured = false;
  };
  std::map<std::string, Known> m_Known;
  /// Starts of the engines that have decoded.
  std::map<std::string, std::optional<StartTime>> m_Decoded;
  /// Median ratio between the measured and the remembered interval of the
  /// engines that decode.
  double m_LoadFactor = 1;
  BootTime m_LearnedAt{};
  bool m_Exchanging = false;
};

} // namespace figlift::dispatch
