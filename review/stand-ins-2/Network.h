//===- Network.h - Sockets and HTTP/1.1 for stand-ins -----------*- C++ -*-===//
//
// Blocking sockets on loopback addresses, one thread for each connection.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

inline sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// A port that nothing uses now, outside of the range from which the system
/// takes the ports of outgoing connections. \p Type: SOCK_STREAM or SOCK_DGRAM.
inline uint16_t freePort(int Type = SOCK_STREAM) {
  static std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<int> Ports(12000, 32000);
  for (int Try = 0; Try < 1000; ++Try) {
    const auto Port = static_cast<uint16_t>(Ports(Random));
    const int Handle = socket(AF_INET, Type, 0);
    const sockaddr_in Address = loopback(Port);
    const bool IsFree =
        bind(Handle, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0;
    close(Handle);
    if (IsFree)
      return Port;
  }
  throw std::runtime_error("no free port");
}

/// Returns -1 if nothing listens there.
inline int connectTo(uint16_t Port) {
  const int Handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close(Handle);
    return -1;
  }
  const int On = 1;
  setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Handle;
}

inline bool sendAll(int Handle, const std::string &Bytes) {
  for (size_t Sent = 0; Sent < Bytes.size();) {
    const ssize_t Count =
        send(Handle, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

/// Accepts connections and runs a function for each in a thread of its own,
/// which closes the connection when the function returns.
class Listener {
public:
  explicit Listener(std::function<void(int)> Serve)
      : m_Serve(std::move(Serve)),
        m_Handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = loopback(0);
    socklen_t Length = sizeof(Address);
    if (bind(m_Handle, reinterpret_cast<sockaddr *>(&Address), Length) != 0 ||
        listen(m_Handle, SOMAXCONN) != 0 ||
        getsockname(m_Handle, reinterpret_cast<sockaddr *>(&Address),
                    &Length) != 0)
      throw std::runtime_error("cannot listen");
    m_Port = ntohs(Address.sin_port);
    m_Thread = std::thread([this] { accept(); });
  }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  ~Listener() { stop(); }

  uint16_t port() const { return m_Port; }
  void stop() {
    if (m_Stopped.exchange(true))
      return;
    shutdown(m_Handle, SHUT_RDWR);
    m_Thread.join();
    close(m_Handle);
    {
      const std::lock_guard Lock(m_Mutex);
      for (const int Open : m_Open)
        shutdown(Open, SHUT_RDWR);
    }
    while (m_Running > 0)
      std::this_thread::sleep_for(milliseconds(1));
  }

private:
  void accept() {
    while (!m_Stopped) {
      const int Accepted = accept4(m_Handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        continue;
      const int On = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      const std::lock_guard Lock(m_Mutex);
      m_Open.insert(Accepted);
      ++m_Running;
      std::thread([this, Accepted] {
        m_Serve(Accepted);
        {
          const std::lock_guard Lock(m_Mutex);
          m_Open.erase(Accepted);
          close(Accepted);
        }
        --m_Running;
      }).detach();
    }
  }

  std::function<void(int)> m_Serve;
  int m_Handle;
  uint16_t m_Port = 0;
  std::atomic<bool> m_Stopped = false;
  std::atomic<int> m_Running = 0;
  std::mutex m_Mutex;
  std::set<int> m_Open;
  std::thread m_Thread;
};

/// A message with a body of known length. Names of fields are in lower case.
struct Message {
  std::string FirstLine;
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second;
  }
  std::string method() const {
    return FirstLine.substr(0, FirstLine.find(' '));
  }
  std::string target() const {
    const size_t Begin = FirstLine.find(' ') + 1;
    return FirstLine.substr(Begin, FirstLine.find(' ', Begin) - Begin);
  }
  int status() const { return std::atoi(target().c_str()); }
};

/// Reads one message after another from a connection.
class Reader {
public:
  explicit Reader(int Handle) : m_Handle(Handle) {}

  /// Empty at the end of input.
  std::optional<Message> next() {
    size_t End = 0;
    while ((End = m_Input.find("\r\n\r\n")) == std::string::npos)
      if (!receive())
        return std::nullopt;
    Message Read;
    size_t Line = 0;
    for (size_t Next = 0; Line < End + 2; Line = Next + 2) {
      Next = m_Input.find("\r\n", Line);
      const std::string Text = m_Input.substr(Line, Next - Line);
      const size_t Colon = Text.find(':');
      if (Line == 0)
        Read.FirstLine = Text;
      else if (Colon != std::string::npos)
        Read.Fields[lower(Text.substr(0, Colon))] = trimmed(Text, Colon + 1);
    }
    const size_t Length =
        std::strtoul(Read.field("content-length").c_str(), nullptr, 10);
    while (m_Input.size() < End + 4 + Length)
      if (!receive())
        return std::nullopt;
    Read.Body = m_Input.substr(End + 4, Length);
    m_Input.erase(0, End + 4 + Length);
    return Read;
  }

private:
  static std::string lower(std::string Text) {
    for (char &Any : Text)
      Any = static_cast<char>(std::tolower(static_cast<unsigned char>(Any)));
    return Text;
  }
  static std::string trimmed(const std::string &Text, size_t From) {
    const size_t Begin = Text.find_first_not_of(" \t", From);
    return Begin == std::string::npos ? std::string() : Text.substr(Begin);
  }
  bool receive() {
    char Buffer[16384];
    const ssize_t Count = recv(m_Handle, Buffer, sizeof(Buffer), 0);
    if (Count <= 0)
      return false;
    m_Input.append(Buffer, static_cast<size_t>(Count));
    return true;
  }

  int m_Handle;
  std::string m_Input;
};

} // namespace review
