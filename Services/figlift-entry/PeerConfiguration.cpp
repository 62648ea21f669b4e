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
constexpr size_t MaximumAgentsAsked = 3;
/// Number of processes queried when one reply is enough.
constexpr size_t MaximumAskedForOne = 2;
/// An entry is reported as unreachable after this many polls without a reply.
constexpr int PollsUntilSilent = 4;

class IgnoreState final : public wire::ChannelListener {
public:
  void onState(wire::Channel &, wire::ChannelState) override {}
};

} // namespace

using Answered = std::function<void(std::optional<config::Delta>)>;

/// One round of queries, which ends with the newest revision received.
class PeerConfiguration::Round {
public:
  explicit Round(platform::Callback<config::Delta> Done)
      : m_Done(std::move(Done)) {}

  void expect(size_t Answers) { m_Missing = Answers; }
  void answered(std::optional<config::Delta> Answer) {
    if (Answer && (!m_Best || Answer->Head > m_Best->Head))
      m_Best = std::move(Answer);
    if (m_Missing > 0 && --m_Missing == 0)
      end();
  }
  void end() {
    if (!m_Done)
      return;
    const auto Done = std::exchange(m_Done, nullptr);
    if (m_Best)
      Done(std::move(*m_Best));
    else
      Done(failure(ResultCode::PeerUnreachable,
                   "no other process returned a configuration"));
  }

private:
  platform::Callback<config::Delta> m_Done;
  size_t m_Missing = 0;
  std::optional<config::Delta> m_Best;
};

class PeerConfiguration::Question final : public wire::StreamListener {
public:
  /// \p OnReply is called once, on the control thread.
  Question(EventLoop &Control, Answered Then, uint64_t After)
      : m_Control(Control), m_Then(std::move(Then)), m_After(After) {}

  void onMessage(std::string_view Message) override {
    wire::ConfigurationReply Reply;
    if (Reply.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
      m_Answer = config::fromReply(Reply, m_After);
  }
  void onEnd(wire::StreamEnd) override {
    m_Control.post([Then = m_Then, Answer = std::move(m_Answer)]() mutable {
      Then(std::move(Answer));
    });
  }

private:
  EventLoop &m_Control;
  const Answered m_Then;
  const uint64_t m_After;
  std::optional<config::Delta> m_Answer;
};

void PeerConfiguration::setPeers(const std::vector<Endpoint> &Peers) {
  const std::set<Endpoint> Wanted(Peers.begin(), Peers.end());
  std::erase_if(m_Peers, [&](const auto &Known) {
    if (Wanted.contains(Known.first))
      return false;
    Known.second->close();
    return true;
  });
  for (const Endpoint &Peer : Wanted)
    if (!m_Peers.contains(Peer))
      m_Peers[Peer] = m_Dependencies.Transport.connect(
          Peer, std::make_shared<IgnoreState>());
}

config::PeerFetcher PeerConfiguration::fetcher() {
  return [this](uint64_t After, bool AskAll,
                platform::Callback<config::Delta> Done) {
    m_Dependencies.Control.post([this, After, AskAll, Done = std::move(Done)] {
      fetch(After, AskAll, Done);
    });
  };
}

std::vector<std::shared_ptr<wire::Channel>>
PeerConfiguration::askable(bool AskAll) const {
  std::vector<std::shared_ptr<wire::Channel>> Channels;
  for (const auto &[Address, Known] : m_Peers)
    if (Known->state() == wire::ChannelState::Up)
      Channels.push_back(Known);
  size_t Agents = 0;
  for (auto &Known : m_Agents())
    if (Agents++ < MaximumAgentsAsked)
      Channels.push_back(std::move(Known));
  if (!AskAll && Channels.size() > MaximumAskedForOne)
    Channels.resize(MaximumAskedForOne);
  return Channels;
}

void PeerConfiguration::fetch(uint64_t After, bool AskAll,
                              platform::Callback<config::Delta> Done) {
  const auto Asked = std::make_shared<Round>(std::move(Done));
  const auto Channels = askable(AskAll);
  if (Channels.empty())
    return Asked->end();
  Asked->expect(Channels.size());
  wire::ConfigurationRequest Request;
  Request.set_after_revision(After);
  Request.set_sender(m_Dependencies.ProcessId);
  for (const auto &Known : Channels)
    Known->open(wire::Method::Configuration, Request.SerializeAsString(),
                std::make_shared<Question>(
                    m_Dependencies.Control,
                    [Asked](std::optional<config::Delta> Answer) {
                      Asked->answered(std::move(Answer));
                    },
                    After));
  m_Dependencies.Control.after(m_Dependencies.Timeout,
                               [Asked] { Asked->end(); });
}

void PeerConfiguration::startPolling(
    std::function<void(config::Delta)> OnAnswer) {
  m_OnAnswer = std::move(OnAnswer);
  poll();
}

void PeerConfiguration::poll() {
  if (!m_OnAnswer)
    return;
  const uint64_t Held = m_Dependencies.Revision();
  wire::ConfigurationRequest Request;
  Request.set_after_revision(Held);
  Request.set_sender(m_Dependencies.ProcessId);
  for (const auto &[Address, Known] : m_Peers)
    if (Known->state() == wire::ChannelState::Up)
      Known->open(wire::Method::Configuration, Request.SerializeAsString(),
                  std::make_shared<Question>(
                      m_Dependencies.Control,
                      [this, Peer = Address](auto Answer) {
                        if (Answer)
                          heard(Peer, std::move(*Answer));
                      },
                      Held));
  m_Dependencies.Control.after(m_Dependencies.PollInterval, [this] { poll(); });
}

void PeerConfiguration::heard(const Endpoint &Peer, config::Delta Answer) {
  {
    std::lock_guard Lock(m_HeardMutex);
    m_Heard[Peer] = {Answer.Head, BootClock::now()};
  }
  if (m_OnAnswer)
    m_OnAnswer(std::move(Answer));
}

std::optional<uint64_t>
PeerConfiguration::revisionOf(const Endpoint &Peer) const {
  std::lock_guard Lock(m_HeardMutex);
  const auto Found = m_Heard.find(Peer);
  const auto Fresh = m_Dependencies.PollInterval * PollsUntilSilent;
  if (Found == m_Heard.end() || BootClock::now() - Found->second.At > Fresh)
    return std::nullopt;
  return Found->second.Revision;
}

} // namespace figlift::entry
