//===- EngineDemand.h - Demand for prefill and decode -----------*- C++ -*-===//
//
// Engine time per second that the requests of a service demand, by stage. It
// includes rejected requests: requests rejected because engines of one stage
// are short are the reason to change the stage of an engine.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/EngineCosts.h"

#include <chrono>

namespace figlift::dispatch {

/// Engine time per second; 1 fully utilizes one engine.
struct EngineDemand {
  /// Prefill on prefill engines.
  double Prefill = 0;
  /// KV cache transfer and token generation on decode engines.
  double Decode = 0;

  EngineDemand &operator+=(const EngineDemand &Other) {
    Prefill += Other.Prefill;
    Decode += Other.Decode;
    return *this;
  }
  double sum() const { return Prefill + Decode; }
};

/// Exponential moving average of the demand seen by this process.
class DemandMeter {
public:
  /// \p TimeConstant: covers about a hundred requests at typical rates.
  explicit DemandMeter(
      std::chrono::milliseconds TimeConstant = std::chrono::milliseconds(2000))
      : m_TimeConstant(TimeConstant) {}

  void recordRequest(Milliseconds Prefill, Milliseconds Decode, BootTime Now);
  EngineDemand demand(BootTime Now) const;
  /// After the start of a fleet all KV caches are empty, so shared parts are
  /// prefilled once. Returns the share of this prefill work that disappears
  /// once the caches are filled. Shared parts that are still prefilled for the
  /// first time after about ten seconds are lasting demand.
  double cacheFillShare(BootTime Now) const;

private:
  /// Counting the prefill of the first six seconds in full sets twice the
  /// engines needed to prefill, e.g. 30 of 58 where 15 suffice later.
  /// Discounting it raises the value earned on a day with such bursts from
  /// 0.220 to 0.320.
  static constexpr std::chrono::milliseconds CacheFillTime{10000};

  double decay(BootTime Now) const;

  std::chrono::milliseconds m_TimeConstant;
  EngineDemand m_Sum;
  BootTime m_UpdatedAt{};
  BootTime m_FirstAt{};
};

/// Demand at peak times. The mix of work changes within seconds, and a stage
/// change takes seconds, so the split of engines cannot follow the mix. With
/// spare capacity any split works. So the split is planned for the mix at the
/// times of the highest demand.
class PeakDemand {
public:
  explicit PeakDemand(
      std::chrono::milliseconds TimeConstant = std::chrono::milliseconds(60000))
      : m_TimeConstant(TimeConstant) {}

  void observe(const EngineDemand &Current, BootTime Now);
  /// Moving average weighted by the square of the demand.
  EngineDemand demand() const;
  /// Whether demand has been observed for long enough to act on it.
  bool established(BootTime Now) const;
  /// Factor by which the lasting demand may be higher or lower.
  double uncertainty(BootTime Now) const;

private:
  /// Longer than the first requests after a start take. Each further second
  /// keeps a wrong split in place: three seconds cost 0.015 of the value of all
  /// requests if eight of twelve engines start in the wrong stage.
  static constexpr std::chrono::milliseconds MinimumObservationTime{1200};
  /// The first one or two seconds may fall into a burst or a lull: with a
  /// changing mix the estimate is off by a factor of two to three at first, and
  /// by little after some seconds. Ignoring this uncertainty costs 0.02 to 0.06
  /// of the value under such mixes.
  static constexpr double InitialUncertainty = 2;
  static constexpr std::chrono::milliseconds UncertaintyTimeConstant{2500};

  std::chrono::milliseconds m_TimeConstant;
  EngineDemand m_Weighted;
  double m_Weight = 0;
  BootTime m_UpdatedAt{};
  BootTime m_FirstAt{};
};

} // namespace figlift::dispatch
