//===- CrashCauses.h - What explains the crashes of servers -----*- C++ -*-===//
//
// A request may crash the server that begins to write an answer to it, because
// of the request as a whole or because of one part of its prompt, which many
// other requests may have. Without this class prompts with such a part would
// end one server after another, as no two of them are the same request.
//
// Each crash has a set of candidates: the requests that were on the server, as
// far as they had not been writing for long, and their shared prompt parts. At
// most one of them is the cause, often none. The causes that are rejected are
// the fewest candidates that explain the crashes: the one with most evidence
// first, then the next one from the crashes that are left, and so on. They are
// determined anew with each crash, so a part that was rejected together with
// the cause is accepted again when the cause is known.
//
// A candidate that explains no more crashes than one further back in the prompt
// is not rejected before that one, as more requests have it.
//
// The evidence for a candidate is the largest number of crashes whose sends did
// not overlap. A part that most requests have is on all servers of a zone that
// fails, but there is only one piece of evidence.
//
// A candidate is cleared of all crashes before the moment at which a server
// began to write an answer that it survived. Such a part is never rejected for
// long while other requests have it.
//
// The class reads no clock: times are passed in with the events. Gateways
// exchange their knowledge as CrashCauseUpdate; merging is a union, so updates
// may come late, twice and in any order.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/CrashCauseUpdate.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace figlift::dispatch {

struct CrashCauseOptions {
  /// A candidate is rejected with this much evidence.
  size_t EvidenceLimit = 3;
  /// A rejected cause is tried again (a trial) this long after its last crash;
  /// each trial multiplies the pause by BackoffFactor.
  std::chrono::seconds InitialBackoff{30};
  int BackoffFactor = 6;
  /// After this many trials in the whole fleet there are no more.
  size_t MaximumTrials = 3;
  /// Crashes that no rejected cause explains are dropped after this time.
  std::chrono::minutes CrashRetention{10};
  /// Crashes of a rejected cause are dropped this long after the last one.
  std::chrono::hours RejectionRetention{24};
  /// How long answers are remembered that may concern a crash that is not known
  /// yet.
  std::chrono::milliseconds SurvivalRetention{6000};
  size_t MaximumCrashes = 128;
  /// Of one crash. The ones sent last are kept.
  size_t MaximumCandidates = 64;
  size_t MaximumSurvivals = 2048;
  /// A change is retransmitted to peers for this long by the gateway that
  /// observed it, as datagrams may be lost.
  std::chrono::milliseconds RetransmitTime{1000};
};

/// A cause that is rejected, or is not rejected any more.
struct CauseVerdict {
  Fingerprint Cause;
  bool Rejected = false;
  /// Crashes that it explains; 0 if it is not rejected.
  size_t Crashes = 0;
  size_t Evidence = 0;
};

class CrashCauses {
public:
  explicit CrashCauses(CrashCauseOptions Options = {}) : m_Options(Options) {}

  /// Adds candidates to the crash of a server, which need not be known before.
  void recordCrash(const ServerStart &Server, BootTime CrashedAt,
                   const std::vector<CrashCandidate> &Candidates, BootTime Now);
  /// A server began at \p BeganAt to write an answer to a request with this
  /// cause, and did not crash. Takes effect with the next crash, or expire().
  void recordSurvival(const Fingerprint &Cause, BootTime BeganAt, BootTime Now);
  /// A request with a rejected cause is being sent to a server. \p Id is unique
  /// in the fleet.
  void recordTrial(const Fingerprint &Cause, uint64_t Id, BootTime Now);
  /// Trials of this gateway begin this much later than those of the first one,
  /// so that it learns of them before.
  void setTrialDelay(std::chrono::milliseconds Delay) { m_TrialDelay = Delay; }

  struct Rejection {
    Fingerprint Cause;
    std::chrono::milliseconds RetryAfter{0};
  };
  /// Returns a rejection if a request with these causes must not be sent now.
  std::optional<Rejection> rejects(std::span<const Fingerprint> Causes,
                                   BootTime Now) const;
  bool isRejected(const Fingerprint &Cause) const {
    return m_Rejected.contains(Cause);
  }
  bool isCandidate(const Fingerprint &Cause) const {
    return m_OpenEvidence.contains(Cause);
  }
  /// Whether a rejected cause other than \p Cause explains the crash.
  bool isExplainedByOther(const ServerStart &Server,
                          const Fingerprint &Cause) const;
  /// Evidence from the crashes that no rejected cause explains.
  size_t openEvidence(const Fingerprint &Cause) const;
  /// Whether a single further crash could make the cause a rejected one.
  bool isNearLimit(const Fingerprint &Cause) const {
    return openEvidence(Cause) + 1 >= m_Options.EvidenceLimit;
  }
  size_t rejectedCount() const { return m_Rejected.size(); }
  bool empty() const { return m_Crashes.empty(); }
  size_t crashCount() const { return m_Crashes.size(); }

  /// Returns the verdicts that changed since the last call.
  std::vector<CauseVerdict> takeVerdictChanges();

  void applyUpdate(const CrashCauseUpdate &Update, BootTime Now);
  /// Returns what happened here since the last call, to be sent to peers. Each
  /// element fits into a datagram.
  std::vector<CrashCauseUpdate> takeChanges(BootTime Now);
  /// Returns changes here that peers may have missed, round robin; empty if
  /// there are none.
  CrashCauseUpdate takeRetransmission(BootTime Now);
  /// Returns what explains the rejections, round robin, for peers that know
  /// nothing of them.
  CrashCauseUpdate takeRejections(BootTime Now);
  /// Drops what is out of date.
  void expire(BootTime Now);

private:
  struct Candidacy {
    unsigned Depth = 0;
    std::chrono::milliseconds SentBefore{0};
  };
  struct Crash {
    BootTime At{};
    /// Peers may not know of it before this time.
    BootTime RetransmitUntil{};
    std::map<Fingerprint, Candidacy> Candidates;
  };
  using Crashes = std::map<ServerStart, Crash>;
  struct Survival {
    BootTime BeganAt{};
    /// It has cleared a candidate, which a peer may report again.
    bool HasCleared = false;
    /// Peers may not know of it before this time.
    BootTime RetransmitUntil{};
  };
  struct RejectedCause {
    size_t Crashes = 0;
    size_t Evidence = 0;
    BootTime LastCrash{};
  };
  using RejectedCauses = std::map<Fingerprint, RejectedCause>;
  using Trials = std::map<uint64_t, BootTime>;
  /// A candidate and the crashes that it could explain.
  struct Explanation {
    Fingerprint Cause;
    unsigned Depth = 0;
    std::vector<const Crash *> Crashes;
    size_t Evidence = 0;

    bool isBetterThan(const Explanation &Other) const;
  };

  bool merge(const ServerStart &Server, BootTime CrashedAt,
             const std::vector<CrashCandidate> &Candidates, BootTime Now);
  void evictCrash();
  void limitCandidates(Crash &Known) const;
  bool mergeSurvival(const Fingerprint &Cause, BootTime BeganAt);
  bool clear(const Fingerprint &Cause, BootTime BeganAt);
  static std::map<Fingerprint, Explanation>
  explanations(const std::vector<const Crash *> &Unexplained);
  static bool isDominated(const Explanation &Candidate);
  const Explanation *best(const std::map<Fingerprint, Explanation> &All) const;
  static size_t evidenceOf(const Fingerprint &Cause,
                           std::vector<const Crash *> Crashes);
  void update();
  bool hasRejectedCandidate(const Crash &Known) const;
  bool isExpired(const Crash &Known, BootTime Now) const;
  BootTime rejectedUntil(const Fingerprint &Cause,
                         const RejectedCause &Verdict) const;
  template <typename Predicate>
  void takeCrashes(CrashCauseUpdate &Update, ServerStart &Cursor, BootTime Now,
                   Predicate IsNeeded) const;
  CrashCauseUpdate::Crash makeUpdate(const Crashes::value_type &Known,
                                     BootTime Now) const;

  CrashCauseOptions m_Options;
  std::chrono::milliseconds m_TrialDelay{0};
  /// Crashes without candidates are not kept.
  Crashes m_Crashes;
  std::map<Fingerprint, Survival> m_Survivals;
  /// Only of causes that are candidates of a crash.
  std::map<Fingerprint, Trials> m_Trials;
  /// \name Determined by update() from m_Crashes.
  /// @{
  RejectedCauses m_Rejected;
  /// Of each candidate; 0 if a rejected cause explains all its crashes.
  std::map<Fingerprint, size_t> m_OpenEvidence;
  /// Survivals have cleared candidates since.
  bool m_Stale = false;
  /// @}
  /// As returned by the last call of takeVerdictChanges().
  std::set<Fingerprint> m_ReportedRejected;
  /// \name Changes here since the last call of takeChanges().
  /// @{
  std::set<ServerStart> m_ChangedCrashes;
  std::set<Fingerprint> m_ChangedSurvivals;
  std::vector<CrashCauseUpdate::Trial> m_NewTrials;
  /// @}
  /// \name Positions of the round robins.
  /// @{
  ServerStart m_CrashCursor;
  ServerStart m_RejectionCursor;
  Fingerprint m_SurvivalCursor;
  /// @}
};

} // namespace figlift::dispatch
