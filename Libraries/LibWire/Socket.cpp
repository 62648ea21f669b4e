//===- Socket.cpp - TCP sockets of the transport --------------------------===//
//
// Thin layer over the Linux socket calls.
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

std::optional<sockaddr_in> socketAddress(const Endpoint &Peer) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Peer.Port);
  if (inet_pton(AF_INET, Peer.Address.c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

std::string toText(const Endpoint &Peer) {
  return Peer.Address + ":" + std::to_string(Peer.Port);
}

Result<int> failed(int Socket, ResultCode ErrorCode, std::string Message) {
  Message += std::string(": ") + std::strerror(errno);
  if (Socket >= 0)
    ::close(Socket);
  return failure(ErrorCode, std::move(Message));
}

int tcpSocket() {
  return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

Result<int> startConnect(const Endpoint &Peer) {
  auto Address = socketAddress(Peer);
  if (!Address)
    return failure(ResultCode::InvalidInput,
                   "not an IPv4 address: " + Peer.Address);
  int Socket = tcpSocket();
  if (Socket < 0)
    return failed(Socket, ResultCode::Internal, "cannot open a socket");
  configureLowLatency(Socket);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&*Address),
                sizeof(*Address)) != 0 &&
      errno != EINPROGRESS)
    return failed(Socket, ResultCode::PeerUnreachable,
                  "cannot connect to " + toText(Peer));
  return Socket;
}

bool connectSucceeded(int Socket) {
  int ErrorCode = 0;
  socklen_t Length = sizeof(ErrorCode);
  if (getsockopt(Socket, SOL_SOCKET, SO_ERROR, &ErrorCode, &Length) != 0 ||
      ErrorCode != 0)
    return false;
  sockaddr_in Local{}, Peer{};
  Length = sizeof(Local);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Length) != 0)
    return false;
  Length = sizeof(Peer);
  if (getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Length) != 0)
    return false;
  // A connect to a local port without a listener may be assigned that port as
  // its source port and so connect to itself. Such a socket would keep the port
  // from the restarting peer.
  return Local.sin_port != Peer.sin_port ||
         Local.sin_addr.s_addr != Peer.sin_addr.s_addr;
}

Result<int> listenOn(const Endpoint &Listen) {
  auto Address = socketAddress(Listen);
  if (!Address)
    return failure(ResultCode::InvalidInput,
                   "not an IPv4 address: " + Listen.Address);
  int Socket = tcpSocket();
  if (Socket < 0)
    return failed(Socket, ResultCode::Internal, "cannot open a socket");
  // An agent's fixed port prevents two agents from writing to one target.
  // SO_REUSEADDR does not weaken that: Linux rejects bind() or listen() with
  // EADDRINUSE while another socket listens on the address, and a paused
  // process still listens. The option only skips the wait for connections in
  // TIME_WAIT, which would block a successor for a minute. SO_REUSEPORT must
  // never be set here: it lets both processes listen and distributes
  // connections over them.
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&*Address),
             sizeof(*Address)) != 0 ||
      ::listen(Socket, SOMAXCONN) != 0)
    return failed(Socket, ResultCode::PeerUnreachable,
                  "cannot listen on " + toText(Listen));
  return Socket;
}

Endpoint localEndpoint(int Socket) {
  sockaddr_in Local{};
  socklen_t Length = sizeof(Local);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Length) != 0)
    return {};
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Local.sin_addr, Text, sizeof(Text));
  return Endpoint{Text, ntohs(Local.sin_port)};
}

void configureLowLatency(int Socket) {
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  // Without a limit the kernel's queue grows to megabytes. A PING behind them
  // is acknowledged late, and the heartbeat would close a connection that is
  // merely busy.
  int Unsent = 128 << 10;
  setsockopt(Socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &Unsent, sizeof(Unsent));
}

} // namespace figlift::wire
