//===- Http2Server.cpp - Listener for peers -------------------------------===//
//
// Starts, drains and stops a server.
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
  auto State = std::make_shared<ServerState>();
  State->Options = Options;
  State->Listener = std::move(Listener);
  std::vector<std::shared_ptr<Loop>> Loops;
  for (unsigned I = 0; I < std::max(1u, Options.Threads); ++I) {
    auto Created = Loop::create();
    if (!Created) {
      ::close(Socket.value());
      return std::move(Created).as_failure();
    }
    Loops.push_back(std::move(Created).value());
  }
  Endpoint Bound = localEndpoint(Socket.value());
  std::vector<std::weak_ptr<Loop>> WeakLoops(Loops.begin(), Loops.end());
  auto Accepting =
      std::make_shared<Acceptor>(Socket.value(), std::move(WeakLoops), State);
  Loops.front()->post(
      [FirstLoop = Loops.front().get(), Accepting, Listening = Socket.value()] {
        FirstLoop->add(Listening, EPOLLIN, Accepting);
      });
  return std::unique_ptr<Server>(std::make_unique<Http2Server>(
      std::move(Bound), std::move(Loops), std::move(State)));
}

Http2Server::Http2Server(Endpoint Bound,
                         std::vector<std::shared_ptr<Loop>> Loops,
                         std::shared_ptr<ServerState> State)
    : m_Endpoint(std::move(Bound)), m_Loops(std::move(Loops)),
      m_State(std::move(State)) {}

Http2Server::~Http2Server() { stop(); }

void Http2Server::drain() {
  m_State->Draining.store(true);
  for (const auto &IoLoop : m_Loops)
    IoLoop->post([Target = IoLoop.get()] {
      Target->forEach([](Pollable &Entry) {
        if (auto *Connection = dynamic_cast<ServerConnection *>(&Entry))
          Connection->drain();
      });
    });
}

void Http2Server::stop() {
  for (const auto &IoLoop : m_Loops)
    IoLoop->stop();
}

} // namespace figlift::wire
