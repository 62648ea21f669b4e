//===- TargetTable.h - The servers that may get work ------------*- C++ -*-===//
//
// Keeps the platform's list of servers as this process believes it. While the
// store is away the last list stays in use: a request must not wait for the
// store. Entries that lapsed meanwhile are back a little after its return, so
// an entry that is missing then is kept for that time; a server that really
// left is found by the identity check of its successor, or by its silence.
//
// A server that starts again under its id is another target: what was believed
// of it (work, cache, speed, connections) is dropped. A write that was held up
// on its way to the store can put an older entry in place of a newer one; taken
// at its word, it would bring back an earlier start, or a server that leaves.
// A store that comes back from a copy lists again what was gone before.
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

/// \name What changed for the rest of the process.
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
  /// Servers re-register within two seconds of the store's return.
  std::chrono::milliseconds ReregistrationTime{2000};
  /// The store may have returned any time after the last call that failed. An
  /// entry that is missing this long after that call is gone: counted from the
  /// first answer alone, a server that had left got requests for longer than
  /// the platform allows, as calls are rare while the store is away.
  std::chrono::milliseconds TimeAfterLastFailure{2300};
  /// A copy that is older than this brings back servers that were gone.
  std::chrono::milliseconds RemovedEntryRetention{30000};
};

class TargetTable {
public:
  explicit TargetTable(TargetTableOptions Options = {});

  /// The store could not be reached, or turned this process away.
  void recordStoreFailure(BootTime Now);
  bool storeUnavailable() const { return m_StoreUnavailable; }
  /// A whole list as of one moment.
  std::vector<TargetEvent> replaceAll(const std::vector<Target> &Listed,
                                      BootTime Now);
  /// One entry was written.
  std::vector<TargetEvent> update(const Target &Entry, BootTime Now);
  /// One entry was removed.
  std::vector<TargetEvent> remove(const std::string &Id, BootTime Now);
  /// Passes time: missing entries whose grace is over are gone.
  std::vector<TargetEvent> tick(BootTime Now);

  const std::map<std::string, Target> &all() const { return m_Targets; }
  /// Whether servers are kept that the store no longer lists.
  bool hasMissingTargets() const { return !m_Missing.empty(); }
  const Target *find(const std::string &Id) const;

private:
  void recordStoreAnswer(BootTime Now);
  void apply(const Target &Entry, std::vector<TargetEvent> &Out);
  bool isDelayedWrite(const Target &Current, const Target &Entry);
  void drop(const std::string &Id, BootTime Now, std::vector<TargetEvent> &Out);
  bool isStaleRemovedEntry(const Target &Entry);

  TargetTableOptions m_Options;
  std::map<std::string, Target> m_Targets;
  /// Entries that looked older than what is known of their target, by id. A
  /// second one that is newer than the first shows a server whose clock or
  /// count went back, and is believed.
  std::map<std::string, Target> m_SuspectEntries;
  /// Servers that are gone, with their last entries and since when.
  std::map<std::string, std::pair<Target, BootTime>> m_Removed;
  /// Entries that the store no longer lists, and may list again.
  std::set<std::string> m_Missing;
  bool m_StoreUnavailable = false;
  /// The last call that failed.
  BootTime m_LastFailure{};
  /// Until then a missing entry may be on its way back.
  std::optional<BootTime> m_GraceUntil;
};

} // namespace figlift::dispatch
