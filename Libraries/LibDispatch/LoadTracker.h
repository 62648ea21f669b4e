//===- LoadTracker.h - Work at the targets, as this process knows it -*- C++
//-*-===//
//
// What a target has to do decides when new work there would be done. Reports
// of the targets lag, so the book counts what this process has sent and has
// not seen end, what its peers say they have, and how much longer answers took
// than predicted.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/KvCacheView.h"
#include "LibDispatch/Target.h"
#include "LibEngine/EngineModel.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figlift::dispatch {

using engine::Milliseconds;

/// One piece of work at a target, from its sending to its end.
struct Work {
  /// Time that the target needs for the part of it that queues.
  Milliseconds Cost{0};
  /// Expected from sending to the first answer; 0: its time is no verdict on
  /// the target.
  Milliseconds Expected{0};
  /// The part of the cost that is reading a prompt: prompts are read one after
  /// the other, so it holds up those that come later, up to the first answer.
  Milliseconds PrefillCost{0};
  BootTime SentAt{};
};

/// A process's outstanding work at one target, as it tells its peers.
struct PeerLoad {
  std::string TargetId;
  Milliseconds Cost{0};
  uint32_t Items = 0;
  /// Pieces of it that end in a millisecond, if all of them run.
  double CompletionRate = 0;
  /// The part of the cost that is reading prompts.
  Milliseconds PrefillCost{0};
};

struct LoadTrackerOptions {
  /// Weight of the newest answer in the running means. A tenth follows a
  /// target that turns slow within about ten answers, and one stray answer
  /// moves it by a tenth only.
  double Smoothing = 0.1;
  /// What peers told is forgotten after this, or after ReportsMissed of their
  /// intervals, whichever is longer. With a fixed time peers of a large fleet,
  /// which report more seldom, would be forgotten between two reports.
  std::chrono::milliseconds PeerLifetime{500};
  int MaximumMissedReports = 4;
  /// A target that looked slow and gets no work is believed to be as fast as
  /// planned again with this half-life, so that it is tried again.
  std::chrono::milliseconds DecayHalfLife{2000};
  /// How long a target is left out that turned work away once; doubles with
  /// each time in a row, up to MaximumLeftOut. A full engine has room again
  /// after about one read of a prompt.
  std::chrono::milliseconds RejectionBackoff{30};
  std::chrono::milliseconds MaximumRejectionBackoff{1000};
  /// How long a target rests that failed once; doubles with each failure in a
  /// row, up to MaximumRest, and a success halves it: a target that goes down
  /// and up by turns earns trust back slowly. One that is down fails at once,
  /// so it always looks free; without the rest each gateway tried it several
  /// times a second, and one request in twenty was lost on such a day.
  std::chrono::milliseconds EjectionTime{200};
  std::chrono::milliseconds MaximumEjectionTime{3200};
  /// Bounds of the ratio between measured and planned time.
  double MinimumSlowness = 0.3;
  double MaximumSlowness = 10;
};

class LoadTracker {
public:
  explicit LoadTracker(LoadTrackerOptions Options = {});

  void targetAdded(const Target &Which, uint64_t KvCapacityTokens);
  void targetRemoved(const std::string &Id);

  /// \name Own work. Tickets name it until its end.
  /// @{
  uint64_t recordSent(const std::string &TargetId, const Work &What);
  /// The (first part of the) response came: a verdict on the target's speed.
  void recordAnswer(const std::string &TargetId, uint64_t Ticket, BootTime Now);
  /// It is no longer at the target, for whatever reason.
  void recordEnd(const std::string &TargetId, uint64_t Ticket);
  /// Whether the ticket is of work at this start of the target: what comes of
  /// work that an earlier start had says nothing of this one.
  bool isCurrent(const std::string &TargetId, uint64_t Ticket) const;
  /// The target answered it with an error of its own, and may do so by right.
  void recordError(const std::string &TargetId, BootTime Now);
  /// The target failed it; it has ended.
  void recordFailure(const std::string &TargetId, uint64_t Ticket,
                     BootTime Now);
  /// @}

  /// \name Targets that turn work away. Each arrival there counts against the
  /// fleet's budget of repeats, so the next request does not try it at once.
  /// @{
  /// It was full or busy: left out for a moment, longer each time in a row.
  void recordRejection(const std::string &TargetId, BootTime Now);
  /// It will not take work before \p Until: it changes its stage, or another
  /// server has its address.
  void excludeUntil(const std::string &TargetId, BootTime Until);
  bool isExcluded(const std::string &TargetId, BootTime Now) const;
  /// It has failed lately, and is tried again later.
  bool isEjected(const std::string &TargetId, BootTime Now) const;
  /// @}

  /// How often peers report.
  void setReportInterval(std::chrono::microseconds Interval);
  /// Replaces what \p Peer told before.
  void recordPeerReport(const std::string &Peer,
                        const std::vector<PeerLoad> &Loads, BootTime Now);
  std::vector<PeerLoad> localLoads() const;

  /// Planned time of the work that waits or runs there, of all processes.
  Milliseconds backlog(const std::string &TargetId, BootTime Now) const;
  /// Planned time of the prompts that wait there to be read, or are being read.
  Milliseconds prefillBacklog(const std::string &TargetId, BootTime Now) const;
  /// Pieces of work there, of all processes.
  double items(const std::string &TargetId, BootTime Now) const;
  /// Pieces that end there in a millisecond, if all of them run. A few long
  /// streams hold slots for seconds while the others change hands in
  /// milliseconds, so the wait for a slot does not follow from the backlog.
  double completionRate(const std::string &TargetId, BootTime Now) const;
  size_t localItems(const std::string &TargetId) const;
  /// Measured time over planned time; 1 is as planned.
  double slowness(const std::string &TargetId, BootTime Now) const;
  /// Share of the recent work that failed there.
  double failureShare(const std::string &TargetId, BootTime Now) const;
  /// Share of its recent answers that were errors; forgiven like a failure.
  double errorShare(const std::string &TargetId, BootTime Now) const;
  KvCacheView &cache(const std::string &TargetId);
  /// The target has told what it keeps, or will not. Until then a prompt that
  /// it keeps looks like one that it has to compute, and the time that it takes
  /// says nothing of its speed.
  void setCacheReported(const std::string &TargetId);
  bool cacheReported(const std::string &TargetId) const;
  uint32_t cachedTokens(const std::string &TargetId, const Prompt &What) const;
  /// With what is on its way there, in front of a prompt that is sent now.
  uint32_t cachedTokensWithPending(const std::string &TargetId,
                                   const Prompt &What, BootTime Now) const;

private:
  /// Sums over this process's and its peers' work at one target.
  PeerLoad total(const std::string &TargetId, BootTime Now) const;

  struct Entry {
    std::map<uint64_t, Work> Own;
    KvCacheView Cache;
    bool CacheReported = false;
    double Slowness = 1;
    double Failures = 0;
    BootTime LastOutcome{};
    BootTime ExcludedUntil{};
    /// Times that it turned work away since its last answer.
    unsigned ConsecutiveRejections = 0;
    BootTime EjectedUntil{};
    /// Failures in a row, halved by each success.
    unsigned ConsecutiveFailures = 0;
    double Errors = 0;
    BootTime LastError{};
  };
  /// Work at one target, in whole numbers: what is added to a sum and taken
  /// away again later leaves nothing behind, as rounded numbers would.
  struct Sum {
    int64_t CostMicros = 0;
    int64_t PrefillMicros = 0;
    int64_t Items = 0;
    int64_t CompletionsPerMillionMs = 0;

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
  static PeerLoad localLoad(const std::string &Id, const Entry &Which);
  const Entry *find(const std::string &TargetId) const;
  double decayed(double Value, double Baseline, const Entry &Which,
                 BootTime Now) const;
  void recordOutcome(Entry &Which, double Slowness, double Failure,
                     BootTime Now);

  LoadTrackerOptions m_Options;
  BootClock::duration m_PeerLifetime;
  std::map<std::string, Entry> m_Entries;
  /// \name Peers' work. A question adds one sum to the own work: walking all
  /// peers took some 100 look-ups for each engine, and a plan asks for each
  /// engine several times. Silent peers are forgotten by the next question, so
  /// questions change both.
  /// @{
  mutable std::map<std::string, PeerView> m_Peers;
  /// Equals the sum over m_Peers, by target.
  mutable std::unordered_map<std::string, Sum> m_PeerSums;
  /// No peer was heard before this.
  mutable BootTime m_OldestReport{};
  /// @}
  uint64_t m_LastTicket = 0;
};

} // namespace figlift::dispatch
