//===- ServerList.h - What the store lists ----------------------*- C++ -*-===//
//
// The server list as of a version of the store, from full reads, reads of
// changes and announcements of peers, in whichever order these arrive. It holds
// only what servers have written, so all processes that know the same version
// have the same list. What a process concludes itself, from answers of servers
// or from an outage of the store, is in TargetTable.
//
// Rows are ordered by the version of the store. The store may perform a write
// seconds after its call, so a row with a newer version may hold an older
// entry. Entries of one server are therefore ordered by start and heartbeat as
// well, and an entry that looks older than one that is known counts as written
// late. Two cases look alike and are told apart by time:
//
// - A server whose clock went back restarts: its entries look older, but more
//   of them follow for longer than the store delays a write.
// - A removed server continues, with higher heartbeats. A late write has a
//   higher heartbeat than those that are known here if peers announced the
//   list, as they do not announce heartbeats. The announcement of a removal
//   therefore has the last heartbeat.
//
// The class reads no clock.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/StoreUpdate.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// Why an entry that was read is not listed.
enum class LateReason {
  /// The same start has written a higher heartbeat.
  OlderHeartbeat,
  /// The start was removed or followed by another one.
  EndedStart,
  /// The start was removed, and its last heartbeat is not known here.
  UnknownLastWrite,
  /// The start is earlier than the one that is known.
  EarlierStart,
};
std::string_view describe(LateReason Reason);

/// A change of the list. Removals are also reported of servers that are not
/// listed here, as peers may list them.
struct ListedChange {
  ServerChange Change;
  /// The entry differs in its heartbeat alone from the row before in the store.
  bool OnlyHeartbeat = false;
};

/// An entry that was written late.
struct LateEntry {
  Target Entry;
  StoreVersion Version;
  LateReason Reason = LateReason::OlderHeartbeat;
  /// The last heartbeat that is known of the listed or removed start.
  uint64_t KnownHeartbeat = 0;
};

struct ListUpdate {
  std::vector<ListedChange> Changes;
  std::vector<LateEntry> Late;
};

/// What the removals of a read mean.
enum class Removals {
  /// The servers have left, or stopped writing.
  Ended,
  /// Entries may have expired while the store was unavailable, and their
  /// servers write them again.
  MayBeExpired,
};

struct ServerListOptions {
  /// The store performs a write at most this long after its call.
  std::chrono::milliseconds MaximumWriteDelay{6000};
  /// A change is known here at most this long after it.
  std::chrono::milliseconds DiscoveryTime{2000};
  /// A copy from which the store is restored may be older than a removal by
  /// this much.
  std::chrono::milliseconds EndedStartRetention{30000};
  /// Bounds the memory for a server that restarts again and again.
  size_t MaximumEndedStarts = 16;
};

class ServerList {
public:
  explicit ServerList(ServerListOptions Options = {}) : m_Options(Options) {}

  /// Applies all rows of the table as of \p Version. Has no effect if a later
  /// version is known.
  ListUpdate replaceAll(const std::vector<ServerChange> &Rows,
                        StoreVersion Version, Removals Kind, BootTime Now);
  /// Applies the rows, in order, that were written since an earlier read up to
  /// \p Version.
  ListUpdate applyRead(const std::vector<ServerChange> &Rows,
                       StoreVersion Version, Removals Kind, BootTime Now);
  /// Applies what a peer announced: all changes up to \p Version that continue
  /// the version known here, and perhaps earlier ones.
  ListUpdate applyAnnounced(const std::vector<ServerChange> &Changes,
                            StoreVersion Version, Removals Kind, BootTime Now);
  /// Forgets starts that ended long ago.
  void forgetEnded(BootTime Now);

  StoreVersion version() const { return m_Version; }
  /// Null if the server is not listed.
  const Target *find(const std::string &Id) const;
  /// Whether \p Entry is the last one that its server has written, as far as is
  /// known.
  bool isCurrent(const Target &Entry) const;
  /// Starts that are remembered.
  size_t endedStarts() const;

private:
  enum class Source { Read, Announced };

  /// A start that was removed from the list or followed by another start.
  struct EndedStart {
    std::optional<StartTime> Started;
    /// The highest heartbeat that is known.
    uint64_t Heartbeat = 0;
    BootTime EndedAt{};
    /// Version of the last entry that was listed.
    StoreVersion LastVersion;
    bool WasRemoved = false;
    /// No higher heartbeat was written before the removal.
    bool IsLastWriteKnown = false;
    /// The entry may have expired in an outage of the store.
    bool MayBeExpired = false;
  };
  /// Entries of one start that look older than what is known.
  struct Suspect {
    std::optional<StartTime> Started;
    uint64_t FirstHeartbeat = 0;
    uint64_t LastHeartbeat = 0;
    BootTime Since{};
  };
  struct Server {
    std::optional<Target> Listed;
    /// Version of the last row that was applied, or as of which the server was
    /// last known to be removed.
    StoreVersion Version;
    /// Version of the last row that was taken for a late write.
    StoreVersion LateVersion;
    /// All of the server's rows up to this version were read here, unless
    /// m_SkippedUpTo is later.
    StoreVersion ReadUpTo;
    std::optional<Suspect> Suspected;
    /// The latest last.
    std::vector<EndedStart> Ended;
  };

  void applyRow(const ServerChange &Row, Source From, Removals Kind,
                BootTime Now, ListUpdate &Out);
  void applyEntry(Server &Known, const ServerChange &Row, Source From,
                  BootTime Now, ListUpdate &Out);
  void accept(Server &Known, const ServerChange &Row, BootTime Now,
              ListUpdate &Out);
  void remove(Server &Known, const ServerChange &Row, Source From,
              Removals Kind, BootTime Now, ListUpdate &Out);
  void end(Server &Known, EndedStart Ended) const;
  /// Takes the last heartbeat of a removed start from a peer.
  void learnLastWrite(const ServerChange &Removal);
  /// Why \p Entry looks older than what is known, if it does.
  std::optional<LateReason> findLateReason(const Server &Known,
                                           const ServerChange &Row, Source From,
                                           BootTime Now) const;
  std::optional<LateReason> findLateReason(const EndedStart &Ended,
                                           const ServerChange &Row, Source From,
                                           BootTime Now) const;
  /// From the end of a start, as known here, until none of its writes can be
  /// late any more.
  std::chrono::milliseconds timeUntilNoneIsLate() const {
    return m_Options.MaximumWriteDelay + m_Options.DiscoveryTime;
  }
  /// Whether entries that look older than what is known come from a server that
  /// runs.
  bool isRunning(Server &Known, const Target &Entry, BootTime Now) const;
  static bool isKnownStart(Server &Known,
                           const std::optional<StartTime> &Started);
  static EndedStart *findEnded(Server &Known,
                               const std::optional<StartTime> &Started);

  ServerListOptions m_Options;
  std::map<std::string, Server> m_Servers;
  StoreVersion m_Version;
  /// Rows up to this version were announced, so heartbeats among them are not
  /// known here.
  StoreVersion m_SkippedUpTo;
  BootTime m_ForgottenAt{};
};

} // namespace figlift::dispatch
