//===- TargetTable.h - Cached view of the server list -----------*- C++ -*-===//
//
// Last known state of the platform's server list. While the store is
// unavailable the last list stays in use, because requests must not wait for
// the store. Entries that expire during the outage are registered again shortly
// after it, so missing entries are kept for that time. A server that has really
// left is detected by its successor at the same address, which rejects requests
// that are meant for another server, or because it no longer answers.
//
// A server that restarts under the same id is a new target: its tracked state
// (work, cache, speed, connections) is dropped. A delayed write to the store
// can replace a newer entry by an older one; applying it would restore an
// earlier start or the non-draining state of a server that is leaving. A store
// that is restored from a copy lists servers that had been removed.
//
// A server that shuts down may say so in its answers before its entry does, or
// without its entry ever doing so. Its own word holds for the rest of its
// start: an entry that says "ready" was written earlier, or by a server that
// does not report its shutdown.
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
#include <utility>
#include <variant>
#include <vector>

namespace figlift::dispatch {

/// \name Changes to the table.
/// @{
struct TargetAdded {
  Target Entry;
};
struct TargetChanged {
  Target Entry;
};
struct TargetDraining {
  std::string Id;
};
struct TargetRemoved {
  std::string Id;
};
/// @}
using TargetEvent =
    std::variant<TargetAdded, TargetChanged, TargetDraining, TargetRemoved>;

struct TargetTableOptions {
  /// Servers register again within two seconds after an outage of the store.
  std::chrono::milliseconds ReregistrationTime{2000};
  /// The store may have become available at any time after the last failed
  /// call. An entry that is missing this long after that call is removed.
  /// Calls are rare during an outage, so if the time counted from the first
  /// answer only, a server that has left would receive requests for longer than
  /// the platform allows.
  std::chrono::milliseconds TimeAfterLastFailure{2300};
  /// Restoring the store from a copy older than this brings back removed
  /// servers.
  std::chrono::milliseconds RemovedEntryRetention{30000};
};

class TargetTable {
public:
  explicit TargetTable(TargetTableOptions Options = {});

  /// The store was unreachable or rejected the call.
  void recordStoreFailure(BootTime Now);
  bool storeUnavailable() const { return m_StoreUnavailable; }
  /// Applies a complete list.
  std::vector<TargetEvent> replaceAll(const std::vector<Target> &Listed,
                                      BootTime Now);
  /// Applies one written entry.
  std::vector<TargetEvent> update(const Target &Entry, BootTime Now);
  /// Applies the removal of one entry.
  std::vector<TargetEvent> remove(const std::string &Id, BootTime Now);
  /// Records that the server itself has said that it is shutting down.
  std::vector<TargetEvent> recordShutdown(const ServerStart &Server,
                                          BootTime Now);
  /// Removes missing entries whose grace period has ended.
  std::vector<TargetEvent> tick(BootTime Now);

  const std::map<std::string, Target> &all() const { return m_Targets; }
  /// Whether the table holds servers that the store no longer lists.
  bool hasMissingTargets() const { return !m_Missing.empty(); }
  const Target *find(const std::string &Id) const;

private:
  void recordStoreAnswer(BootTime Now);
  void apply(Target Entry, std::vector<TargetEvent> &Out);
  bool isDelayedWrite(const Target &Current, const Target &Entry);
  void drop(const std::string &Id, BootTime Now, std::vector<TargetEvent> &Out);
  bool isStaleRemovedEntry(const Target &Entry);
  void forgetOldShutdowns(BootTime Now);

  TargetTableOptions m_Options;
  std::map<std::string, Target> m_Targets;
  /// Entries that look older than the current entry of their target, by id. A
  /// second entry that is newer than the first comes from a server whose clock
  /// or heartbeat went back, and is accepted.
  std::map<std::string, Target> m_SuspectEntries;
  /// Removed servers with their last entries and the times of removal.
  std::map<std::string, std::pair<Target, BootTime>> m_Removed;
  /// Starts of servers that have said that they are shutting down, and when
  /// they were listed last.
  std::map<ServerStart, BootTime> m_ShuttingDown;
  /// Entries that the store does not list now and may list again.
  std::set<std::string> m_Missing;
  bool m_StoreUnavailable = false;
  /// Time of the last failed call.
  BootTime m_LastFailure{};
  /// End of the grace period for missing entries.
  std::optional<BootTime> m_GraceUntil;
};

} // namespace figlift::dispatch
