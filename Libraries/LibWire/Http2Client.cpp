//===- Http2Client.cpp - Channels over a set of loops ---------------------===//
//
// Starts and stops the client's I/O threads.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Http2Client.h"
#include "LibWire/Http2Channel.h"

#include <algorithm>

namespace figlift::wire {

Result<std::unique_ptr<Client>> Client::create(const ClientOptions &Options) {
  std::vector<std::shared_ptr<Loop>> Loops;
  for (unsigned I = 0; I < std::max(1u, Options.Threads); ++I) {
    auto Created = Loop::create();
    if (!Created)
      return std::move(Created).as_failure();
    Loops.push_back(std::move(Created).value());
  }
  return std::unique_ptr<Client>(
      std::make_unique<Http2Client>(Options, std::move(Loops)));
}

Http2Client::Http2Client(ClientOptions Options,
                         std::vector<std::shared_ptr<Loop>> Loops)
    : m_Options(Options), m_Loops(std::move(Loops)) {}

Http2Client::~Http2Client() {
  for (const auto &IoLoop : m_Loops)
    IoLoop->stop();
}

std::shared_ptr<Channel>
Http2Client::connect(Endpoint Peer, std::shared_ptr<ChannelListener> Listener) {
  uint64_t Number = m_Channels.fetch_add(1);
  auto Created = std::make_shared<Http2Channel>(
      m_Loops[Number % m_Loops.size()], std::move(Peer), m_Options,
      m_Options.Seed + Number, m_Counters, std::move(Listener));
  Created->start();
  return Created;
}

} // namespace figlift::wire
