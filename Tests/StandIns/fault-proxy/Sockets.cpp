//===- Sockets.cpp - Descriptors and addresses of the proxy ---------------===//
//
// Thin helpers over epoll and BSD sockets.
//
//===----------------------------------------------------------------------===//

#include "Proxy.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figlift::standin {

Poller::Poller() : m_Epoll(::epoll_create1(EPOLL_CLOEXEC)) {}

void Poller::add(int Descriptor, uint32_t Events, Callback Ready) {
  m_Entries[Descriptor] = {Events,
                           std::make_shared<Callback>(std::move(Ready))};
  epoll_event Event{};
  Event.events = Events;
  Event.data.fd = Descriptor;
  ::epoll_ctl(m_Epoll, EPOLL_CTL_ADD, Descriptor, &Event);
}

void Poller::change(int Descriptor, uint32_t Events) {
  const auto Found = m_Entries.find(Descriptor);
  if (Found == m_Entries.end() || Found->second.Events == Events)
    return;
  Found->second.Events = Events;
  epoll_event Event{};
  Event.events = Events;
  Event.data.fd = Descriptor;
  ::epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Descriptor, &Event);
}

void Poller::mute(int Descriptor) {
  ::epoll_ctl(m_Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
  m_Entries.erase(Descriptor);
}

void Poller::remove(int Descriptor) {
  mute(Descriptor);
  ::close(Descriptor);
}

void Poller::poll(std::chrono::milliseconds Timeout) {
  // One event at a time: a callback may close descriptors whose numbers are
  // then given out again, and stale events would reach the wrong owner.
  epoll_event Event{};
  int Wait = static_cast<int>(Timeout.count());
  for (int Round = 0; Round < 64; ++Round) {
    if (::epoll_wait(m_Epoll, &Event, 1, Wait) <= 0)
      return;
    Wait = 0;
    const auto Found = m_Entries.find(Event.data.fd);
    if (Found == m_Entries.end())
      continue;
    const std::shared_ptr<Callback> Ready = Found->second.Ready;
    (*Ready)(Event.events);
  }
}

std::pair<std::string, uint16_t> splitAddress(const std::string &Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw std::invalid_argument("no ip:port: " + Text);
  return {Text.substr(0, Colon),
          static_cast<uint16_t>(std::stoul(Text.substr(Colon + 1)))};
}

int bindSocket(const std::string &Address, uint16_t &Port, bool Listening) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(Port);
  socklen_t Length = sizeof Name;
  auto *const Generic = reinterpret_cast<sockaddr *>(&Name);
  if (::inet_pton(AF_INET, Address.c_str(), &Name.sin_addr) != 1 ||
      ::bind(Socket, Generic, Length) != 0 ||
      (Listening && ::listen(Socket, SOMAXCONN) != 0)) {
    const std::string Problem = std::strerror(errno);
    ::close(Socket);
    throw std::runtime_error("cannot bind " + Address + ":" +
                             std::to_string(Port) + ": " + Problem);
  }
  ::getsockname(Socket, Generic, &Length);
  Port = ntohs(Name.sin_port);
  return Socket;
}

} // namespace figlift::standin
