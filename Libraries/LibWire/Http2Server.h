//===- Http2Server.h - Listener for peers -----------------------*- C++ -*-===//
//
// Accepts connections on its first I/O loop and distributes them over all
// loops.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/ServerConnection.h"

#include <vector>

namespace figlift::wire {

class Http2Server final : public Server {
public:
  Http2Server(Endpoint Bound, std::vector<std::shared_ptr<Loop>> Loops,
              std::shared_ptr<ServerState> State);
  ~Http2Server() override;

  const Endpoint &endpoint() const override { return m_Endpoint; }
  void drain() override;
  size_t openStreams() const override { return m_State->OpenStreams.load(); }
  uint64_t bytesSent() const override { return m_State->Counters->Sent.load(); }
  uint64_t bytesReceived() const override {
    return m_State->Counters->Received.load();
  }
  uint64_t requestBytes() const override {
    return m_State->Counters->RequestBytes.load();
  }
  void stop() override;

private:
  const Endpoint m_Endpoint;
  const std::vector<std::shared_ptr<Loop>> m_Loops;
  const std::shared_ptr<ServerState> m_State;
};

} // namespace figlift::wire
