//===- ConfigSource.h - Sources of the configuration ------------*- C++ -*-===//
//
// Interface through which a ConfigFollower reads. Entries read from the table
// and from peers, agents from peers only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Delta.h"
#include "LibPlatform/Platform.h"

#include <functional>
#include <memory>

namespace figlift::config {

/// Every callback is called exactly once, on any thread, within a timeout.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;
  virtual void readHead(platform::Callback<uint64_t> Done) = 0;
  /// All changes after the revision; the whole configuration if it is 0.
  virtual void fetchChanges(uint64_t After, platform::Callback<Delta> Done) = 0;
  /// Changes after the revision, from the first peer that has them. With
  /// \p AskAll, queries all reachable peers and returns the changes of the peer
  /// with the newest revision.
  virtual void fetchFromPeers(uint64_t After, bool AskAll,
                              platform::Callback<Delta> Done) = 0;
};

/// Fetches from peers over the streams of the process; see
/// ConfigSource::fetchFromPeers().
using PeerFetcher = std::function<void(uint64_t After, bool AskAll,
                                       platform::Callback<Delta> Done)>;

/// Reads from the table and from peers. \p Table must outlive the source and
/// its calls.
std::shared_ptr<ConfigSource> makeTableSource(platform::Table &Table,
                                              PeerFetcher Peers);

/// Reads from peers only; for agents, which never read the table.
std::shared_ptr<ConfigSource> makePeerSource(PeerFetcher Peers);

} // namespace figlift::config
