//===- ServerJournal.h - Recent changes of the server list ------*- C++ -*-===//
//
// Keeps the recent changes that this process read or received, ordered by the
// version of the store, to report them to its peers. Only spans of versions
// without a gap are reported: a peer that accepted a span with a gap would send
// work to a removed server, and nothing would ever correct it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/StoreUpdate.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <variant>
#include <vector>

namespace figlift::dispatch {

/// \name Results of applying an update of a peer.
/// @{
/// The update contains nothing that is not known here.
struct NoChanges {};
/// The update begins after the version known here; the changes between are
/// missing.
struct MissingVersions {};
struct ServerChanges {
  std::vector<ServerChange> Changes;
};
/// @}
using UpdateResult = std::variant<NoChanges, MissingVersions, ServerChanges>;

class ServerJournal {
public:
  /// The whole list was read as of \p Version, with a request sent at \p
  /// RequestedAt. The order of the changes since the previous version is
  /// unknown.
  void recordFullRead(StoreVersion Version, BootTime RequestedAt);
  /// All changes after the known version up to \p Version were read. Changes of
  /// another era do not continue those known here; they count as a whole list.
  void recordChanges(StoreVersion Version, BootTime RequestedAt,
                     std::vector<ServerChange> Changes);
  /// Applies an update of a peer if it continues the changes known here.
  UpdateResult applyUpdate(const ServerUpdate &Update, BootTime Now);

  /// Returns the known changes, to be sent to peers.
  ServerUpdate makeUpdate(BootTime Now) const;
  StoreVersion version() const { return m_Version; }
  /// The time as of which the list is known.
  BootTime knownAt() const { return m_KnownAt; }

private:
  /// Peers that received no update for longer than this read the store
  /// themselves.
  static constexpr std::chrono::milliseconds RetentionTime{3000};
  /// Lets an update fit into one datagram, at about 150 bytes per change.
  static constexpr size_t MaximumChanges = 200;

  struct Checkpoint {
    BootTime At{};
    StoreVersion Version;
  };

  void advance(StoreVersion Version, BootTime KnownAt);
  void dropExpired(BootTime Now);

  StoreVersion m_Version;
  BootTime m_KnownAt{};
  /// m_Changes has all changes after this version up to m_Version. Both are of
  /// the same era.
  StoreVersion m_After;
  /// Ordered by version, oldest first.
  std::deque<ServerChange> m_Changes;
  /// Versions that were reached, and when, oldest first.
  std::deque<Checkpoint> m_Checkpoints;
};

} // namespace figlift::dispatch
