//===- PeerClient.cpp - Questions to other processes ----------------------===//
//
// One stream for each question; a question that never left is sent again.
//
//===----------------------------------------------------------------------===//

#include "PeerClient.h"

namespace figlift::agent {

static constexpr std::chrono::milliseconds RetryInterval{50};
static constexpr std::chrono::milliseconds IdleLimit{30000};
static constexpr unsigned MaximumAttempts = 30;

namespace {
class Ignored final : public wire::ChannelListener {
public:
  void onState(wire::Channel &, wire::ChannelState) override {}
};
} // namespace

/// Collects the one message of the answer.
class PeerClient::Answer final : public wire::StreamListener {
public:
  using End = std::function<void(wire::StreamEnd, std::string)>;
  Answer(Loop &Decisions, End Then)
      : m_Decisions(Decisions), m_Then(std::move(Then)) {}

  void onMessage(std::string_view Message) override { m_Received = Message; }
  void onEnd(wire::StreamEnd How) override {
    m_Decisions.post([Then = m_Then, How, Received = std::move(m_Received)] {
      Then(How, Received);
    });
  }

private:
  Loop &m_Decisions;
  const End m_Then;
  std::string m_Received;
};

Result<std::unique_ptr<PeerClient>> PeerClient::create(Context Shared) {
  std::unique_ptr<PeerClient> Made(new PeerClient(Shared));
  wire::ClientOptions Options;
  Options.Threads = 1;
  Options.ConnectTimeout = Shared.Settings.Wire.ConnectTimeout;
  Options.HeartbeatInterval = Shared.Settings.Wire.HeartbeatInterval;
  Options.HeartbeatTimeout = Shared.Settings.Wire.HeartbeatTimeout;
  auto Client = wire::Client::create(Options);
  if (!Client)
    return outcome::failure(Client.error());
  Made->m_Client = std::move(Client.value());
  return Made;
}

PeerClient::~PeerClient() {
  for (auto &[Peer, Known] : m_Connections)
    Known.Channel->close();
}

wire::Channel &PeerClient::connection(const Endpoint &Peer) {
  Connection &Known = m_Connections[Peer];
  if (!Known.Channel)
    Known.Channel = m_Client->connect(Peer, std::make_shared<Ignored>());
  Known.LastUsed = BootClock::now();
  return *Known.Channel;
}

bool PeerClient::reachable(const Endpoint &Peer) {
  return connection(Peer).state() == wire::ChannelState::Up;
}

void PeerClient::closeIdle() {
  const BootTime Now = BootClock::now();
  std::erase_if(m_Connections, [Now](const auto &Line) {
    if (Now - Line.second.LastUsed < IdleLimit)
      return false;
    Line.second.Channel->close();
    return true;
  });
}

void PeerClient::ask(const Endpoint &Peer, wire::Method What,
                     std::vector<std::string> Messages, Done Then) {
  auto Which = std::make_shared<Question>(
      Question{Peer, What, std::move(Messages), std::move(Then)});
  send(std::move(Which));
}

void PeerClient::send(std::shared_ptr<Question> Which) {
  wire::Channel &Channel = connection(Which->Peer);
  ++Which->Attempts;
  const auto Listener = std::make_shared<Answer>(
      m_Shared.Decisions, [this, Which](wire::StreamEnd End, std::string Text) {
        ended(Which, End, std::move(Text));
      });
  const bool Single = Which->Messages.size() == 1;
  const auto Stream =
      Channel.open(Which->What, Which->Messages.front(), Listener, Single);
  if (Single || !Stream)
    return;
  for (size_t Next = 1; Next < Which->Messages.size(); ++Next)
    Stream->send(Which->Messages[Next]);
  Stream->finish();
}

void PeerClient::ended(const std::shared_ptr<Question> &Which,
                       wire::StreamEnd End, std::string Received) {
  const bool Unsent = End == wire::StreamEnd::NeverSent ||
                      End == wire::StreamEnd::ProvablyNotProcessed;
  if (Unsent && Which->Attempts < MaximumAttempts) {
    m_Shared.Decisions.after(RetryInterval, [this, Which] { send(Which); });
    return;
  }
  if (!Received.empty())
    return Which->Then(std::move(Received));
  Which->Then(
      failure(Unsent ? ResultCode::PeerUnreachable : ResultCode::OutcomeUnknown,
              "no answer of " + Which->Peer.toString()));
}

} // namespace figlift::agent
