//===- ConfigSource.h - Where the configuration comes from ------*- C++ -*-===//
//
// The questions that a ConfigFollower asks, as an interface: entries ask the
// table and their peers, agents their peers alone, tests a fake.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Delta.h"
#include "LibPlatform/Platform.h"

#include <functional>
#include <memory>

namespace figlift::config {

/// Every callback is called exactly once, on any thread, in bounded time.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;
  virtual void readHead(platform::Callback<uint64_t> Done) = 0;
  /// All changes after the revision; after 0 the whole configuration.
  virtual void fetchChanges(uint64_t After, platform::Callback<Delta> Done) = 0;
  /// Changes after the revision from a peer that has them, or from the peer
  /// with the newest revision after all reachable ones were asked.
  virtual void fetchFromPeers(uint64_t After, bool AskAll,
                              platform::Callback<Delta> Done) = 0;
};

/// Asks peers over the streams of the process; see ConfigSource.
using PeerFetcher = std::function<void(uint64_t After, bool AskAll,
                                       platform::Callback<Delta> Done)>;

/// The table and the peers. \p Table must outlive the source and its calls.
std::shared_ptr<ConfigSource> makeTableSource(platform::Table &Table,
                                              PeerFetcher Peers);

/// The peers alone; for agents, which never ask the table.
std::shared_ptr<ConfigSource> makePeerSource(PeerFetcher Peers);

} // namespace figlift::config
