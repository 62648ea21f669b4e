//===- Http.h - Small blocking HTTP/1.1 endpoints ---------------*- C++ -*-===//
//
// Sockets on the loopback address, and just enough HTTP for the stand-ins:
// heads, bodies with a length, and chunked bodies in responses.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Whether a socket of this kind can be bound to the port.
inline bool isFree(int Kind, uint16_t Port) {
  const int Handle = socket(AF_INET, Kind, 0);
  const sockaddr_in Address = loopback(Port);
  const bool IsBound =
      bind(Handle, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0;
  close(Handle);
  return IsBound;
}

/// Returns a port that nobody uses at present for TCP or UDP. It lies below the
/// ports that the system gives to outgoing connections, so that it is still
/// free when a process starts again.
inline uint16_t freePort() {
  static std::mt19937 Random{std::random_device{}()};
  std::uniform_int_distribution<unsigned> Ports(12000, 31999);
  for (;;)
    if (const auto Port = static_cast<uint16_t>(Ports(Random));
        isFree(SOCK_STREAM, Port) && isFree(SOCK_DGRAM, Port))
      return Port;
}

/// The head of a request or a response, with its body.
struct Message {
  std::string FirstLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::optional<std::string> field(std::string_view Name) const {
    for (const auto &[Key, Value] : Fields)
      if (Key.size() == Name.size() &&
          strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
        return Value;
    return std::nullopt;
  }
  /// The status of a response.
  unsigned status() const {
    return FirstLine.size() < 12
               ? 0
               : static_cast<unsigned>(std::atoi(FirstLine.c_str() + 9));
  }
  std::string method() const {
    return FirstLine.substr(0, FirstLine.find(' '));
  }
  std::string target() const {
    const size_t From = FirstLine.find(' ') + 1;
    return FirstLine.substr(From, FirstLine.find(' ', From) - From);
  }
};

/// One TCP connection. Not for use by several threads at once.
class Connection {
public:
  explicit Connection(int Handle) : m_Handle(Handle) {
    const int On = 1;
    setsockopt(m_Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { end(); }

  /// Returns null if nobody listens at the port.
  static std::unique_ptr<Connection> open(uint16_t Port) {
    const int Handle = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Address = loopback(Port);
    if (connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0)
      return std::make_unique<Connection>(Handle);
    close(Handle);
    return nullptr;
  }

  void end() {
    if (m_Handle >= 0)
      close(std::exchange(m_Handle, -1));
  }
  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Count =
          ::send(m_Handle, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Bytes.remove_prefix(static_cast<size_t>(Count));
    }
    return true;
  }
  /// Whether the peer has closed the connection.
  bool peerLeft() const {
    char Next = 0;
    const ssize_t Count = recv(m_Handle, &Next, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno != EAGAIN);
  }
  /// Reads a whole message. Empty if the connection ends or \p Until passes
  /// before its end.
  std::optional<Message> receive(Clock::time_point Until) {
    auto Read = receiveHead(Until);
    if (!Read)
      return std::nullopt;
    if (const auto Length = Read->field("Content-Length")) {
      const size_t Size = std::strtoul(Length->c_str(), nullptr, 10);
      while (m_Input.size() < Size)
        if (!readMore(Until))
          return std::nullopt;
      Read->Body = m_Input.substr(0, Size);
      m_Input.erase(0, Size);
    } else if (Read->field("Transfer-Encoding")) {
      for (;;) {
        const auto Part = receiveChunk(Until);
        if (!Part)
          return std::nullopt;
        if (Part->empty())
          break;
        Read->Body += *Part;
      }
    }
    return Read;
  }
  std::optional<Message> receiveHead(Clock::time_point Until) {
    size_t End = std::string::npos;
    while ((End = m_Input.find("\r\n\r\n")) == std::string::npos)
      if (!readMore(Until))
        return std::nullopt;
    Message Read = parseHead(m_Input.substr(0, End));
    m_Input.erase(0, End + 4);
    return Read;
  }
  /// Reads the next chunk of a body; the last one is empty.
  std::optional<std::string> receiveChunk(Clock::time_point Until) {
    size_t End = std::string::npos;
    while ((End = m_Input.find("\r\n")) == std::string::npos)
      if (!readMore(Until))
        return std::nullopt;
    const size_t Size = std::strtoul(m_Input.c_str(), nullptr, 16);
    while (m_Input.size() < End + 2 + Size + 2)
      if (!readMore(Until))
        return std::nullopt;
    const std::string Part = m_Input.substr(End + 2, Size);
    m_Input.erase(0, End + 2 + Size + 2);
    return Part;
  }

private:
  bool readMore(Clock::time_point Until) {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Until - Clock::now());
    pollfd Wait{m_Handle, POLLIN, 0};
    if (Left.count() <= 0 || poll(&Wait, 1, static_cast<int>(Left.count())) < 1)
      return false;
    char Buffer[16384];
    const ssize_t Count = recv(m_Handle, Buffer, sizeof(Buffer), 0);
    if (Count <= 0)
      return false;
    m_Input.append(Buffer, static_cast<size_t>(Count));
    return true;
  }
  static Message parseHead(const std::string &Text) {
    Message Read;
    size_t From = Text.find("\r\n");
    Read.FirstLine = Text.substr(0, From);
    while (From != std::string::npos) {
      const size_t Next = Text.find("\r\n", From + 2);
      const std::string Line = Text.substr(
          From + 2, Next == std::string::npos ? Next : Next - From - 2);
      From = Next;
      const size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      const size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Read.Fields.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                          ? ""
                                                          : Line.substr(Value));
    }
    return Read;
  }

  int m_Handle;
  std::string m_Input;
};

/// Accepts connections on a loopback port, and runs \p Serve for each of them
/// in a thread of its own, until the process ends.
class Listener {
public:
  explicit Listener(std::function<void(Connection &)> Serve)
      : m_Handle(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = loopback(0);
    socklen_t Size = sizeof(Address);
    if (bind(m_Handle, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(m_Handle, 512) != 0)
      throw std::runtime_error("cannot listen on the loopback address");
    getsockname(m_Handle, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
    std::thread([Handle = m_Handle, Serve = std::move(Serve)] {
      for (;;) {
        const int Accepted = accept(Handle, nullptr, nullptr);
        if (Accepted < 0)
          return;
        std::thread([Accepted, Serve] {
          Connection Caller(Accepted);
          Serve(Caller);
        }).detach();
      }
    }).detach();
  }
  uint16_t port() const { return m_Port; }

private:
  int m_Handle;
  uint16_t m_Port = 0;
};

} // namespace review
