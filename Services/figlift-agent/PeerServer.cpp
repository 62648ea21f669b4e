//===- PeerServer.cpp - Streams of entries and other agents ---------------===//
//
// Each stream has its own listener, which parses messages on the I/O thread.
//
//===----------------------------------------------------------------------===//

#include "PeerServer.h"

#include "LibLog/Log.h"

#include <atomic>

namespace figlift::agent {

/// Listener of one stream; used on its I/O thread.
class PeerServer::StreamReceiver final : public wire::StreamListener {
public:
  StreamReceiver(PeerServer &Owner, StreamId Id, wire::Method Method,
                 const std::shared_ptr<wire::Stream> &Stream)
      : m_Owner(Owner), m_Id(Id), m_Method(Method), m_Stream(Stream) {}

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
  onStream(wire::Method Method, std::shared_ptr<wire::Stream> Stream) override {
    const StreamId Id = ++m_LastId;
    m_Owner.m_Shared.Loop.post(
        [&Owner = m_Owner, Id, Stream] { Owner.m_Streams[Id] = Stream; });
    return std::make_shared<StreamReceiver>(m_Owner, Id, Method, Stream);
  }

private:
  PeerServer &m_Owner;
  std::atomic<StreamId> m_LastId{0};
};

template <typename Message>
void PeerServer::StreamReceiver::deliver(std::string_view Bytes,
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
  m_Owner.m_Shared.Loop.post([&Handler = m_Owner.m_Handler, Member, Id = m_Id,
                              Parsed = std::move(Parsed)]() mutable {
    (Handler.*Member)(Id, std::move(Parsed));
  });
}

void PeerServer::StreamReceiver::onMessage(std::string_view Message) {
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

void PeerServer::StreamReceiver::onEnd(wire::StreamEnd End) {
  m_Owner.m_Shared.Loop.post([&Owner = m_Owner, Id = m_Id, End] {
    Owner.m_Streams.erase(Id);
    Owner.m_Handler.onStreamEnd(Id, End);
  });
}

Result<std::unique_ptr<PeerServer>> PeerServer::create(Context Shared,
                                                       PeerHandler &Handler) {
  std::unique_ptr<PeerServer> Created(new PeerServer(Shared, Handler));
  wire::ServerOptions Options;
  Options.Listen = Shared.Settings.Listen.Peer;
  Options.Threads = Shared.Settings.Threads.Wire;
  Options.HeartbeatInterval = Shared.Settings.Wire.HeartbeatInterval;
  Options.HeartbeatTimeout = Shared.Settings.Wire.HeartbeatTimeout;
  auto Server =
      wire::Server::create(Options, std::make_shared<Listener>(*Created));
  if (!Server)
    return outcome::failure(Server.error());
  Created->m_Server = std::move(Server.value());
  return Created;
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
