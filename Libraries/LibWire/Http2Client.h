//===- Http2Client.h - Channels over a set of loops -------------*- C++ -*-===//
//
// Creates channels and distributes them over the I/O threads.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Connection.h"
#include "LibWire/Wire.h"

#include <vector>

namespace figlift::wire {

class Http2Client final : public Client {
public:
  Http2Client(ClientOptions Options, std::vector<std::shared_ptr<Loop>> Loops);
  /// Closes all channels; not from an I/O thread.
  ~Http2Client() override;

  std::shared_ptr<Channel>
  connect(Endpoint Peer, std::shared_ptr<ChannelListener> Listener) override;
  uint64_t bytesSent() const override { return m_Counters->Sent.load(); }
  uint64_t bytesReceived() const override {
    return m_Counters->Received.load();
  }
  uint64_t requestBytes() const override {
    return m_Counters->RequestBytes.load();
  }

private:
  const ClientOptions m_Options;
  const std::vector<std::shared_ptr<Loop>> m_Loops;
  const std::shared_ptr<TrafficCounters> m_Counters =
      std::make_shared<TrafficCounters>();
  std::atomic<uint64_t> m_Channels{0};
};

} // namespace figlift::wire
