//===- FleetAverages.h - Averages per target over all gateways --*- C++ -*-===//
//
// Averages of a measurement, by target, over the samples of this process and
// its peers. One process sends one or two requests a second to each target, too
// few to notice within a second that a target is slow; all processes together
// send enough.
//
// Samples decay, so a lost report, a peer that ends or one that stands still
// influences the averages only for a few half-lives.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figlift::dispatch {

/// Decayed samples of one process about one target, as reported to peers.
struct TargetSamples {
  std::string TargetId;
  /// Sum of the measured values.
  double Sum = 0;
  /// Number of samples; not negative.
  double Count = 0;
  /// Start of the target that was measured, for reports to peers; empty if the
  /// target does not name it.
  std::optional<StartTime> Started = std::nullopt;
};

class FleetAverages {
public:
  explicit FleetAverages(std::chrono::milliseconds HalfLife)
      : m_HalfLife(HalfLife) {}

  struct Average {
    double Value = 0;
    /// Decayed number of samples.
    double Count = 0;
  };

  /// Records \p Count samples with the mean \p Value. Negative or not finite
  /// numbers are ignored.
  void record(const std::string &TargetId, double Value, double Count,
              BootTime Now);
  /// Replaces what \p Peer reported before. What it no longer lists, it has
  /// dropped or it has decayed.
  void recordPeerReport(const std::string &Peer,
                        const std::vector<TargetSamples> &Samples,
                        BootTime Now);
  /// Samples of this process that have not decayed, for a report to the peers.
  std::vector<TargetSamples> localSamples(BootTime Now) const;
  void removeTarget(const std::string &TargetId);
  /// Removes processes and targets whose samples have decayed. Visits all
  /// entries, so it should run only every few seconds.
  void removeDecayed(BootTime Now);
  /// Number of stored samples, one for each target and process.
  size_t entries() const;

  /// Empty without samples.
  std::optional<Average> average(const std::string &TargetId,
                                 BootTime Now) const;

private:
  /// Below this number, samples count as decayed.
  static constexpr double MinimumCount = 0.05;

  struct Samples {
    double Sum = 0;
    double Count = 0;
    BootTime At{};
  };
  struct Entry {
    /// Sum over ByProcess, kept because each plan queries every target.
    Samples Total;
    /// This process has an empty name.
    std::map<std::string, Samples> ByProcess;
  };

  Samples decayed(const Samples &Old, BootTime Now) const;
  void replace(const std::string &TargetId, const std::string &Process,
               const Samples &New, BootTime Now);

  std::chrono::milliseconds m_HalfLife;
  std::map<std::string, Entry> m_Entries;
  /// Targets of the last report of each peer.
  std::map<std::string, std::set<std::string>> m_TargetsByPeer;
};

} // namespace figlift::dispatch
