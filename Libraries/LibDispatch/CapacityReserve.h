//===- CapacityReserve.h - Capacity for more urgent requests ----*- C++ -*-===//
//
// Admission control of one service with several priorities. Engines admit
// urgent requests first, but do not take back what less urgent ones hold: slots
// of streams, places in queues, prefills that have started. If less urgent
// requests are admitted while there is any capacity left, urgent ones that
// arrive a moment later are rejected.
//
// So a less urgent request may not use the engine time that more urgent ones
// are expected to need within its latency target. The expectation is their
// measured demand. Without urgent requests nothing is reserved.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/EngineDemand.h"

#include <chrono>
#include <map>

namespace figlift::dispatch {

/// Engines of one service that are in use.
struct EngineCapacity {
  double PrefillEngines = 0;
  double DecodeEngines = 0;
};

class CapacityReserve {
public:
  /// Records a request of this process, whether it is admitted or not. The
  /// times are those of an engine; see EngineDemand. \p Decode covers at most
  /// the latency target of the request: what a stream needs later does not
  /// delay the requests of now, and streams that run are work ahead of them.
  void recordRequest(unsigned Priority, Milliseconds Prefill,
                     Milliseconds Decode, BootTime Now);
  /// Records whether a request has got a response.
  void recordOutcome(unsigned Priority, bool Served, BootTime Now);

  /// \name Share of the fleet's demand on the service that passes through this
  /// process. Computing it visits all peers, so it is kept for some time.
  /// @{
  bool isOwnShareKnown(BootTime Now) const {
    return m_OwnShareAt != BootTime{} && Now - m_OwnShareAt < OwnShareLifetime;
  }
  /// \p Share is above 0 and at most 1.
  void setOwnShare(double Share, BootTime Now) {
    m_OwnShare = Share;
    m_OwnShareAt = Now;
  }
  /// @}

  /// Time within \p LatencyTarget in which all engines of one stage will be
  /// busy with requests that are more urgent than \p Priority. 0 for a priority
  /// that is starved.
  Milliseconds reserve(unsigned Priority, Milliseconds LatencyTarget,
                       const EngineCapacity &Engines, BootTime Now);
  /// Whether the priority was served less than a third of the mean share.
  bool isStarved(unsigned Priority, BootTime Now) const;

private:
  static constexpr std::chrono::milliseconds DemandTimeConstant{2000};
  /// Demand is sampled over intervals about as long as latency targets: the
  /// variability over this time is what a request meets.
  static constexpr std::chrono::milliseconds SampleInterval{200};
  static constexpr std::chrono::milliseconds OutcomeTimeConstant{5000};
  static constexpr std::chrono::milliseconds OwnShareLifetime{250};
  static constexpr double StarvedShare = 1.0 / 3;
  /// Fewer outcomes than this tell nothing of a share.
  static constexpr double MinimumOutcomes = 3;

  struct Demand {
    /// Engine time in milliseconds of the current interval.
    EngineDemand Current;
    BootTime IntervalStart{};
    /// \name Moving averages over the previous intervals. They start at 0: if
    /// they started with the first interval, which always has a request, one
    /// request would reserve the whole fleet for a second.
    /// @{
    EngineDemand Mean;
    /// Absolute deviation from the mean.
    EngineDemand Deviation;
    /// @}
  };
  /// Decayed counts as of UpdatedAt.
  struct Outcomes {
    double Requests = 0;
    double Served = 0;
    BootTime UpdatedAt{};
  };

  static void advance(Demand &Row, BootTime Now);
  static Outcomes decayed(const Outcomes &Counts, BootTime Now);

  /// By priority, of which a configuration has at most a thousand.
  std::map<unsigned, Demand> m_Demands;
  std::map<unsigned, Outcomes> m_Outcomes;
  double m_OwnShare = 1;
  BootTime m_OwnShareAt{};
};

} // namespace figlift::dispatch
