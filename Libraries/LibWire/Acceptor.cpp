//===- Acceptor.cpp - The listening socket of a server --------------------===//
//
// Runs on the first loop of the server.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Acceptor.h"
#include "LibWire/Socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace figlift::wire {

namespace {
constexpr std::chrono::milliseconds PauseWithoutDescriptors{100};
constexpr int AcceptsPerTurn = 64;
} // namespace

Acceptor::Acceptor(int Socket, std::vector<std::weak_ptr<Loop>> Loops,
                   std::shared_ptr<ServerState> Shared)
    : m_Socket(Socket), m_Loops(std::move(Loops)), m_Shared(std::move(Shared)) {
}

Acceptor::~Acceptor() { onLoopStop(); }

void Acceptor::onLoopStop() {
  if (m_Socket >= 0)
    ::close(std::exchange(m_Socket, -1));
}

void Acceptor::onReady(uint32_t) {
  for (int Turn = 0; Turn < AcceptsPerTurn; ++Turn) {
    int Accepted =
        ::accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Accepted >= 0) {
      admit(Accepted);
      continue;
    }
    // Out of descriptors: the connection stays in the queue and epoll would
    // report it again at once, which spins the thread.
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
        errno == ENOMEM)
      pause();
    if (errno != ECONNABORTED && errno != EINTR)
      return;
  }
}

void Acceptor::admit(int Accepted) {
  // While draining the port stays taken, so that no successor serves beside
  // this process, but a peer gains nothing from a connection that must refuse
  // all its streams.
  bool Full = ++m_Shared->Connections > m_Shared->Options.MaximumConnections;
  if (Full || m_Shared->Draining.load()) {
    --m_Shared->Connections;
    ::close(Accepted);
    return;
  }
  sendPromptly(Accepted);
  auto Target = m_Loops[m_Next++ % m_Loops.size()].lock();
  bool Posted = Target && Target->post([Target, Accepted, Shared = m_Shared] {
    ServerConnection::start(Target, Accepted, Shared);
  });
  if (!Posted) {
    --m_Shared->Connections;
    ::close(Accepted);
  }
}

void Acceptor::pause() {
  auto Home = m_Loops.front().lock();
  if (!Home)
    return;
  Home->modify(m_Socket, 0);
  Home->after(PauseWithoutDescriptors, [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    auto Home = Self ? Self->m_Loops.front().lock() : nullptr;
    if (Home)
      Home->modify(Self->m_Socket, EPOLLIN);
  });
}

} // namespace figlift::wire
