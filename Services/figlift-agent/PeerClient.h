//===- PeerClient.h - Queries to other processes ----------------*- C++ -*-===//
//
// Sends a query to another figlift process and receives its reply: claims to a
// successor home, or a configuration request to an entry. Event loop's thread
// only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibWire/Wire.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figlift::agent {

class PeerClient {
public:
  /// Receives the peer's reply or the error PeerUnreachable or OutcomeUnknown,
  /// on the event loop's thread.
  using Done = std::function<void(Result<std::string>)>;

  static Result<std::unique_ptr<PeerClient>> create(Context Shared);
  ~PeerClient();

  /// Sends all \p Messages on one stream, once there is a connection.
  void query(const Endpoint &Peer, wire::Method Method,
             std::vector<std::string> Messages, Done OnDone);
  /// Whether a connection to \p Peer is established; starts to connect if not.
  bool reachable(const Endpoint &Peer);
  /// Closes connections that have been idle for a while. Call it about once a
  /// second.
  void closeIdle();
  /// Bytes exchanged; all of them are control work, as no query carries a
  /// caller's request.
  uint64_t bytes() const {
    return m_Client->bytesSent() + m_Client->bytesReceived();
  }

private:
  class ReplyListener;
  struct PendingQuery {
    Endpoint Peer;
    wire::Method Method;
    std::vector<std::string> Messages;
    Done OnDone;
    unsigned Attempts = 0;
  };

  struct Connection {
    std::shared_ptr<wire::Channel> Channel;
    BootTime LastUsed{};
  };

  explicit PeerClient(Context Shared) : m_Shared(Shared) {}
  wire::Channel &connection(const Endpoint &Peer);
  void send(std::shared_ptr<PendingQuery> Query);
  void ended(const std::shared_ptr<PendingQuery> &Query, wire::StreamEnd End,
             std::string Received);

  Context m_Shared;
  std::map<Endpoint, Connection> m_Connections;
  std::unique_ptr<wire::Client> m_Client;
};

} // namespace figlift::agent
