//===- EngineDemand.h - Work that callers ask of engines --------*- C++ -*-===//
//
// How much engine time a second the requests of a service ask for, by kind of
// work, whether they were served or refused: what was refused for want of the
// right engines is the reason to change one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/EngineCosts.h"

#include <chrono>

namespace figlift::dispatch {

/// Engine time for each second of demand; 1 keeps one engine busy.
struct EngineDemand {
  /// Reading prompts at prefill engines.
  double Prefill = 0;
  /// Fetching KV cache and generating tokens at decode engines.
  double Decode = 0;

  EngineDemand &operator+=(const EngineDemand &Other) {
    Prefill += Other.Prefill;
    Decode += Other.Decode;
    return *this;
  }
  double sum() const { return Prefill + Decode; }
};

/// Running mean of the demand that this process has seen.
class DemandMeter {
public:
  /// \p Memory: long enough to count a hundred requests at the usual rates.
  explicit DemandMeter(
      std::chrono::milliseconds TimeConstant = std::chrono::milliseconds(2000))
      : m_TimeConstant(TimeConstant) {}

  void recordRequest(Milliseconds Prefill, Milliseconds Decode, BootTime Now);
  EngineDemand demand(BootTime Now) const;
  /// In a fleet that has just started no engine keeps anything, and what
  /// requests share is read for the first time: the part of such reading that
  /// will be gone once the engines are filled. What is still read for the first
  /// time some ten seconds later lasts.
  double cacheFillShare(BootTime Now) const;

private:
  /// Counted in full, the reading of a fleet's first six seconds had 30 of 58
  /// engines set to reading where 15 were asked for later; with this, a
  /// day with such bursts earned 0.320 in place of 0.220 of its value (one run
  /// each).
  static constexpr std::chrono::milliseconds CacheFillTime{10000};

  double decay(BootTime Now) const;

  std::chrono::milliseconds m_TimeConstant;
  EngineDemand m_Sum;
  BootTime m_UpdatedAt{};
  BootTime m_FirstAt{};
};

/// The demand of busy times. The mix of work swings within seconds, and a
/// change of an engine takes seconds, so the split of engines cannot follow;
/// and where engines have room to spare, any split will do. So what counts is
/// the mix of those moments in which most is asked for.
class PeakDemand {
public:
  explicit PeakDemand(
      std::chrono::milliseconds TimeConstant = std::chrono::milliseconds(60000))
      : m_TimeConstant(TimeConstant) {}

  void observe(const EngineDemand &Current, BootTime Now);
  /// Mean over the memory, each moment weighed by the square of its demand.
  EngineDemand demand() const;
  /// Whether enough has been seen to act on.
  bool established(BootTime Now) const;
  /// How many times more or less the lasting demand may well be.
  double uncertainty(BootTime Now) const;

private:
  /// More than a start's first requests. Each second more costs what a wrong
  /// split costs: 0.015 of the value of all requests for three seconds, where
  /// eight of twelve engines began with the wrong work (five loads, one run
  /// each).
  static constexpr std::chrono::milliseconds MinimumObservationTime{1200};
  /// The demand of the first second or two is that of a rush or a lull: where
  /// the mix swings it was off by two to three times, after some seconds by
  /// little. Without the doubt 0.02 to 0.06 less of the value was earned under
  /// two swinging mixes (five loads each, one run).
  static constexpr double InitialUncertainty = 2;
  static constexpr std::chrono::milliseconds UncertaintyTimeConstant{2500};

  std::chrono::milliseconds m_TimeConstant;
  EngineDemand m_Weighted;
  double m_Weight = 0;
  BootTime m_UpdatedAt{};
  BootTime m_FirstAt{};
};

} // namespace figlift::dispatch
