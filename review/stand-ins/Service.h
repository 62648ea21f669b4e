//===- Service.h - A server of a plain service ------------------*- C++ -*-===//
//
// Lists itself in the store, runs as many requests at once as it has slots,
// queues a few more, and rejects the rest. Optionally it sends a second copy of
// a share of its answers, late: where the next answer on the connection is
// expected.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Record.h"
#include "Store.h"

#include <atomic>
#include <random>

namespace review {

struct ServiceTraits {
  std::string Id;
  std::string Service;
  unsigned Slots = 6;
  unsigned Queue = 6;
  milliseconds Work{30};
  /// Share of the answers of which a second copy is sent.
  double ExtraShare = 0;
};

class ServiceServer {
public:
  ServiceServer(Store &Rows, Record &Seen, ServiceTraits Traits)
      : m_Rows(Rows), m_Seen(Seen), m_Traits(std::move(Traits)),
        m_Listener([this](Connection &Caller) { serve(Caller); }) {
    std::thread([this] {
      for (;; std::this_thread::sleep_for(milliseconds(1200)))
        heartbeat();
    }).detach();
  }

private:
  void heartbeat() {
    m_Rows.put("servers", m_Traits.Id,
               {{"service", m_Traits.Service},
                {"address", "127.0.0.1:" + std::to_string(m_Listener.port())},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", m_Traits.Slots},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"sequence", ++m_Heartbeats}});
  }

  static std::string answer(unsigned Status, const std::string &Attempt,
                            const std::string &Fields,
                            const std::string &Body) {
    return "HTTP/1.1 " + std::to_string(Status) +
           " Answer\r\nX-Attempt-Id: " + Attempt + "\r\n" + Fields +
           "Keep-Alive: timeout=30\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  std::string rejection(unsigned Status, const std::string &Attempt) const {
    return answer(Status, Attempt,
                  "X-Not-Executed: 1\r\nX-Instance-Id: " + m_Traits.Id + "\r\n",
                  "");
  }

  bool takePlace() {
    const std::scoped_lock Lock(m_Mutex);
    if (m_Held >= m_Traits.Slots + m_Traits.Queue)
      return false;
    ++m_Held;
    return true;
  }
  /// Waits for a slot, runs the request and returns the answer. Drops the
  /// request, and returns nothing, if its connection closes before.
  std::optional<std::string> run(const std::string &Attempt,
                                 const Connection &Caller) {
    {
      std::unique_lock Lock(m_Mutex);
      while (m_Running >= m_Traits.Slots) {
        m_Freed.wait_for(Lock, milliseconds(5));
        if (Caller.peerLeft()) {
          --m_Held;
          return std::nullopt;
        }
      }
      ++m_Running;
    }
    m_Seen.run(Attempt, m_Traits.Id);
    std::this_thread::sleep_for(m_Traits.Work);
    {
      const std::scoped_lock Lock(m_Mutex);
      --m_Running;
      --m_Held;
    }
    m_Freed.notify_one();
    return answer(200, Attempt, "X-Response-Signature: " + Attempt + "\r\n",
                  "result of " + Attempt);
  }
  bool isDoubled() {
    const std::scoped_lock Lock(m_Mutex);
    return std::uniform_real_distribution<double>(0, 1)(m_Random) <
           m_Traits.ExtraShare;
  }

  void serve(Connection &Caller) {
    std::string SecondCopy;
    while (const auto Call =
               Caller.receive(Clock::now() + milliseconds(60000))) {
      const std::string Attempt = Call->field("X-Attempt-Id").value_or("");
      if (!SecondCopy.empty()) {
        m_Seen.note("second copy sent before the answer to " + Attempt +
                    " at " + m_Traits.Id);
        if (!Caller.send(std::exchange(SecondCopy, {})))
          return;
      }
      std::optional<std::string> Answer;
      if (Call->field("X-Expect-Instance").value_or(m_Traits.Id) !=
          m_Traits.Id) {
        Answer = rejection(421, Attempt);
      } else if (!takePlace()) {
        m_Seen.note("rejected " + Attempt + " at " + m_Traits.Id);
        Answer = rejection(503, Attempt);
      } else {
        Answer = run(Attempt, Caller);
      }
      if (!Answer || !Caller.send(*Answer))
        return;
      if (isDoubled())
        SecondCopy = *Answer;
    }
  }

  Store &m_Rows;
  Record &m_Seen;
  const ServiceTraits m_Traits;
  std::mutex m_Mutex;
  std::condition_variable m_Freed;
  unsigned m_Held = 0;
  unsigned m_Running = 0;
  std::mt19937_64 m_Random{std::random_device{}()};
  std::atomic<uint64_t> m_Heartbeats = 0;
  /// The last member: its thread uses the others.
  Listener m_Listener;
};

} // namespace review
