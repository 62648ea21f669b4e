//===- ServerList.h - What the store lists ----------------------*- C++ -*-===//
//
// The server list as of a version of the store, from full reads, reads of
// changes and announcements of peers, in whichever order these arrive. It holds
// only what servers have written, so all processes that know the same version
// have the same list. What a process concludes itself, from answers of servers
// or from an outage of the store, is in TargetTable.
//
// Rows are ordered by the version of the store. A delayed write to the store
// can replace a newer entry by an older one; applying it would restore an
// earlier start or the non-draining state of a server that is leaving. A store
// that is restored from a copy lists servers that had been removed.
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
#include <vector>

namespace figlift::dispatch {

/// A change of the list. Removals are also reported of servers that are not
/// listed here, as peers may list them.
struct ListedChange {
  ServerChange Change;
  /// The entry differs in its heartbeat alone from the row before in the store.
  bool OnlyHeartbeat = false;
};

struct ListUpdate {
  std::vector<ListedChange> Changes;
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
  /// Restoring the store from a copy older than this brings back removed
  /// servers.
  std::chrono::milliseconds RemovedEntryRetention{30000};
};

class ServerList {
public:
  explicit ServerList(ServerListOptions Options = {}) : m_Options(Options) {}

  /// Applies all rows of the table as of \p Version. Has no effect if a later
  /// version is known.
  ListUpdate replaceAll(const std::vector<ServerChange> &Rows,
                        StoreVersion Version, Removals Kind, BootTime Now);
  /// Applies the rows, in order, that were written since an earlier read up to
  /// \p Version, or that a peer announced.
  ListUpdate applyChanges(const std::vector<ServerChange> &Rows,
                          StoreVersion Version, Removals Kind, BootTime Now);
  /// Forgets servers that were removed long ago.
  void forgetRemoved(BootTime Now);

  StoreVersion version() const { return m_Version; }
  /// Null if the server is not listed.
  const Target *find(const std::string &Id) const;

private:
  struct Server {
    std::optional<Target> Listed;
    /// The last entry of a removed server.
    std::optional<Target> Removed;
    BootTime RemovedAt{};
    /// The entry may have expired in an outage of the store.
    bool MayBeExpired = false;
    /// An entry that looks older than the last one. A second entry that is
    /// newer than it comes from a server whose clock or heartbeat went back,
    /// and is accepted.
    std::optional<Target> Suspected;
    /// Version of the last row that was applied, or as of which the server was
    /// last known to be removed.
    StoreVersion Version;
    /// Version of the last row that was taken for a late write.
    StoreVersion LateVersion;
  };

  void applyRow(const ServerChange &Row, Removals Kind, BootTime Now,
                ListUpdate &Out);
  void applyEntry(Server &Known, const ServerChange &Row, ListUpdate &Out);
  void remove(Server &Known, const ServerChange &Row, Removals Kind,
              BootTime Now, ListUpdate &Out);
  static bool isDelayedWrite(Server &Known, const Target &Entry);

  ServerListOptions m_Options;
  std::map<std::string, Server> m_Servers;
  StoreVersion m_Version;
  BootTime m_ForgottenAt{};
};

} // namespace figlift::dispatch
