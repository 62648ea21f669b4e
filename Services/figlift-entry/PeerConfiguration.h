//===- PeerConfiguration.h - Configuration from other processes -*- C++ -*-===//
//
// Asks other entries, and agents when there are none, for the configuration,
// so that a process that starts during an outage of the table gets it too.
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
  struct Parts {
    EventLoop &Control;
    wire::Client &Transport;
    timeline::Timeline &Events;
    std::string ProcessId;
    /// Bound of one round of questions.
    std::chrono::milliseconds Timeout;
    /// Between two questions to every other entry.
    std::chrono::milliseconds PollInterval;
    /// Revision that this entry has.
    std::function<uint64_t()> Revision;
  };
  /// Channels to agents that are up; control thread.
  using AgentChannels =
      std::function<std::vector<std::shared_ptr<wire::Channel>>()>;

  PeerConfiguration(Parts Of, AgentChannels Agents)
      : m_Parts(std::move(Of)), m_Agents(std::move(Agents)) {}

  /// Asks every other entry again and again what it has in force: a change
  /// spreads so also from an entry that has it to one that is cut off from the
  /// table, and this entry can tell operators of the others. Control thread.
  void startPolling(std::function<void(config::Delta)> OnAnswer);
  /// Revision in force at an entry that answered lately; any thread.
  std::optional<uint64_t> revisionOf(const Endpoint &Peer) const;
  /// Connects to these entries and no others. Control thread.
  void setPeers(const std::vector<Endpoint> &Peers);
  /// Closes every channel. Control thread.
  void stop() {
    m_OnAnswer = nullptr;
    setPeers({});
  }
  /// May be called from any thread, as long as this object lives.
  config::PeerFetcher fetcher();

private:
  class Round;
  class Question;

  void fetch(uint64_t After, bool AskAll,
             platform::Callback<config::Delta> Done);
  std::vector<std::shared_ptr<wire::Channel>> askable(bool AskAll) const;
  void poll();
  void heard(const Endpoint &Peer, config::Delta Answer);

  struct Heard {
    uint64_t Revision = 0;
    BootTime At;
  };

  const Parts m_Parts;
  const AgentChannels m_Agents;
  std::map<Endpoint, std::shared_ptr<wire::Channel>> m_Peers;
  /// Null when not polling.
  std::function<void(config::Delta)> m_OnAnswer;
  mutable std::mutex m_HeardMutex;
  std::map<Endpoint, Heard> m_Heard;
};

} // namespace figlift::entry
