//===- PeerClient.cpp - Queries to other processes ------------------------===//
//
// Opens one stream for each query and retries queries that were not sent.
//
//===----------------------------------------------------------------------===//

#include "PeerClient.h"

namespace figlift::agent {

static constexpr std::chrono::milliseconds RetryInterval{50};
static constexpr std::chrono::milliseconds IdleTimeout{30000};
static constexpr unsigned MaximumAttempts = 30;

namespace {
class NullChannelListener final : public wire::ChannelListener {
public:
  void onState(wire::Channel &, wire::ChannelState) override {}
};
} // namespace

/// Receives the single message of the reply and passes it to the event loop
/// when the stream ends.
class PeerClient::ReplyListener final : public wire::StreamListener {
public:
  using EndHandler = std::function<void(wire::StreamEnd, std::string)>;
  ReplyListener(EventLoop &Loop, EndHandler OnEnd)
      : m_Loop(Loop), m_OnEnd(std::move(OnEnd)) {}

  void onMessage(std::string_view Message) override { m_Received = Message; }
  void onEnd(wire::StreamEnd End) override {
    m_Loop.post([OnEnd = m_OnEnd, End, Received = std::move(m_Received)] {
      OnEnd(End, Received);
    });
  }

private:
  EventLoop &m_Loop;
  const EndHandler m_OnEnd;
  std::string m_Received;
};

Result<std::unique_ptr<PeerClient>> PeerClient::create(Context Shared) {
  std::unique_ptr<PeerClient> Created(new PeerClient(Shared));
  wire::ClientOptions Options;
  Options.Threads = 1;
  Options.ConnectTimeout = Shared.Settings.Wire.ConnectTimeout;
  Options.HeartbeatInterval = Shared.Settings.Wire.HeartbeatInterval;
  Options.HeartbeatTimeout = Shared.Settings.Wire.HeartbeatTimeout;
  auto Client = wire::Client::create(Options);
  if (!Client)
    return outcome::failure(Client.error());
  Created->m_Client = std::move(Client.value());
  return Created;
}

PeerClient::~PeerClient() {
  for (auto &[Peer, Connection] : m_Connections)
    Connection.Channel->close();
}

wire::Channel &PeerClient::connection(const Endpoint &Peer) {
  Connection &Result = m_Connections[Peer];
  if (!Result.Channel)
    Result.Channel =
        m_Client->connect(Peer, std::make_shared<NullChannelListener>());
  Result.LastUsed = BootClock::now();
  return *Result.Channel;
}

bool PeerClient::reachable(const Endpoint &Peer) {
  return connection(Peer).state() == wire::ChannelState::Up;
}

void PeerClient::closeIdle() {
  const BootTime Now = BootClock::now();
  std::erase_if(m_Connections, [Now](const auto &Entry) {
    if (Now - Entry.second.LastUsed < IdleTimeout)
      return false;
    Entry.second.Channel->close();
    return true;
  });
}

void PeerClient::query(const Endpoint &Peer, wire::Method Method,
                       std::vector<std::string> Messages, Done OnDone) {
  auto Query = std::make_shared<PendingQuery>(
      PendingQuery{Peer, Method, std::move(Messages), std::move(OnDone)});
  send(std::move(Query));
}

void PeerClient::send(std::shared_ptr<PendingQuery> Query) {
  wire::Channel &Channel = connection(Query->Peer);
  ++Query->Attempts;
  const auto Listener = std::make_shared<ReplyListener>(
      m_Shared.Loop, [this, Query](wire::StreamEnd End, std::string Text) {
        ended(Query, End, std::move(Text));
      });
  const bool Single = Query->Messages.size() == 1;
  const auto Stream =
      Channel.open(Query->Method, Query->Messages.front(), Listener, Single);
  if (Single || !Stream)
    return;
  for (size_t Index = 1; Index < Query->Messages.size(); ++Index)
    Stream->send(Query->Messages[Index]);
  Stream->finish();
}

void PeerClient::ended(const std::shared_ptr<PendingQuery> &Query,
                       wire::StreamEnd End, std::string Received) {
  const bool Unsent = End == wire::StreamEnd::NeverSent ||
                      End == wire::StreamEnd::ProvablyNotProcessed;
  if (Unsent && Query->Attempts < MaximumAttempts) {
    m_Shared.Loop.after(RetryInterval, [this, Query] { send(Query); });
    return;
  }
  if (!Received.empty())
    return Query->OnDone(std::move(Received));
  Query->OnDone(
      failure(Unsent ? ResultCode::PeerUnreachable : ResultCode::OutcomeUnknown,
              "no reply from " + Query->Peer.toString()));
}

} // namespace figlift::agent
