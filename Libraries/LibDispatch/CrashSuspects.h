//===- CrashSuspects.h - Requests suspected of crashing servers -*- C++ -*-===//
//
// Counts, for each request, the servers that ended while they were running it,
// over all attempts and all gateways, and decides whether the request may be
// sent to another server. Without this limit a request that crashes its server
// would end one server after another, together with all other work on them.
//
// Every request that was running on a server when it ended becomes a suspect.
// At most one of them caused the crash, often none. A suspect is therefore
// still sent, but to one server at a time in the whole fleet, until the crash
// limit is reached; a run that completes clears it. A rejected request is tried
// again after long pauses, a limited number of times.
//
// Crashes and evidence are counted separately. The number of crashes bounds the
// damage that a request may do. Evidence is a stricter count: when many callers
// send identical requests, copies run on several servers at once, and another
// request that ends these servers within moments makes the copies look
// responsible for each crash. So each crash has a rank, one more than the
// highest rank that the sender knew when it sent the request; sends that
// overlap get the same rank. Only a send that was made after an earlier crash
// was known, and therefore alone, adds to the evidence.
//
// The class reads no clock: times are passed in with the events. Gateways
// exchange their state as SuspectUpdate; a crash that is reported twice, or by
// two gateways, counts once.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/SuspectUpdate.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

struct CrashSuspectOptions {
  /// A request is rejected once this many servers have crashed while running
  /// it, each of them after the previous crash was known.
  unsigned CrashLimit = 3;
  /// After a suspect was sent to a server, no other gateway sends it for this
  /// time. A request that causes crashes ends its server within this time.
  std::chrono::milliseconds IsolationTime{500};
  /// IsolationTime of a request at the crash limit. Longer, because the outcome
  /// of the previous send must be known before the next one, and that may take
  /// until the store's list drops the server.
  std::chrono::milliseconds IsolationTimeAtLimit{5000};
  /// A rejected request is tried again (a trial) this long after its last
  /// crash; each failed trial multiplies the pause by BackoffFactor.
  std::chrono::seconds InitialBackoff{30};
  int BackoffFactor = 6;
  /// After this many failed trials the request is not tried any more.
  size_t MaximumTrials = 3;
  /// A crash counts as a failed trial if it comes more than this long after the
  /// crash that reached CrashLimit.
  std::chrono::milliseconds TrialDelay{2000};
  /// Maximum number of crashes stored per request.
  size_t MaximumCrashes = 12;
  /// Completed runs are remembered this long, so that a crash that is detected
  /// only afterwards does not count against a request that has completed since.
  std::chrono::milliseconds CompletionRetention{6000};
  size_t MaximumCompleted = 2048;
  /// Cleared requests, and suspects below the limit, are dropped after this
  /// time.
  std::chrono::minutes SuspectRetention{10};
  /// Requests at the crash limit are dropped this long after their last crash.
  std::chrono::hours RejectionRetention{24};
  size_t MaximumSuspects = 1024;
  /// A change is retransmitted to peers for this long, as datagrams may be
  /// lost.
  std::chrono::milliseconds RetransmitTime{1000};
};

/// The request may not be sent to a server now (CrashesTargets).
struct SuspectRejection {
  std::string_view Reason;
  std::chrono::milliseconds RetryAfter{0};
};

class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectOptions Options = {})
      : m_Options(Options) {}

  /// A send that was interrupted because its server ended.
  struct InterruptedSend {
    ServerStart Server;
    BootTime StartedAt{};
    BootTime InterruptedAt{};
  };
  void recordCrash(const RequestFingerprint &Request,
                   const InterruptedSend &Send, BootTime Now);
  /// A server has completed the request and is still running. To be called for
  /// every request, suspected or not, while a crash may still be detected late.
  void recordCompletion(const RequestFingerprint &Request, BootTime Now);
  /// The request is being sent to a server. Ignored unless it is suspected.
  void recordSend(const RequestFingerprint &Request, BootTime Now);

  /// Returns a rejection if no new attempt may begin now.
  std::optional<SuspectRejection>
  rejectsNewAttempt(const RequestFingerprint &Request, BootTime Now) const;
  /// The same for an attempt that has already begun: it does not wait for the
  /// end of its own isolation time.
  std::optional<SuspectRejection>
  rejectsAttempt(const RequestFingerprint &Request, BootTime Now) const;
  /// Returns a rejection while another attempt is in progress.
  std::optional<SuspectRejection> isolates(const RequestFingerprint &Request,
                                           BootTime Now) const;
  /// Whether the same attempt may retry a send that has just been interrupted,
  /// while it is not yet known if the server ended.
  bool mayRetry(const RequestFingerprint &Request) const {
    return crashes(Request) + 1 < m_Options.CrashLimit;
  }
  /// Number of servers that crashed while running the request, since it was
  /// last cleared.
  size_t crashes(const RequestFingerprint &Request) const;
  std::vector<ServerStart>
  crashedServers(const RequestFingerprint &Request) const;
  /// The highest rank of the known crashes; 0 without any.
  size_t evidence(const RequestFingerprint &Request) const;
  bool empty() const { return m_Entries.empty(); }
  size_t size() const { return m_Entries.size(); }

  void applyUpdate(const SuspectUpdate &Update, BootTime Now);
  /// Returns the changes since the last call, to be sent to peers.
  std::vector<SuspectUpdate> takeChanges(BootTime Now);
  /// Returns up to \p Count updates that peers may have missed, round robin:
  /// requests with several crashes, and recent changes of others.
  std::vector<SuspectUpdate> takeRetransmissions(size_t Count, BootTime Now);
  /// Drops expired entries.
  void expire(BootTime Now);

private:
  struct Crash {
    BootTime At{};
    unsigned Rank = 1;
  };
  struct Entry {
    /// By start of the server. All of them are later than ClearedAt.
    std::map<ServerStart, Crash> Crashes;
    /// Element i is the time since when a crash of rank i + 1 or higher is
    /// known here. At most CrashLimit elements: higher ranks add no evidence.
    std::vector<BootTime> RankKnownSince;
    std::optional<BootTime> ClearedAt;
    BootTime IsolatedUntil{};
    BootTime ChangedAt{};

    BootTime lastCrash() const;
    /// The highest rank that was known here at \p Time.
    unsigned rankKnownAt(BootTime Time) const;
  };
  using Entries = std::map<RequestFingerprint, Entry>;

  Entries::value_type &findOrCreate(const RequestFingerprint &Request,
                                    BootTime Now);
  void evict();
  void markChanged(Entries::value_type &Suspect, BootTime Now);
  bool addCrash(Entry &Suspect, const ServerStart &Server, Crash Reported,
                BootTime Now) const;
  static void clear(Entry &Suspect, BootTime Time);
  bool isExpired(const Entry &Suspect, BootTime Now) const;
  bool isRejectable(const Entry &Suspect) const;
  /// The time of the crash that reached CrashLimit; absent below the limit.
  std::optional<BootTime> limitReachedAt(const Entry &Suspect) const;
  size_t failedTrials(const Entry &Suspect) const;
  void dropOneCrash(Entry &Suspect) const;
  BootTime rejectedUntil(const Entry &Suspect) const;
  static SuspectUpdate makeUpdate(const Entries::value_type &Suspect,
                                  BootTime Now);

  CrashSuspectOptions m_Options;
  Entries m_Entries;
  /// Completion times of requests that were not suspected at the time.
  std::map<RequestFingerprint, BootTime> m_Completed;
  /// Requests that changed since the last call of takeChanges(). Some may have
  /// been dropped since.
  std::set<RequestFingerprint> m_Changed;
  /// \name Positions of the round robin in takeRetransmissions().
  /// @{
  RequestFingerprint m_CrashCursor;
  RequestFingerprint m_ChangeCursor;
  /// @}
};

} // namespace figlift::dispatch
