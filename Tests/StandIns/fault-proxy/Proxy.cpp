//===- Proxy.cpp - TCP links with faults ----------------------------------===//
//
// Connections are pairs of non-blocking sockets; each direction is a queue of
// pieces with the time at which they are due.
//
//===----------------------------------------------------------------------===//

#include "Proxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

namespace figlift::standin {

namespace {

constexpr size_t ReadSize = 65536;
constexpr size_t MaximumHeldBytes = 1 << 20;
/// Read at once of an upload that is longer than sockets hold.
constexpr size_t LongUpload = 32768;

bool dropsDirection(LinkMode Mode, bool Upward) {
  return Mode == (Upward ? LinkMode::DropUp : LinkMode::DropDown);
}

bool refusesConnections(LinkMode Mode) {
  return Mode == LinkMode::Cut || Mode == LinkMode::Refuse;
}

int startConnect(const std::string &Address, uint16_t Port) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(Port);
  ::inet_pton(AF_INET, Address.c_str(), &Name.sin_addr);
  // The outcome shows as an event on the socket.
  (void)::connect(Socket, reinterpret_cast<sockaddr *>(&Name), sizeof Name);
  return Socket;
}

/// Makes closing the socket reset its connection.
void resetOnClose(int Socket) {
  const linger Reset{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

void disableNagle(int Socket) {
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

} // namespace

Link &Proxy::addLink(const std::string &Name, const std::string &Listen,
                     const std::string &Target) {
  Link &New = m_Links[Name];
  if (New.Listener >= 0) {
    for (const auto &Which : New.Connections)
      close(*Which);
    m_Poller.remove(New.Listener);
  }
  New = Link();
  New.Name = Name;
  std::tie(New.Address, New.Port) = splitAddress(Listen);
  std::tie(New.TargetAddress, New.TargetPort) = splitAddress(Target);
  try {
    bindListener(New, true);
  } catch (...) {
    m_Links.erase(Name);
    throw;
  }
  return New;
}

void Proxy::bindListener(Link &Bound, bool Listening) {
  if (Bound.Listener >= 0)
    m_Poller.remove(std::exchange(Bound.Listener, -1));
  // A socket that is bound but does not listen refuses connections and keeps
  // the port from being given to someone else.
  Bound.Listener = bindSocket(Bound.Address, Bound.Port, Listening);
  if (Listening)
    m_Poller.add(Bound.Listener, EPOLLIN,
                 [this, &Bound](uint32_t) { accept(Bound); });
}

Link *Proxy::find(const std::string &Name) {
  const auto Found = m_Links.find(Name);
  return Found == m_Links.end() ? nullptr : &Found->second;
}

void Proxy::setMode(Link &Changed, LinkMode Mode,
                    std::chrono::milliseconds Delay) {
  const LinkMode Before = std::exchange(Changed.Mode, Mode);
  Changed.Delay = Mode == LinkMode::Delay ? Delay : std::chrono::milliseconds();
  if (refusesConnections(Mode) != refusesConnections(Before))
    bindListener(Changed, !refusesConnections(Mode));
  const bool KeepsTorn = Mode == LinkMode::DropUp || Mode == LinkMode::DropDown;
  for (const auto &Which : Changed.Connections) {
    if (Mode == LinkMode::Cut || (Which->Torn && !KeepsTorn)) {
      close(*Which);
      continue;
    }
    updateInterest(Changed, *Which);
  }
}

void Proxy::accept(Link &From) {
  const int Client =
      ::accept4(From.Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (Client < 0)
    return;
  ++From.Accepted;
  const auto New = std::make_shared<Connection>();
  New->Client = Client;
  New->Target = startConnect(From.TargetAddress, From.TargetPort);
  disableNagle(New->Client);
  disableNagle(New->Target);
  From.Connections.push_back(New);
  m_Poller.add(New->Client, 0, [this, &From, New](uint32_t Events) {
    ready(From, New, true, Events);
  });
  m_Poller.add(New->Target, EPOLLOUT, [this, &From, New](uint32_t Events) {
    ready(From, New, false, Events);
  });
}

void Proxy::ready(Link &Of, const std::shared_ptr<Connection> &Which,
                  bool IsClient, uint32_t Events) {
  const bool Broken = (Events & (EPOLLERR | EPOLLHUP)) != 0;
  if (Broken && Of.Mode == LinkMode::Freeze && !Which->Connecting) {
    // On a cut wire the other side would not learn of a reset either; the
    // connection ends when the link is mended.
    Which->Torn = true;
    return m_Poller.mute(IsClient ? Which->Client : Which->Target);
  }
  if (Broken && (Which->Connecting || !(Events & EPOLLIN)))
    return close(*Which);
  if (Which->Connecting && !IsClient)
    Which->Connecting = false;
  if (Events & EPOLLOUT)
    deliver(Of, *Which, !IsClient);
  if (!Which->Closed && (Events & EPOLLIN))
    receive(Of, *Which, IsClient);
  if (!Which->Closed)
    updateInterest(Of, *Which);
}

void Proxy::receive(Link &Of, Connection &Which, bool Upward) {
  static std::array<char, ReadSize> Buffer;
  if (Of.Mode == LinkMode::Freeze)
    return;
  Flow &Direction = Upward ? Which.Up : Which.Down;
  const int Source = Upward ? Which.Client : Which.Target;
  const ssize_t Count = ::recv(Source, Buffer.data(), Buffer.size(), 0);
  if (Count < 0) {
    if (errno != EAGAIN && errno != EINTR)
      close(Which);
    return;
  }
  if (dropsDirection(Of.Mode, Upward) || Which.Torn) {
    Which.Torn = true;
    Direction.SourceEnded = Direction.SourceEnded || Count == 0;
    Direction.EndForwarded = Direction.SourceEnded;
    return;
  }
  if (Count == 0) {
    Direction.SourceEnded = true;
  } else {
    std::string Bytes(Buffer.data(), static_cast<size_t>(Count));
    if (Of.Mode == LinkMode::CutHeads && !Upward)
      cutHead(Of, Direction, Bytes);
    if (Of.Mode == LinkMode::BreakAnswers) {
      if (Upward && breakUpload(Which, Bytes))
        return;
      if (!Upward)
        breakStatus(Of, Bytes);
    }
    (Upward ? Of.BytesUp : Of.BytesDown) += Bytes.size();
    Direction.HeldBytes += Bytes.size();
    if (!Bytes.empty())
      Direction.Pieces.push_back(
          {std::chrono::steady_clock::now() + Of.Delay, std::move(Bytes)});
  }
  deliver(Of, Which, Upward);
}

void Proxy::cutHead(Link &Of, Flow &Direction, std::string &Bytes) {
  const size_t HeadEnd = Bytes.find("\r\n\r\n");
  if (!Bytes.starts_with("HTTP/") || HeadEnd == std::string::npos)
    return;
  constexpr size_t EndBytes = 4;
  Bytes.resize(Of.CutHeads++ % (HeadEnd + EndBytes));
  Direction.SourceEnded = true;
}

void Proxy::breakStatus(Link &Of, std::string &Bytes) {
  constexpr std::string_view Version = "HTTP/1.1 ";
  if (Bytes.starts_with(Version) && Of.Answers++ % 2 == 0)
    Bytes.replace(Version.size(), 3, "000");
}

/// Returns whether \p Bytes began a long upload, and the connection is closed.
bool Proxy::breakUpload(Connection &Which, const std::string &Bytes) {
  constexpr std::string_view IdName = "\r\nX-Attempt-Id: ";
  if (Bytes.size() < LongUpload || !Bytes.starts_with("POST "))
    return false;
  const size_t Begin = Bytes.find(IdName);
  if (Begin == std::string::npos)
    return false;
  const std::string Id =
      Bytes.substr(Begin, Bytes.find("\r\n", Begin + 2) - Begin);
  const std::string Answer =
      "HTTP/1.1 200 OK" + Id + "\r\nX-Response-Signature: proxy\r\n\r\npart";
  (void)::send(Which.Client, Answer.data(), Answer.size(), MSG_NOSIGNAL);
  close(Which);
  return true;
}

void Proxy::deliver(Link &Of, Connection &Which, bool Upward) {
  if (Of.Mode == LinkMode::Freeze || Which.Connecting)
    return;
  Flow &Direction = Upward ? Which.Up : Which.Down;
  const int Sink = Upward ? Which.Target : Which.Client;
  const auto Now = std::chrono::steady_clock::now();
  while (!Direction.Pieces.empty() && Direction.Pieces.front().Due <= Now) {
    std::string &Bytes = Direction.Pieces.front().Bytes;
    const ssize_t Count =
        ::send(Sink, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count < 0) {
      if (errno != EAGAIN && errno != EINTR)
        close(Which);
      return;
    }
    Direction.HeldBytes -= static_cast<size_t>(Count);
    Bytes.erase(0, static_cast<size_t>(Count));
    if (!Bytes.empty())
      return;
    Direction.Pieces.pop_front();
  }
  if (!Direction.Pieces.empty() || !Direction.SourceEnded)
    return;
  if (!Direction.EndForwarded) {
    Direction.EndForwarded = true;
    ::shutdown(Sink, SHUT_WR);
  }
  if (Which.Up.EndForwarded && Which.Down.EndForwarded)
    close(Which);
}

void Proxy::updateInterest(const Link &Of, Connection &Which) {
  if (Which.Closed)
    return;
  if (Which.Connecting) {
    m_Poller.change(Which.Target, EPOLLOUT);
    return;
  }
  const auto Now = std::chrono::steady_clock::now();
  const bool Frozen = Of.Mode == LinkMode::Freeze;
  const auto Interest = [&](const Flow &Source, const Flow &Sink) -> uint32_t {
    if (Frozen)
      return 0;
    const bool Reads =
        !Source.SourceEnded && Source.HeldBytes < MaximumHeldBytes;
    const bool Writes = !Sink.Pieces.empty() && Sink.Pieces.front().Due <= Now;
    return (Reads ? EPOLLIN : 0U) | (Writes ? EPOLLOUT : 0U);
  };
  m_Poller.change(Which.Client, Interest(Which.Up, Which.Down));
  m_Poller.change(Which.Target, Interest(Which.Down, Which.Up));
}

void Proxy::close(Connection &Which) {
  if (std::exchange(Which.Closed, true))
    return;
  const bool EndedInOrder =
      !Which.Torn && Which.Up.EndForwarded && Which.Down.EndForwarded;
  if (m_BreakKind == Break::Reset && !EndedInOrder) {
    resetOnClose(Which.Client);
    resetOnClose(Which.Target);
  }
  m_Poller.remove(Which.Client);
  m_Poller.remove(Which.Target);
}

void Proxy::tick() {
  for (auto &[Name, Each] : m_Links) {
    for (const auto &Which : Each.Connections) {
      if (Which->Up.Pieces.empty() && Which->Down.Pieces.empty())
        continue;
      if (!Which->Closed)
        deliver(Each, *Which, true);
      if (!Which->Closed)
        deliver(Each, *Which, false);
      updateInterest(Each, *Which);
    }
    std::erase_if(Each.Connections,
                  [](const auto &Which) { return Which->Closed; });
  }
}

std::chrono::milliseconds Proxy::nextDue() const {
  const auto Now = std::chrono::steady_clock::now();
  auto Next = Now + std::chrono::seconds(1);
  for (const auto &[Name, Each] : m_Links) {
    if (Each.Mode == LinkMode::Freeze)
      continue;
    for (const auto &Which : Each.Connections)
      for (const Flow *Direction : {&Which->Up, &Which->Down})
        // What is due already waits for its sink, not for time.
        if (!Direction->Pieces.empty() && Direction->Pieces.front().Due > Now)
          Next = std::min(Next, Direction->Pieces.front().Due);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(Next - Now);
}

} // namespace figlift::standin
