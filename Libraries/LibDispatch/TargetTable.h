//===- TargetTable.h - Servers that are used --------------------*- C++ -*-===//
//
// The listed servers together with what this process concludes itself. The list
// is that of ServerList, and nothing in this table is announced as the store's.
//
// While the store is unavailable the last list stays in use, because requests
// must not wait for the store. Entries that expire during the outage are
// registered again shortly after it, so missing entries are kept for that time.
// A server that has really left is detected by its successor at the same
// address, which rejects requests that are meant for another server, or because
// it no longer answers.
//
// A server that restarts under the same id is a new target: its tracked state
// (work, cache, speed, connections) is dropped.
//
// A server that shuts down may say so in its answers before its entry does, or
// without its entry ever doing so. Its own word holds for the rest of its
// start: an entry that says "ready" was written earlier, or by a server that
// does not report its shutdown.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/ServerList.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
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
  /// An entry may be missing for a moment, and come back from a copy of the
  /// store for as long as that of a removed server.
  std::chrono::milliseconds ShutdownRetention{30000};
};

class TargetTable {
public:
  explicit TargetTable(TargetTableOptions Options = {});

  /// The store was unreachable or rejected the call.
  void recordStoreFailure(BootTime Now);
  /// The store has answered a read of the list.
  void recordStoreAnswer(BootTime Now);
  bool storeUnavailable() const { return m_StoreUnavailable; }
  /// Whether entries that are removed now may have expired during an outage.
  bool awaitsRegistrations(BootTime Now) const {
    return m_GraceUntil && Now < *m_GraceUntil;
  }
  std::vector<TargetEvent> apply(const std::vector<ListedChange> &Changes,
                                 BootTime Now);
  /// Records that the server itself has said that it is shutting down.
  std::vector<TargetEvent> recordShutdown(const ServerStart &Server,
                                          BootTime Now);
  /// Removes missing entries whose grace period has ended.
  std::vector<TargetEvent> tick(BootTime Now);

  const std::map<std::string, Target> &all() const { return m_Targets; }
  const Target *find(const std::string &Id) const;

private:
  void applyEntry(Target Entry, std::vector<TargetEvent> &Out);
  void drop(const std::string &Id, std::vector<TargetEvent> &Out);
  void forgetOldShutdowns(BootTime Now);

  TargetTableOptions m_Options;
  std::map<std::string, Target> m_Targets;
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
