//===- PeerServer.h - Streams of entries and other agents -------*- C++ -*-===//
//
// The agent's wire listener: reads messages on the I/O threads and posts them
// to the loop, and keeps the open streams for the answers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "PeerHandler.h"
#include "Replies.h"

#include <memory>
#include <unordered_map>

namespace figlift::agent {

class PeerServer final : public Replies {
public:
  /// Binds the peer port exclusively: a predecessor in this slot that is only
  /// paused still holds the port, so two agents never serve one target.
  static Result<std::unique_ptr<PeerServer>> create(Context Shared,
                                                    PeerHandler &Handler);
  ~PeerServer() override;

  void send(StreamId Stream,
            const google::protobuf::MessageLite &Message) override;
  void finish(StreamId Stream) override;
  void cancel(StreamId Stream) override;

  /// GOAWAY to all peers: new streams are refused provably.
  void goAway() { m_Server->drain(); }
  bool isOpen(StreamId Stream) const { return m_Streams.contains(Stream); }
  size_t openStreams() const { return m_Streams.size(); }
  wire::Server &server() { return *m_Server; }
  const wire::Server &server() const { return *m_Server; }

private:
  class Listener;
  class Incoming;

  PeerServer(Context Shared, PeerHandler &Handler)
      : m_Shared(Shared), m_Handler(Handler) {}

  Context m_Shared;
  PeerHandler &m_Handler;
  std::unordered_map<StreamId, std::shared_ptr<wire::Stream>> m_Streams;
  std::unique_ptr<wire::Server> m_Server;
};

} // namespace figlift::agent
