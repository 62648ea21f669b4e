//===- Http2Server.cpp - Listener for peers -------------------------------===//
//
// Start, drain and end of a server.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Http2Server.h"
#include "LibWire/Acceptor.h"
#include "LibWire/Socket.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>

namespace figlift::wire {

Result<std::unique_ptr<Server>>
Server::create(const ServerOptions &Options,
               std::shared_ptr<ServerListener> Listener) {
  auto Socket = listenOn(Options.Listen);
  if (!Socket)
    return std::move(Socket).as_failure();
  auto Shared = std::make_shared<ServerState>();
  Shared->Options = Options;
  Shared->Listener = std::move(Listener);
  std::vector<std::shared_ptr<Loop>> Loops;
  for (unsigned I = 0; I < std::max(1u, Options.Threads); ++I) {
    auto Made = Loop::create();
    if (!Made) {
      ::close(Socket.value());
      return std::move(Made).as_failure();
    }
    Loops.push_back(std::move(Made).value());
  }
  Endpoint Bound = localEndpoint(Socket.value());
  std::vector<std::weak_ptr<Loop>> Homes(Loops.begin(), Loops.end());
  auto Accepting =
      std::make_shared<Acceptor>(Socket.value(), std::move(Homes), Shared);
  Loops.front()->post(
      [Home = Loops.front().get(), Accepting, Listening = Socket.value()] {
        Home->add(Listening, EPOLLIN, Accepting);
      });
  return std::unique_ptr<Server>(std::make_unique<Http2Server>(
      std::move(Bound), std::move(Loops), std::move(Shared)));
}

Http2Server::Http2Server(Endpoint Bound,
                         std::vector<std::shared_ptr<Loop>> Loops,
                         std::shared_ptr<ServerState> Shared)
    : m_Endpoint(std::move(Bound)), m_Loops(std::move(Loops)),
      m_Shared(std::move(Shared)) {}

Http2Server::~Http2Server() { stop(); }

void Http2Server::drain() {
  m_Shared->Draining.store(true);
  for (const auto &Each : m_Loops)
    Each->post([Home = Each.get()] {
      Home->forEach([](Pollable &Current) {
        if (auto *Connected = dynamic_cast<ServerConnection *>(&Current))
          Connected->drain();
      });
    });
}

void Http2Server::stop() {
  for (const auto &Each : m_Loops)
    Each->stop();
}

} // namespace figlift::wire
