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
  /// A request is refused once so many servers have ended under it.
  size_t CrashLimit = 3;
  /// How long others of the fleet leave a suspect alone that was sent to a
  /// server: one that is guilty ends it within this time.
  std::chrono::milliseconds RunsAlone{500};
  /// A refused request is tried once this long after its last crash; after each
  /// further crash the pause is PauseFactor times as long.
  std::chrono::seconds FirstPause{30};
  int PauseFactor = 6;
  /// Crashes from which a request is not tried any more: the limit and three.
  size_t LastTrial = 6;
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

  /// \p Server ended while it had the request.
  void crashed(const RequestFingerprint &What, const ServerStart &Server,
               BootTime Now);
  /// A server has run the request to an end, and goes on.
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
  struct Entry {
    /// By start, and when it ended. All of them later than Cleared.
    std::map<ServerStart, BootTime> Crashes;
    std::optional<BootTime> Cleared;
    BootTime AloneUntil{};
    BootTime Changed{};

    BootTime lastCrash() const;
  };
  using Entries = std::map<RequestFingerprint, Entry>;

  Entries::value_type &entry(const RequestFingerprint &What, BootTime Now);
  void evict();
  void changed(Entries::value_type &Which, BootTime Now);
  bool note(Entry &Of, const ServerStart &Server, BootTime At) const;
  static void clear(Entry &Which, BootTime At);
  bool over(const Entry &Which, BootTime Now) const;
  BootTime refusedUntil(const Entry &Which) const;
  static SuspectNews news(const Entries::value_type &Of, BootTime Now);

  CrashSuspectOptions m_Options;
  Entries m_Entries;
  /// Changed since the last call of takeFresh(); some may be gone again.
  std::set<RequestFingerprint> m_Fresh;
  /// \name The requests that repeats() told last, as it goes by turns.
  /// @{
  RequestFingerprint m_ManyToldLast;
  RequestFingerprint m_NewToldLast;
  /// @}
};

} // namespace figlift::dispatch
