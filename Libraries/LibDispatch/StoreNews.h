//===- StoreNews.h - What a process read in the store, for its peers -*- C++
//-*-===//
//
// The list of servers changes in what matters a few times a minute, and in
// heartbeats many times a second; every process that follows it pays for each
// call and each byte. So one process reads and tells the others what changed,
// from which version of the store up to which, and how old its knowledge is.
// Who has missed a part reads for itself.
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

/// A server's entry was written, or removed.
struct ServerChange {
  /// Of the store, when it was written.
  StoreVersion Version;
  std::string Id;
  /// Absent: removed.
  std::optional<Target> Entry;
  bool operator==(const ServerChange &) const = default;
};

struct ServerNews {
  /// All that changed after this version of the store, up to the other. Both,
  /// and the changes, are of one era.
  StoreVersion After;
  StoreVersion UpTo;
  /// Since the store was asked.
  std::chrono::milliseconds Age{0};
  std::vector<ServerChange> Changes;
};

struct ConfigurationNews {
  /// The newest one known, 0 for none.
  uint64_t Version = 0;
  std::chrono::milliseconds Age{0};
};

struct StoreNews {
  std::string From;
  ServerNews Servers;
  ConfigurationNews Configuration;
};

/// CBOR.
std::string encodeStoreNews(const StoreNews &What);
/// Fails with InvalidInput.
Result<StoreNews> decodeStoreNews(std::string_view Bytes);

} // namespace figlift::dispatch
