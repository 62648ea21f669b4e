//===- LoadTracker.h - Outstanding work per target --------------*- C++ -*-===//
//
// Estimates from the work at a target when new work there would complete. Load
// reports of the targets lag behind, so the tracker counts the requests that
// this process has sent and that have not ended, the load that peers report,
// and the ratio between actual and predicted answer times.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/EnginePriority.h"
#include "LibDispatch/KvCacheView.h"
#include "LibDispatch/Target.h"
#include "LibEngine/EngineModel.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figlift::dispatch {

using engine::Milliseconds;

/// One work item at a target, from sending to its end.
struct Work {
  /// Target time of the part that queues.
  Milliseconds Cost{0};
  /// Expected time from sending to the first answer. 0: the answer time is not
  /// a sample of the target's speed.
  Milliseconds Expected{0};
  /// Part of the cost that is prefill. An engine prefills one prompt after the
  /// other, so until the first answer this delays the items behind it.
  Milliseconds PrefillCost{0};
  BootTime SentAt{};
  /// Scheduling priority sent to the engine, at most LeastUrgentPriority; empty
  /// if none was sent.
  std::optional<unsigned> EnginePriority = std::nullopt;
};

/// Part of the outstanding work that has one scheduling priority.
struct PriorityLoad {
  unsigned Priority = DefaultEnginePriority;
  uint32_t Items = 0;
  Milliseconds PrefillCost{0};
};

/// Outstanding work of one process at one target, as reported to peers.
struct PeerLoad {
  std::string TargetId;
  Milliseconds Cost{0};
  uint32_t Items = 0;
  /// Items that complete per millisecond if all of them run.
  double CompletionRate = 0;
  /// Part of the cost that is prefill.
  Milliseconds PrefillCost{0};
  /// By ascending priority. Empty if the work was sent without priorities, or
  /// by an earlier version of the program: it then counts as a mix like that
  /// of the other peers, or as DefaultEnginePriority if none reports any.
  std::vector<PriorityLoad> ByPriority = {};
};

struct LoadTrackerOptions {
  /// Weight of the newest sample in the moving averages. With 0.1 the average
  /// follows a target that becomes slow within about ten answers, and a single
  /// outlier moves it by a tenth only.
  double Smoothing = 0.1;
  /// A peer report expires after this time or after MaximumMissedReports
  /// report intervals, whichever is longer. Peers of a large fleet report less
  /// often, so with a fixed time their reports would expire before the next.
  std::chrono::milliseconds PeerLifetime{500};
  int MaximumMissedReports = 4;
  /// Half-life with which the measured slowness and the failure share of a
  /// target without work decay, so that the target is tried again.
  std::chrono::milliseconds DecayHalfLife{2000};
  /// How long a target is excluded after it has rejected work. Doubles with
  /// each consecutive rejection, up to MaximumRejectionBackoff. A full engine
  /// has a free slot again after about one prefill.
  std::chrono::milliseconds RejectionBackoff{30};
  std::chrono::milliseconds MaximumRejectionBackoff{1000};
  /// How long a target is ejected after a failure. Doubles with each
  /// consecutive failure, up to MaximumEjectionTime; a success halves the count
  /// of failures, so that a target that fails and recovers alternately is
  /// trusted again only slowly. A target that is down fails immediately and so
  /// always looks idle: without ejection each gateway tries it several times a
  /// second, which loses one request in twenty.
  std::chrono::milliseconds EjectionTime{200};
  std::chrono::milliseconds MaximumEjectionTime{3200};
  /// Bounds of the ratio between actual and planned time.
  double MinimumSlowness = 0.3;
  double MaximumSlowness = 10;
};

class LoadTracker {
public:
  explicit LoadTracker(LoadTrackerOptions Options = {});

  void targetAdded(const Target &NewTarget, uint64_t KvCapacityTokens);
  void targetRemoved(const std::string &Id);

  /// \name Work of this process, identified by tickets.
  /// @{
  uint64_t recordSent(const std::string &TargetId, const Work &Item);
  /// The (first part of the) response has arrived: a sample of the target's
  /// speed.
  void recordAnswer(const std::string &TargetId, uint64_t Ticket, BootTime Now);
  /// The work item is no longer at the target, for whatever reason.
  void recordEnd(const std::string &TargetId, uint64_t Ticket);
  /// Whether the ticket belongs to the current start of the target. The outcome
  /// of work that was sent to an earlier start is not a sample of this one.
  bool isCurrent(const std::string &TargetId, uint64_t Ticket) const;
  /// The target answered with an error, which may be caused by the request.
  void recordError(const std::string &TargetId, BootTime Now);
  /// The target failed the work item, which has ended.
  void recordFailure(const std::string &TargetId, uint64_t Ticket,
                     BootTime Now);
  /// @}

  /// \name Targets that reject work. Each rejected request uses up the fleet's
  /// retry budget, so the next request does not try the target at once.
  /// @{
  /// The target was full or busy. Excludes it for a moment, longer with each
  /// consecutive rejection.
  void recordRejection(const std::string &TargetId, BootTime Now);
  /// The target accepts no work before \p Until: it changes its stage, or
  /// another server has its address.
  void excludeUntil(const std::string &TargetId, BootTime Until);
  bool isExcluded(const std::string &TargetId, BootTime Now) const;
  /// Whether the target is ejected after recent failures.
  bool isEjected(const std::string &TargetId, BootTime Now) const;
  /// @}

  /// Sets the interval at which peers report.
  void setReportInterval(std::chrono::microseconds Interval);
  /// Replaces the previous report of \p Peer.
  void recordPeerReport(const std::string &Peer,
                        const std::vector<PeerLoad> &Loads, BootTime Now);
  std::vector<PeerLoad> localLoads() const;

  /// Planned time of the queued and running work of all processes.
  Milliseconds backlog(const std::string &TargetId, BootTime Now) const;
  /// Planned time of the prompts that are queued for prefill or in prefill, up
  /// to the priority \p LeastUrgent.
  Milliseconds prefillBacklog(const std::string &TargetId, BootTime Now,
                              unsigned LeastUrgent = LeastUrgentPriority) const;
  /// Number of work items of all processes up to the priority \p LeastUrgent.
  double items(const std::string &TargetId, BootTime Now,
               unsigned LeastUrgent = LeastUrgentPriority) const;
  /// Items that complete per millisecond if all of them run. A few long streams
  /// hold their slots for seconds while other slots become free within
  /// milliseconds, so the wait for a slot cannot be derived from the backlog.
  double completionRate(const std::string &TargetId, BootTime Now) const;
  size_t localItems(const std::string &TargetId) const;
  /// Ratio between actual and planned time; 1 is as planned.
  double slowness(const std::string &TargetId, BootTime Now) const;
  /// Share of the recent work that failed.
  double failureShare(const std::string &TargetId, BootTime Now) const;
  /// Share of recent answers that were errors. Decays like the failure share.
  double errorShare(const std::string &TargetId, BootTime Now) const;
  KvCacheView &cache(const std::string &TargetId);
  /// The target has reported its cached parts, or will not do so. Until then a
  /// cached prompt looks like one that has to be computed, and the time that it
  /// takes is not a sample of the target's speed.
  void setCacheReported(const std::string &TargetId);
  bool cacheReported(const std::string &TargetId) const;
  uint32_t cachedTokens(const std::string &TargetId, const Prompt &Input) const;
  /// Includes the parts of prompts queued before a prompt that is sent now.
  uint32_t cachedTokensWithPending(const std::string &TargetId,
                                   const Prompt &Input, BootTime Now) const;

private:
  /// Sum of the work of this process and its peers at one target. Its items and
  /// its prefill cost are those up to the priority \p LeastUrgent; ByPriority
  /// stays empty.
  PeerLoad total(const std::string &TargetId, BootTime Now,
                 unsigned LeastUrgent = LeastUrgentPriority) const;

  struct Entry {
    std::map<uint64_t, Work> LocalWork;
    KvCacheView Cache;
    bool CacheReported = false;
    double Slowness = 1;
    double Failures = 0;
    BootTime LastOutcome{};
    BootTime ExcludedUntil{};
    /// Rejections since the last answer.
    unsigned ConsecutiveRejections = 0;
    BootTime EjectedUntil{};
    /// Halved by each success.
    unsigned ConsecutiveFailures = 0;
    double Errors = 0;
    BootTime LastError{};
  };
  /// Work at one target in integers: adding a load and subtracting it later
  /// leaves no rounding error in the sum.
  struct Sum {
    int64_t CostMicros = 0;
    int64_t CompletionsPerMillionMs = 0;
    /// \name By priority, so that a query takes the same time for any number of
    /// peers.
    /// @{
    std::array<int64_t, LeastUrgentPriority + 1> PrefillMicros{};
    std::array<int64_t, LeastUrgentPriority + 1> Items{};
    /// @}
    /// \name Of peers that report no priorities.
    /// @{
    int64_t UnknownPrefillMicros = 0;
    int64_t UnknownItems = 0;
    /// @}

    /// Share of the work of known priority that is up to \p LeastUrgent.
    double shareUpTo(unsigned LeastUrgent) const;
    static Sum of(const PeerLoad &Load);
    void add(const Sum &Other, int64_t Sign);
    bool operator==(const Sum &) const = default;
  };
  struct PeerView {
    BootTime At{};
    std::vector<std::pair<std::string, Sum>> Loads;
  };

  void addToSums(const PeerView &View, int64_t Sign) const;
  void expireSilentPeers(BootTime Now) const;
  static PeerLoad localLoad(const std::string &Id, const Entry &State,
                            unsigned LeastUrgent);
  /// Empty if no item has a priority.
  static std::vector<PriorityLoad> localByPriority(const Entry &State);
  const Entry *find(const std::string &TargetId) const;
  double decayed(double Value, double Baseline, const Entry &State,
                 BootTime Now) const;
  void recordOutcome(Entry &State, double Slowness, double Failure,
                     BootTime Now);

  LoadTrackerOptions m_Options;
  BootClock::duration m_PeerLifetime;
  std::map<std::string, Entry> m_Entries;
  /// \name Work of peers. Kept as sums because a plan queries each engine
  /// several times, and iterating over all peers takes about 100 lookups for
  /// each engine. Queries remove the reports of silent peers, hence mutable.
  /// @{
  mutable std::map<std::string, PeerView> m_Peers;
  /// Sum over m_Peers by target.
  mutable std::unordered_map<std::string, Sum> m_PeerSums;
  /// No report in m_Peers is older than this.
  mutable BootTime m_OldestReport{};
  /// @}
  uint64_t m_LastTicket = 0;
};

} // namespace figlift::dispatch
