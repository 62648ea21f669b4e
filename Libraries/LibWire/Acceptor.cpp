//===- Acceptor.cpp - The listening socket of a server --------------------===//
//
// Polled by the first I/O loop of the server.
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
constexpr std::chrono::milliseconds AcceptPause{100};
constexpr int AcceptsPerEvent = 64;
} // namespace

Acceptor::Acceptor(int Socket, std::vector<std::weak_ptr<Loop>> Loops,
                   std::shared_ptr<ServerState> State)
    : m_Socket(Socket), m_Loops(std::move(Loops)), m_State(std::move(State)) {}

Acceptor::~Acceptor() { onLoopStop(); }

void Acceptor::onLoopStop() {
  if (m_Socket >= 0)
    ::close(std::exchange(m_Socket, -1));
}

void Acceptor::onReady(uint32_t) {
  for (int I = 0; I < AcceptsPerEvent; ++I) {
    int AcceptedSocket =
        ::accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (AcceptedSocket >= 0) {
      dispatchConnection(AcceptedSocket);
      continue;
    }
    // Without free descriptors the connection stays in the accept queue, and
    // epoll would report it again at once, which makes the thread spin.
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
        errno == ENOMEM)
      pauseAccepting();
    if (errno != ECONNABORTED && errno != EINTR)
      return;
  }
}

void Acceptor::dispatchConnection(int AcceptedSocket) {
  // While draining, the socket keeps listening so that no successor can serve
  // on the port beside this process. New connections are closed, because all
  // their streams would be refused.
  bool Full = ++m_State->Connections > m_State->Options.MaximumConnections;
  if (Full || m_State->Draining.load()) {
    --m_State->Connections;
    ::close(AcceptedSocket);
    return;
  }
  configureLowLatency(AcceptedSocket);
  auto TargetLoop = m_Loops[m_NextLoop++ % m_Loops.size()].lock();
  bool Posted = TargetLoop &&
                TargetLoop->post([TargetLoop, AcceptedSocket, State = m_State] {
                  ServerConnection::start(TargetLoop, AcceptedSocket, State);
                });
  if (!Posted) {
    --m_State->Connections;
    ::close(AcceptedSocket);
  }
}

void Acceptor::pauseAccepting() {
  auto FirstLoop = m_Loops.front().lock();
  if (!FirstLoop)
    return;
  FirstLoop->modify(m_Socket, 0);
  FirstLoop->after(AcceptPause, [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    auto FirstLoop = Self ? Self->m_Loops.front().lock() : nullptr;
    if (FirstLoop)
      FirstLoop->modify(Self->m_Socket, EPOLLIN);
  });
}

} // namespace figlift::wire
