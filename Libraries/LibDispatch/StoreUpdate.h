//===- StoreUpdate.h - Store contents, for peers ----------------*- C++ -*-===//
//
// The list of servers changes a few times a minute in what matters, and many
// times a second in heartbeats; every process that follows it costs the store
// calls and bytes. So one process reads the store and reports to the others
// what changed, between which versions of the store, and the age of its data. A
// process that missed an update reads the store itself.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/StoreVersion.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// The last entry that a start of a server wrote.
struct LastWrite {
  std::optional<StartTime> Started;
  uint64_t Heartbeat = 0;
  bool operator==(const LastWrite &) const = default;
};

/// A write or removal of a server's entry.
struct ServerChange {
  /// Version of the store at the write.
  StoreVersion Version;
  std::string Id;
  /// Absent if the entry was removed.
  std::optional<Target> Entry;
  /// Of a removal: the last write before it, if the sender has read all of the
  /// server's entries. Heartbeats are not announced, and an entry that is
  /// written late can be recognized only by them.
  std::optional<LastWrite> Last = std::nullopt;
  bool operator==(const ServerChange &) const = default;
};

struct ServerUpdate {
  /// The changes after version After of the store, up to and including UpTo.
  /// Both, and the changes, are of the same era.
  StoreVersion After;
  StoreVersion UpTo;
  /// Time since the store was asked.
  std::chrono::milliseconds Age{0};
  std::vector<ServerChange> Changes;
};

struct ConfigurationUpdate {
  /// The newest version known, 0 if there is none.
  uint64_t Version = 0;
  std::chrono::milliseconds Age{0};
};

struct StoreUpdate {
  std::string Sender;
  ServerUpdate Servers;
  ConfigurationUpdate Configuration;
};

/// Encodes as CBOR, without the oldest changes if a datagram cannot hold all.
std::string encodeStoreUpdate(const StoreUpdate &Update);
/// Fails with InvalidInput.
Result<StoreUpdate> decodeStoreUpdate(std::string_view Bytes);

} // namespace figlift::dispatch
