//===- PeerClient.h - Questions to other processes --------------*- C++ -*-===//
//
// Asks another figlift process one question and waits for its one answer:
// claims to the next home, configuration from an entry.
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
  /// The peer's answer; errors: PeerUnreachable, OutcomeUnknown. Loop thread.
  using Done = std::function<void(Result<std::string>)>;

  static Result<std::unique_ptr<PeerClient>> create(Context Shared);
  ~PeerClient();

  /// Sends all \p Messages on one stream once a connection is there.
  void ask(const Endpoint &Peer, wire::Method What,
           std::vector<std::string> Messages, Done Then);
  /// Whether a connection to \p Peer stands; begins to connect when none
  /// does.
  bool reachable(const Endpoint &Peer);
  /// Closes connections that nobody has used for a while; about once a second.
  void closeIdle();
  /// Nothing that it asks is a request of a caller.
  uint64_t bytes() const {
    return m_Client->bytesSent() + m_Client->bytesReceived();
  }

private:
  class Answer;
  struct Question {
    Endpoint Peer;
    wire::Method What;
    std::vector<std::string> Messages;
    Done Then;
    unsigned Attempts = 0;
  };

  struct Connection {
    std::shared_ptr<wire::Channel> Channel;
    BootTime LastUsed{};
  };

  explicit PeerClient(Context Shared) : m_Shared(Shared) {}
  wire::Channel &connection(const Endpoint &Peer);
  void send(std::shared_ptr<Question> Which);
  void ended(const std::shared_ptr<Question> &Which, wire::StreamEnd End,
             std::string Received);

  Context m_Shared;
  std::map<Endpoint, Connection> m_Connections;
  std::unique_ptr<wire::Client> m_Client;
};

} // namespace figlift::agent
