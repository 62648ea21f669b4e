//===- PeerConfiguration.cpp - Configuration fetched from peers -----------===//
//
// See PeerConfiguration.h. State without a mutex is used on the control thread
// only.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/PeerConfiguration.h"

#include "LibConfig/WireDelta.h"
#include "LibWire/Messages.pb.h"

#include <algorithm>
#include <set>

namespace figlift::entry {

namespace {

/// Number of agents queried in addition to the other entries.
constexpr size_t MaximumAgentsQueried = 3;
/// Number of processes queried when one reply is enough.
constexpr size_t MaximumQueriesForOneReply = 2;
/// An entry is reported as unreachable after this many polls without a reply.
constexpr int PollsUntilUnreachable = 4;

class IgnoringChannelListener final : public wire::ChannelListener {
public:
  void onState(wire::Channel &, wire::ChannelState) override {}
};

} // namespace

using ReplyCallback = std::function<void(std::optional<config::Delta>)>;

/// One round of queries, which ends with the newest revision received.
class PeerConfiguration::Round {
public:
  explicit Round(platform::Callback<config::Delta> Done)
      : m_Done(std::move(Done)) {}

  void expect(size_t Replies) { m_PendingReplies = Replies; }
  void onReply(std::optional<config::Delta> Reply) {
    if (Reply && (!m_Newest || Reply->Head > m_Newest->Head))
      m_Newest = std::move(Reply);
    if (m_PendingReplies > 0 && --m_PendingReplies == 0)
      end();
  }
  void end() {
    if (!m_Done)
      return;
    const auto Done = std::exchange(m_Done, nullptr);
    if (m_Newest)
      Done(std::move(*m_Newest));
    else
      Done(failure(ResultCode::PeerUnreachable,
                   "no other process returned a configuration"));
  }

private:
  platform::Callback<config::Delta> m_Done;
  size_t m_PendingReplies = 0;
  std::optional<config::Delta> m_Newest;
};

class PeerConfiguration::Query final : public wire::StreamListener {
public:
  /// \p OnReply is called once, on the control thread.
  Query(EventLoop &Control, ReplyCallback OnReply, uint64_t After)
      : m_Control(Control), m_OnReply(std::move(OnReply)), m_After(After) {}

  void onMessage(std::string_view Message) override {
    wire::ConfigurationReply Reply;
    if (Reply.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
      m_Reply = config::fromReply(Reply, m_After);
  }
  void onEnd(wire::StreamEnd) override {
    m_Control.post([OnReply = m_OnReply, Reply = std::move(m_Reply)]() mutable {
      OnReply(std::move(Reply));
    });
  }

private:
  EventLoop &m_Control;
  const ReplyCallback m_OnReply;
  const uint64_t m_After;
  std::optional<config::Delta> m_Reply;
};

void PeerConfiguration::setPeers(const std::vector<Endpoint> &Peers) {
  const std::set<Endpoint> Endpoints(Peers.begin(), Peers.end());
  std::erase_if(m_Peers, [&](const auto &Connection) {
    if (Endpoints.contains(Connection.first))
      return false;
    Connection.second->close();
    return true;
  });
  for (const Endpoint &Peer : Endpoints)
    if (!m_Peers.contains(Peer))
      m_Peers[Peer] = m_Dependencies.Transport.connect(
          Peer, std::make_shared<IgnoringChannelListener>());
}

config::PeerFetcher PeerConfiguration::fetcher() {
  return [this](uint64_t After, bool QueryAll,
                platform::Callback<config::Delta> Done) {
    m_Dependencies.Control.post(
        [this, After, QueryAll, Done = std::move(Done)] {
          fetch(After, QueryAll, Done);
        });
  };
}

std::vector<std::shared_ptr<wire::Channel>>
PeerConfiguration::queryChannels(bool QueryAll) const {
  std::vector<std::shared_ptr<wire::Channel>> Channels;
  for (const auto &[Address, Channel] : m_Peers)
    if (Channel->state() == wire::ChannelState::Up)
      Channels.push_back(Channel);
  size_t Agents = 0;
  for (auto &Channel : m_Agents())
    if (Agents++ < MaximumAgentsQueried)
      Channels.push_back(std::move(Channel));
  if (!QueryAll && Channels.size() > MaximumQueriesForOneReply)
    Channels.resize(MaximumQueriesForOneReply);
  return Channels;
}

void PeerConfiguration::fetch(uint64_t After, bool QueryAll,
                              platform::Callback<config::Delta> Done) {
  const auto CurrentRound = std::make_shared<Round>(std::move(Done));
  const auto Channels = queryChannels(QueryAll);
  if (Channels.empty())
    return CurrentRound->end();
  CurrentRound->expect(Channels.size());
  wire::ConfigurationRequest Request;
  Request.set_after_revision(After);
  Request.set_sender(m_Dependencies.ProcessId);
  for (const auto &Channel : Channels)
    Channel->open(wire::Method::Configuration, Request.SerializeAsString(),
                  std::make_shared<Query>(
                      m_Dependencies.Control,
                      [CurrentRound](std::optional<config::Delta> Reply) {
                        CurrentRound->onReply(std::move(Reply));
                      },
                      After));
  m_Dependencies.Control.after(m_Dependencies.Timeout,
                               [CurrentRound] { CurrentRound->end(); });
}

void PeerConfiguration::startPolling(
    std::function<void(config::Delta)> OnDelta) {
  m_OnDelta = std::move(OnDelta);
  poll();
}

void PeerConfiguration::poll() {
  if (!m_OnDelta)
    return;
  const uint64_t CurrentRevision = m_Dependencies.Revision();
  wire::ConfigurationRequest Request;
  Request.set_after_revision(CurrentRevision);
  Request.set_sender(m_Dependencies.ProcessId);
  for (const auto &[Address, Channel] : m_Peers)
    if (Channel->state() == wire::ChannelState::Up)
      Channel->open(wire::Method::Configuration, Request.SerializeAsString(),
                    std::make_shared<Query>(
                        m_Dependencies.Control,
                        [this, Peer = Address](auto Reply) {
                          if (Reply)
                            recordReply(Peer, std::move(*Reply));
                        },
                        CurrentRevision));
  m_Dependencies.Control.after(m_Dependencies.PollInterval, [this] { poll(); });
}

void PeerConfiguration::recordReply(const Endpoint &Peer, config::Delta Reply) {
  {
    std::lock_guard Lock(m_PeerRevisionsMutex);
    m_PeerRevisions[Peer] = {Reply.Head, BootClock::now()};
  }
  if (m_OnDelta)
    m_OnDelta(std::move(Reply));
}

std::optional<uint64_t>
PeerConfiguration::revisionOf(const Endpoint &Peer) const {
  std::lock_guard Lock(m_PeerRevisionsMutex);
  const auto Iterator = m_PeerRevisions.find(Peer);
  const auto MaximumAge = m_Dependencies.PollInterval * PollsUntilUnreachable;
  if (Iterator == m_PeerRevisions.end() ||
      BootClock::now() - Iterator->second.ReceivedAt > MaximumAge)
    return std::nullopt;
  return Iterator->second.Revision;
}

} // namespace figlift::entry
