//===- PeerServer.cpp - Streams of entries and other agents ---------------===//
//
// One listener object for each stream; it parses on the I/O thread.
//
//===----------------------------------------------------------------------===//

#include "PeerServer.h"

#include "LibLog/Log.h"

#include <atomic>

namespace figlift::agent {

/// One stream as its I/O thread sees it.
class PeerServer::Incoming final : public wire::StreamListener {
public:
  Incoming(PeerServer &Owner, StreamId Id, wire::Method What,
           const std::shared_ptr<wire::Stream> &Opened)
      : m_Owner(Owner), m_Id(Id), m_Method(What), m_Stream(Opened) {}

  void onMessage(std::string_view Message) override;
  void onEnd(wire::StreamEnd End) override;

private:
  template <typename Message>
  void deliver(std::string_view Bytes,
               void (PeerHandler::*Member)(StreamId, Message));

  PeerServer &m_Owner;
  const StreamId m_Id;
  const wire::Method m_Method;
  /// Weak, because the stream owns this listener.
  const std::weak_ptr<wire::Stream> m_Stream;
};

class PeerServer::Listener final : public wire::ServerListener {
public:
  explicit Listener(PeerServer &Owner) : m_Owner(Owner) {}

  std::shared_ptr<wire::StreamListener>
  onStream(wire::Method What, std::shared_ptr<wire::Stream> Opened) override {
    const StreamId Id = ++m_LastId;
    m_Owner.m_Shared.Decisions.post(
        [&Owner = m_Owner, Id, Opened] { Owner.m_Streams[Id] = Opened; });
    return std::make_shared<Incoming>(m_Owner, Id, What, Opened);
  }

private:
  PeerServer &m_Owner;
  std::atomic<StreamId> m_LastId{0};
};

template <typename Message>
void PeerServer::Incoming::deliver(std::string_view Bytes,
                                   void (PeerHandler::*Member)(StreamId,
                                                               Message)) {
  Message Parsed;
  if (!Parsed.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    log::logEvent(log::Level::Warning, "message-malformed",
                  {{"stream", m_Id}, {"bytes", Bytes.size()}});
    if (const auto Stream = m_Stream.lock())
      Stream->cancel();
    return;
  }
  if constexpr (requires { Parsed.clock(); })
    m_Owner.m_Shared.Events.received(Parsed.clock());
  m_Owner.m_Shared.Decisions.post([&Handler = m_Owner.m_Handler, Member,
                                   Id = m_Id,
                                   Parsed = std::move(Parsed)]() mutable {
    (Handler.*Member)(Id, std::move(Parsed));
  });
}

void PeerServer::Incoming::onMessage(std::string_view Message) {
  switch (m_Method) {
  case wire::Method::Run:
    return deliver(Message, &PeerHandler::onRun);
  case wire::Method::Resume:
    return deliver(Message, &PeerHandler::onResume);
  case wire::Method::Order:
    return deliver(Message, &PeerHandler::onOrder);
  case wire::Method::Sync:
    return deliver(Message, &PeerHandler::onSync);
  case wire::Method::Drain:
    return deliver(Message, &PeerHandler::onDrain);
  case wire::Method::Handover:
    return deliver(Message, &PeerHandler::onHandover);
  case wire::Method::Configuration:
    return deliver(Message, &PeerHandler::onConfiguration);
  }
}

void PeerServer::Incoming::onEnd(wire::StreamEnd End) {
  m_Owner.m_Shared.Decisions.post([&Owner = m_Owner, Id = m_Id, End] {
    Owner.m_Streams.erase(Id);
    Owner.m_Handler.onStreamEnd(Id, End);
  });
}

Result<std::unique_ptr<PeerServer>> PeerServer::create(Context Shared,
                                                       PeerHandler &Handler) {
  std::unique_ptr<PeerServer> Made(new PeerServer(Shared, Handler));
  wire::ServerOptions Options;
  Options.Listen = Shared.Settings.Listen.Peer;
  Options.Threads = Shared.Settings.Threads.Wire;
  Options.HeartbeatInterval = Shared.Settings.Wire.HeartbeatInterval;
  Options.HeartbeatTimeout = Shared.Settings.Wire.HeartbeatTimeout;
  auto Server =
      wire::Server::create(Options, std::make_shared<Listener>(*Made));
  if (!Server)
    return outcome::failure(Server.error());
  Made->m_Server = std::move(Server.value());
  return Made;
}

PeerServer::~PeerServer() {
  if (m_Server)
    m_Server->stop();
}

void PeerServer::send(StreamId Stream,
                      const google::protobuf::MessageLite &Message) {
  if (const auto Found = m_Streams.find(Stream); Found != m_Streams.end())
    Found->second->send(Message.SerializeAsString());
}

void PeerServer::finish(StreamId Stream) {
  if (const auto Found = m_Streams.find(Stream); Found != m_Streams.end())
    Found->second->finish();
}

void PeerServer::cancel(StreamId Stream) {
  if (const auto Found = m_Streams.find(Stream); Found != m_Streams.end())
    Found->second->cancel();
}

} // namespace figlift::agent
