//===- PeerServer.h - Streams of entries and other agents -------*- C++ -*-===//
//
// Parses messages on the I/O threads, posts them to the event loop and keeps
// the open streams for the replies.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "PeerHandler.h"
#include "StreamWriter.h"

#include <memory>
#include <unordered_map>

namespace figlift::agent {

class PeerServer final : public StreamWriter {
public:
  /// Binds the peer port exclusively. A predecessor in this slot that is merely
  /// paused still holds the port, so two agents never serve one target.
  static Result<std::unique_ptr<PeerServer>> create(Context Shared,
                                                    PeerHandler &Handler);
  ~PeerServer() override;

  void send(StreamId Stream,
            const google::protobuf::MessageLite &Message) override;
  void finish(StreamId Stream) override;
  void cancel(StreamId Stream) override;

  /// Sends GOAWAY to all peers. Streams that they open later are refused, and
  /// the peers know that these were not processed.
  void goAway() { m_Server->drain(); }
  bool isOpen(StreamId Stream) const { return m_Streams.contains(Stream); }
  size_t openStreams() const { return m_Streams.size(); }
  wire::Server &server() { return *m_Server; }
  const wire::Server &server() const { return *m_Server; }

private:
  class Listener;
  class StreamReceiver;

  PeerServer(Context Shared, PeerHandler &Handler)
      : m_Shared(Shared), m_Handler(Handler) {}

  Context m_Shared;
  PeerHandler &m_Handler;
  std::unordered_map<StreamId, std::shared_ptr<wire::Stream>> m_Streams;
  std::unique_ptr<wire::Server> m_Server;
};

} // namespace figlift::agent
