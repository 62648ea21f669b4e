//===- PeerConfiguration.h - Configuration fetched from peers ---*- C++ -*-===//
//
// Fetches the configuration from other entries and from agents, so that a
// process that starts during an outage of the table receives it too.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/EventLoop.h"

#include "LibConfig/ConfigSource.h"
#include "LibCore/Clock.h"
#include "LibTimeline/Timeline.h"
#include "LibWire/Wire.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace figlift::entry {

class PeerConfiguration {
public:
  struct Dependencies {
    EventLoop &Control;
    wire::Client &Transport;
    timeline::Timeline &Events;
    std::string ProcessId;
    /// Time limit of one round of queries.
    std::chrono::milliseconds Timeout;
    /// Interval between polls of the other entries.
    std::chrono::milliseconds PollInterval;
    /// Returns the configuration revision of this entry.
    std::function<uint64_t()> Revision;
  };
  /// Returns the connected channels to agents; called on the control thread.
  using AgentChannels =
      std::function<std::vector<std::shared_ptr<wire::Channel>>()>;

  PeerConfiguration(Dependencies Services, AgentChannels Agents)
      : m_Dependencies(std::move(Services)), m_Agents(std::move(Agents)) {}

  /// Polls the connected entries for their configuration. A change thereby also
  /// reaches entries that cannot read the table, and operators can see the
  /// revision of each entry. Control thread.
  void startPolling(std::function<void(config::Delta)> OnDelta);
  /// Revision in force at an entry that replied recently. Thread-safe.
  std::optional<uint64_t> revisionOf(const Endpoint &Peer) const;
  /// Connects to these entries and no others. Control thread.
  void setPeers(const std::vector<Endpoint> &Peers);
  /// Closes every channel. Control thread.
  void stop() {
    m_OnDelta = nullptr;
    setPeers({});
  }
  /// The returned function is thread-safe and must not outlive this object.
  config::PeerFetcher fetcher();

private:
  class Round;
  class Query;

  void fetch(uint64_t After, bool QueryAll,
             platform::Callback<config::Delta> Done);
  std::vector<std::shared_ptr<wire::Channel>>
  queryChannels(bool QueryAll) const;
  void poll();
  void recordReply(const Endpoint &Peer, config::Delta Reply);

  struct PeerRevision {
    uint64_t Revision = 0;
    BootTime ReceivedAt;
  };

  const Dependencies m_Dependencies;
  const AgentChannels m_Agents;
  std::map<Endpoint, std::shared_ptr<wire::Channel>> m_Peers;
  /// Null while not polling.
  std::function<void(config::Delta)> m_OnDelta;
  mutable std::mutex m_PeerRevisionsMutex;
  std::map<Endpoint, PeerRevision> m_PeerRevisions;
};

} // namespace figlift::entry
