//===- UnframedServer.h - A server process that can be killed ---*- C++ -*-===//
//
// A server whose answers have neither a length nor chunks and end with their
// connection. It is a process of its own. Its listening socket belongs to the
// process that starts it and outlives it, as under a service manager, so that
// the next start serves at the same address at once.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Store.h"

#include <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// The body of each answer: PieceCount pieces with PieceTime between them.
inline constexpr int PieceCount = 12;
inline constexpr milliseconds PieceTime{8};
inline std::string piece(int Number) {
  return "piece " + std::to_string(100 + Number) + std::string(390, '.') + "\n";
}
inline std::string wholeBody() {
  std::string Body;
  for (int I = 0; I < PieceCount; ++I)
    Body += piece(I);
  return Body;
}

/// What the server process does; never returns. \p Listener: an open socket.
[[noreturn]] inline void serveUnframed(int Listener, const std::string &Id) {
  while (true) {
    const int Handle = accept(Listener, nullptr, nullptr);
    if (Handle < 0)
      continue;
    std::thread([Handle, Id] {
      Reader Requests(Handle);
      if (const auto Request = Requests.next()) {
        const std::string AttemptId = Request->field("x-attempt-id");
        if (Request->field("x-expect-instance") != Id) {
          sendAll(
              Handle,
              "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + AttemptId +
                  "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
          sendAll(Handle, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
                              "\r\nX-Response-Signature: " + Id + "." +
                              AttemptId + "\r\nConnection: close\r\n\r\n");
          for (int I = 0; I < PieceCount; ++I) {
            std::this_thread::sleep_for(PieceTime);
            if (!sendAll(Handle, piece(I)))
              break;
          }
        }
      }
      close(Handle);
    }).detach();
  }
}

/// Starts the server, registers it, and starts it again after each end.
class UnframedServer {
public:
  /// \p Program: this one, which serves if it is started with "serve".
  UnframedServer(Store &Registry, std::string Id, std::string Name,
                 std::string Program)
      : m_Registry(Registry), m_Id(std::move(Id)), m_Name(std::move(Name)),
        m_Program(std::move(Program)),
        m_Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = loopback(0);
    socklen_t Length = sizeof(Address);
    if (bind(m_Listener, reinterpret_cast<sockaddr *>(&Address), Length) != 0 ||
        listen(m_Listener, SOMAXCONN) != 0 ||
        getsockname(m_Listener, reinterpret_cast<sockaddr *>(&Address),
                    &Length) != 0)
      throw std::runtime_error("cannot listen");
    m_Port = ntohs(Address.sin_port);
    start();
    m_Heartbeats = std::thread([this] { beatUntilStopped(); });
  }
  UnframedServer(const UnframedServer &) = delete;
  UnframedServer &operator=(const UnframedServer &) = delete;
  ~UnframedServer() {
    {
      const std::lock_guard Lock(m_Mutex);
      m_IsStopped = true;
    }
    m_Changed.notify_all();
    m_Heartbeats.join();
    end();
    close(m_Listener);
  }

  /// The process is killed, and started again at once under the same id.
  void crash() {
    const std::lock_guard Lock(m_Mutex);
    end();
    start();
    beat();
  }

private:
  static constexpr milliseconds HeartbeatInterval{1200};

  void start() {
    m_Born = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_Sequence = 0;
    const std::string Listener = std::to_string(m_Listener);
    m_Process = fork();
    if (m_Process == 0) {
      // It must not outlive the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      execl(m_Program.c_str(), m_Program.c_str(), "serve", Listener.c_str(),
            m_Id.c_str(), nullptr);
      _exit(127);
    }
  }
  void end() {
    kill(m_Process, SIGKILL);
    waitpid(m_Process, nullptr, 0);
  }
  void beat() {
    const nlohmann::json Entry = {
        {"service", m_Name},
        {"address", "127.0.0.1:" + std::to_string(m_Port)},
        {"zone", "hall-a"},
        {"version", "1"},
        {"slots", 6},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"sequence", ++m_Sequence},
        {"born", m_Born}};
    m_Registry.set("servers", m_Id, Entry.dump());
  }
  void beatUntilStopped() {
    std::unique_lock Lock(m_Mutex);
    do
      beat();
    while (!m_Changed.wait_for(Lock, HeartbeatInterval,
                               [this] { return m_IsStopped; }));
  }

  Store &m_Registry;
  std::string m_Id;
  std::string m_Name;
  std::string m_Program;
  int m_Listener;
  uint16_t m_Port = 0;
  pid_t m_Process = 0;
  int64_t m_Born = 0;
  uint64_t m_Sequence = 0;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_IsStopped = false;
  std::thread m_Heartbeats;
};

} // namespace review
