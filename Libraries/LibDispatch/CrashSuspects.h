//===- CrashSuspects.h - Requests under which servers ended -----*- C++ -*-===//
//
// Counts the servers that ended while they had a request, over all attempts of
// it and all gateways, and decides whether it may be sent to one more. Such a
// request would otherwise end one server after another, and with each all that
// runs there.
//
// Whoever was at a server that ended is suspected; one of them is guilty at
// most, and often nobody. So a suspect goes on, alone in the fleet, until the
// limit is reached; a run that comes to its end clears it. A request that was
// refused may be tried again much later, a few times.
//
// Two counts are kept apart. Servers that ended bound what a request may cost.
// Evidence is less: copies of a request that many callers send alike are at
// several servers at once, and another request that ends these servers within
// moments makes it look guilty of each. So a crash has a rank, one more than
// the highest that its sender knew of when it sent, and sends that were under
// way together have the same. Only a send that was made in knowledge of a
// crash, and so alone, adds to the evidence.
//
// Pure: times come in with the events. Gateways tell each other what they know
// (SuspectNews); the same crash told twice, or by two gateways, counts once.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/SuspectNews.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

struct CrashSuspectOptions {
  /// A request is refused once so many servers have ended under it, each of
  /// them after the one before was known.
  unsigned CrashLimit = 3;
  /// How long others of the fleet leave a suspect alone that was sent to a
  /// server: one that is guilty ends it within this time.
  std::chrono::milliseconds RunsAlone{500};
  /// The same once the limit of servers has ended: none is sent before it is
  /// known how the one before ended, and that may take until the store's list
  /// drops the server.
  std::chrono::milliseconds RunsAloneAtLimit{5000};
  /// A refused request is tried once this long after its last crash; after each
  /// further crash the pause is PauseFactor times as long.
  std::chrono::seconds FirstPause{30};
  int PauseFactor = 6;
  /// A request is not tried any more after so many sends that ended a server
  /// later than AfterLimit after the last of the first CrashLimit ones.
  size_t SendsAfterLimit = 3;
  std::chrono::milliseconds AfterLimit{2000};
  /// Crashes kept of one request.
  size_t MaximumCrashes = 12;
  /// Runs that came to their end are remembered this long, so that a crash that
  /// becomes known later excuses their request.
  std::chrono::milliseconds CompletedKept{6000};
  size_t MaximumCompleted = 2048;
  /// Suspects below the limit, and cleared ones, are forgotten after this.
  std::chrono::minutes Remembered{10};
  /// Refused ones are forgotten this long after their last crash.
  std::chrono::hours RefusedFor{24};
  size_t MaximumSuspects = 1024;
  /// News that may have been lost are told again for this long.
  std::chrono::milliseconds Repeated{1000};
};

/// The request may not be sent to a server now (CrashesTargets).
struct HeldBack {
  std::string_view Reason;
  std::chrono::milliseconds RetryAfter{0};
};

class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectOptions Options = {})
      : m_Options(Options) {}

  /// A send that broke off, as its server ended.
  struct BrokenSend {
    ServerStart Server;
    BootTime Began{};
    BootTime BrokeOff{};
  };
  void crashed(const RequestFingerprint &What, const BrokenSend &Send,
               BootTime Now);
  /// A server has run the request to an end, and goes on. To be told of all
  /// requests while a crash may still become known.
  void completed(const RequestFingerprint &What, BootTime Now);
  /// The request is being sent to a server; nothing unless it is suspected.
  void sent(const RequestFingerprint &What, BootTime Now);

  /// Whether an attempt may begin now.
  std::optional<HeldBack> holdsBack(const RequestFingerprint &What,
                                    BootTime Now) const;
  /// The same of an attempt that has begun: it need not wait for itself.
  std::optional<HeldBack> refuses(const RequestFingerprint &What,
                                  BootTime Now) const;
  /// Whether a send that has just broken off, of which it is not known yet if
  /// the server ended, may be followed by another one of the same attempt.
  bool mayRepeat(const RequestFingerprint &What) const {
    return crashes(What) + 1 < m_Options.CrashLimit;
  }
  /// Servers that ended under the request and were not excused since.
  size_t crashes(const RequestFingerprint &What) const;
  /// The highest rank of a crash that is known; 0 of none.
  size_t evidence(const RequestFingerprint &What) const;
  /// Nobody is known, and nobody needs to be asked for.
  bool empty() const { return m_Entries.empty(); }
  size_t size() const { return m_Entries.size(); }

  void heard(const SuspectNews &News, BootTime Now);
  /// What has changed since the last call, for peers.
  std::vector<SuspectNews> takeFresh(BootTime Now);
  /// What peers may have missed, by turns: the requests under which several
  /// servers ended, and the newest changes of others. At most \p Count.
  std::vector<SuspectNews> repeats(size_t Count, BootTime Now);
  /// Forgets what is over.
  void tick(BootTime Now);

private:
  struct Crash {
    BootTime At{};
    unsigned Rank = 1;
  };
  struct Entry {
    /// By start. All of them later than Cleared.
    std::map<ServerStart, Crash> Crashes;
    /// Since when a crash of the rank, or of a higher one, is known here. At
    /// most CrashLimit of them: higher ranks say nothing more.
    std::vector<BootTime> RankKnown;
    std::optional<BootTime> Cleared;
    BootTime AloneUntil{};
    BootTime Changed{};

    BootTime lastCrash() const;
    /// The highest rank that was known here at the time.
    unsigned rankKnown(BootTime At) const;
  };
  using Entries = std::map<RequestFingerprint, Entry>;

  Entries::value_type &entry(const RequestFingerprint &What, BootTime Now);
  void evict();
  void changed(Entries::value_type &Which, BootTime Now);
  bool note(Entry &Of, const ServerStart &Server, Crash What,
            BootTime Now) const;
  static void clear(Entry &Which, BootTime At);
  bool over(const Entry &Which, BootTime Now) const;
  bool isGuilty(const Entry &Which) const;
  /// When the last of the first CrashLimit servers ended; absent before.
  std::optional<BootTime> limitReached(const Entry &Which) const;
  size_t sendsAfterLimit(const Entry &Which) const;
  void dropOneBetween(Entry &Of) const;
  BootTime refusedUntil(const Entry &Which) const;
  static SuspectNews news(const Entries::value_type &Of, BootTime Now);

  CrashSuspectOptions m_Options;
  Entries m_Entries;
  /// Ends of runs of requests that nobody suspected then.
  std::map<RequestFingerprint, BootTime> m_Completed;
  /// Changed since the last call of takeFresh(); some may be gone again.
  std::set<RequestFingerprint> m_Fresh;
  /// \name The requests that repeats() told last, as it goes by turns.
  /// @{
  RequestFingerprint m_ManyToldLast;
  RequestFingerprint m_NewToldLast;
  /// @}
};

} // namespace figlift::dispatch
