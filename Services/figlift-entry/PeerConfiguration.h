//===- PeerConfiguration.h - Configuration from other processes -*- C++ -*-===//
//
// Asks other entries, and agents when there are none, for the configuration,
// so that a process that starts during an outage of the table gets it too.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/EventLoop.h"

#include "LibConfig/ConfigSource.h"
#include "LibTimeline/Timeline.h"
#include "LibWire/Wire.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
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
  };
  /// Channels to agents that are up; control thread.
  using AgentChannels =
      std::function<std::vector<std::shared_ptr<wire::Channel>>()>;

  PeerConfiguration(Parts Of, AgentChannels Agents)
      : m_Parts(std::move(Of)), m_Agents(std::move(Agents)) {}

  /// Connects to these entries and no others. Control thread.
  void setPeers(const std::vector<Endpoint> &Peers);
  /// Closes every channel. Control thread.
  void stop() { setPeers({}); }
  /// May be called from any thread, as long as this object lives.
  config::PeerFetcher fetcher();

private:
  class Round;
  class Question;

  void fetch(uint64_t After, bool AskAll,
             platform::Callback<config::Delta> Done);
  std::vector<std::shared_ptr<wire::Channel>> askable(bool AskAll) const;

  const Parts m_Parts;
  const AgentChannels m_Agents;
  std::map<Endpoint, std::shared_ptr<wire::Channel>> m_Peers;
};

} // namespace figlift::entry
