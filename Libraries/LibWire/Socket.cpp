//===- Socket.cpp - TCP sockets of the wire -------------------------------===//
//
// Thin layer over the socket calls of Linux.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <optional>

namespace figlift::wire {

namespace {

std::optional<sockaddr_in> addressOf(const Endpoint &From) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(From.Port);
  if (inet_pton(AF_INET, From.Address.c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

std::string textOf(const Endpoint &From) {
  return From.Address + ":" + std::to_string(From.Port);
}

Result<int> failed(int Socket, ResultCode Code, std::string What) {
  What += std::string(": ") + std::strerror(errno);
  if (Socket >= 0)
    ::close(Socket);
  return failure(Code, std::move(What));
}

int tcpSocket() {
  return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

Result<int> startConnect(const Endpoint &Peer) {
  auto Address = addressOf(Peer);
  if (!Address)
    return failure(ResultCode::InvalidInput,
                   "not an IPv4 address: " + Peer.Address);
  int Socket = tcpSocket();
  if (Socket < 0)
    return failed(Socket, ResultCode::Internal, "cannot open a socket");
  sendPromptly(Socket);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&*Address),
                sizeof(*Address)) != 0 &&
      errno != EINPROGRESS)
    return failed(Socket, ResultCode::PeerUnreachable,
                  "cannot connect to " + textOf(Peer));
  return Socket;
}

bool connectSucceeded(int Socket) {
  int Code = 0;
  socklen_t Length = sizeof(Code);
  if (getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Code, &Length) != 0 ||
      Code != 0)
    return false;
  sockaddr_in Own{}, Peer{};
  Length = sizeof(Own);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Own), &Length) != 0)
    return false;
  Length = sizeof(Peer);
  if (getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Length) != 0)
    return false;
  // A connect to a local port that nobody listens on can be given that very
  // port as its own number and is then connected to itself. The socket would
  // hold the port against the peer that is about to come back.
  return Own.sin_port != Peer.sin_port ||
         Own.sin_addr.s_addr != Peer.sin_addr.s_addr;
}

Result<int> listenOn(const Endpoint &Where) {
  auto Address = addressOf(Where);
  if (!Address)
    return failure(ResultCode::InvalidInput,
                   "not an IPv4 address: " + Where.Address);
  int Socket = tcpSocket();
  if (Socket < 0)
    return failed(Socket, ResultCode::Internal, "cannot open a socket");
  // An agent's fixed port is what keeps two agents from writing to one
  // target. SO_REUSEADDR does not weaken that: Linux refuses bind() or
  // listen() with EADDRINUSE while any other socket listens on the address,
  // and a process that is paused still listens. It only skips the wait for
  // connections in TIME_WAIT, which would keep a successor out for a minute.
  // SO_REUSEPORT, in contrast, lets both listen and spreads connections over
  // them, so it must never be set here.
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&*Address),
             sizeof(*Address)) != 0 ||
      ::listen(Socket, SOMAXCONN) != 0)
    return failed(Socket, ResultCode::PeerUnreachable,
                  "cannot listen on " + textOf(Where));
  return Socket;
}

Endpoint localEndpoint(int Socket) {
  sockaddr_in Own{};
  socklen_t Length = sizeof(Own);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Own), &Length) != 0)
    return {};
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Own.sin_addr, Text, sizeof(Text));
  return Endpoint{Text, ntohs(Own.sin_port)};
}

void sendPromptly(int Socket) {
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  // The kernel would let its queue grow to megabytes. A PING behind them is
  // answered late, and the heartbeat gives up a connection that only is busy.
  int Unsent = 128 << 10;
  setsockopt(Socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &Unsent, sizeof(Unsent));
}

} // namespace figlift::wire
