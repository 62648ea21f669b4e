//===- Service.h - Stand-in of one server of a plain service ----*- C++ -*-===//
//
// Registers itself in the store with a heartbeat, and answers each request
// after some milliseconds of work.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Store.h"

namespace review {

class Service {
public:
  struct Run {
    Time At;
    std::string AttemptId;
  };

  Service(Store &Registry, std::string Id, std::string Name)
      : m_Registry(Registry), m_Id(std::move(Id)), m_Name(std::move(Name)),
        m_Born(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
        m_Listener([this](int Handle) { serve(Handle); }) {
    beat();
    m_Heartbeats = std::thread([this] { beatUntilStopped(); });
  }
  Service(const Service &) = delete;
  Service &operator=(const Service &) = delete;
  ~Service() {
    stopHeartbeats();
    m_Listener.stop();
  }

  const std::string &id() const { return m_Id; }
  /// Reports that it drains, and serves on. \p SaysSo: also in its answers.
  void drain(bool SaysSo) {
    const std::lock_guard Lock(m_Mutex);
    m_IsDraining = true;
    m_SaysThatItLeaves = SaysSo;
    beat();
  }
  /// Leaves without having reported that it drains: the entry is removed, and
  /// the server serves on.
  void leave() {
    stopHeartbeats();
    m_Registry.remove("servers", m_Id);
  }
  /// The store performs the writes of the next \p Count heartbeats only after
  /// \p Lateness, and does not answer them.
  void delayHeartbeats(int Count, milliseconds Lateness) {
    const std::lock_guard Lock(m_Mutex);
    m_LateHeartbeats = Count;
    m_Lateness = Lateness;
  }
  uint64_t heartbeats() {
    const std::lock_guard Lock(m_Mutex);
    return m_Sequence;
  }
  std::vector<Run> runs() {
    const std::lock_guard Lock(m_Mutex);
    return m_Runs;
  }

private:
  static constexpr milliseconds HeartbeatInterval{1200};
  static constexpr milliseconds Work{30};

  void beat() {
    const nlohmann::json Entry = {
        {"service", m_Name},
        {"address", "127.0.0.1:" + std::to_string(m_Listener.port())},
        {"zone", "hall-a"},
        {"version", "1"},
        {"slots", 6},
        {"state", m_IsDraining ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"sequence", ++m_Sequence},
        {"born", m_Born}};
    if (m_LateHeartbeats > 0 && m_LateHeartbeats-- > 0)
      m_Registry.setLater("servers", m_Id, Entry.dump(), m_Lateness);
    else
      m_Registry.set("servers", m_Id, Entry.dump());
  }
  void beatUntilStopped() {
    std::unique_lock Lock(m_Mutex);
    while (!m_Changed.wait_for(Lock, HeartbeatInterval,
                               [this] { return m_IsStopped; }))
      beat();
  }
  void stopHeartbeats() {
    {
      const std::lock_guard Lock(m_Mutex);
      m_IsStopped = true;
    }
    m_Changed.notify_all();
    if (m_Heartbeats.joinable())
      m_Heartbeats.join();
  }
  void serve(int Handle) {
    Reader Requests(Handle);
    while (const auto Request = Requests.next()) {
      const std::string AttemptId = Request->field("x-attempt-id");
      const bool IsMeant = Request->field("x-expect-instance") == m_Id;
      if (IsMeant) {
        {
          const std::lock_guard Lock(m_Mutex);
          m_Runs.push_back({Clock::now(), AttemptId});
        }
        std::this_thread::sleep_for(Work);
      }
      const std::string Answer =
          IsMeant ? "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
                        "\r\nX-Response-Signature: " + m_Id + "." + AttemptId +
                        (m_SaysThatItLeaves ? "\r\nServer-Leaving: 1" : "") +
                        "\r\nContent-Length: 2\r\n\r\nok"
                  : "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " +
                        AttemptId +
                        "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      if (!sendAll(Handle, Answer))
        return;
    }
  }

  Store &m_Registry;
  std::string m_Id;
  std::string m_Name;
  int64_t m_Born;
  uint64_t m_Sequence = 0;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_IsStopped = false;
  bool m_IsDraining = false;
  std::atomic<bool> m_SaysThatItLeaves = false;
  int m_LateHeartbeats = 0;
  milliseconds m_Lateness{0};
  std::vector<Run> m_Runs;
  std::thread m_Heartbeats;
  Listener m_Listener;
};

} // namespace review
