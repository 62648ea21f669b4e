//===- Loop.h - One I/O thread around epoll ---------------------*- C++ -*-===//
//
// Polls the sockets of the connections that are pinned to it. Other threads
// post tasks through a lock-free stack and an eventfd, so that sending a
// message takes no lock.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figlift::wire {

/// Clock for timeouts within one process.
using LoopClock = std::chrono::steady_clock;

/// Owner of a file descriptor that a Loop polls.
class Pollable {
public:
  virtual ~Pollable() = default;
  virtual void onReady(uint32_t Events) = 0;
  /// Writes the output produced since the last call.
  virtual void flush() {}
  virtual void onLoopStop() = 0;
};

class Loop {
public:
  static Result<std::shared_ptr<Loop>> create();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Runs \p Work on the I/O thread; the calls of one thread keep their order.
  /// When the loop has stopped, drops it and returns false. Any thread.
  template <typename Function> bool post(Function &&Work) {
    return push(
        new Posted<std::decay_t<Function>>(std::forward<Function>(Work)));
  }
  /// Stops all pollables and joins the thread. Any thread but the loop's own.
  void stop();

  // The rest is used on the I/O thread only.

  /// False when epoll rejects the descriptor.
  bool add(int Descriptor, uint32_t Events, std::shared_ptr<Pollable> Target);
  void modify(int Descriptor, uint32_t Events);
  void remove(int Descriptor);
  /// Calls Target->flush() before the loop next waits for events.
  void flushLater(std::shared_ptr<Pollable> Target);
  template <typename Function> void forEach(Function &&Visit) {
    for (auto &[Descriptor, Registered] : std::unordered_map(m_Entries))
      Visit(*Registered.Target);
  }
  void after(LoopClock::duration Delay, std::function<void()> Work);
  /// Until when pollables may write in onLoopStop().
  LoopClock::time_point stopDeadline() const { return m_StopDeadline; }
  /// Read buffer shared by all connections of the loop.
  std::array<char, 65536> &buffer() { return m_Buffer; }

private:
  struct Task {
    virtual ~Task() = default;
    virtual void run() {}
    Task *Next = nullptr;
  };
  template <typename Function> struct Posted final : Task {
    explicit Posted(Function Work) : Work(std::move(Work)) {}
    void run() override { Work(); }
    Function Work;
  };
  struct Entry {
    uint64_t Token;
    std::shared_ptr<Pollable> Target;
  };

  Loop(int Epoll, int Wake);
  bool push(Task *NewTask);
  /// Runs and deletes a detached stack of tasks, oldest first.
  static void runTasks(Task *Head);
  void run();
  void runTimers();
  void flushAll();
  void dispatch(uint64_t Token, uint32_t Events);
  int pollTimeoutMilliseconds() const;

  const int m_Epoll;
  const int m_WakeEvent;
  /// Newest task first; &m_Closed once the loop accepts no more tasks.
  std::atomic<Task *> m_Head{nullptr};
  Task m_Closed;
  std::atomic<bool> m_StopRequested{false};
  std::unordered_map<int, Entry> m_Entries;
  uint32_t m_NextToken = 1;
  std::vector<std::shared_ptr<Pollable>> m_PendingFlushes;
  std::multimap<LoopClock::time_point, std::function<void()>> m_Timers;
  LoopClock::time_point m_StopDeadline;
  std::array<char, 65536> m_Buffer;
  std::thread m_Thread;
};

} // namespace figlift::wire
