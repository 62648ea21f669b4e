//===- EventLoop.h - Thread for tasks and timers ----------------*- C++ -*-===//
//
// Runs tasks on one thread in the order of their due times. State that is only
// accessed by tasks of one loop needs no locks.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace figlift::entry {

/// Thread-safe.
class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = std::pair<BootTime, uint64_t>;

  EventLoop();
  ~EventLoop() { stop(); }
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  TimerId post(Task NewTask) {
    return after(std::chrono::milliseconds(0), std::move(NewTask));
  }
  TimerId after(std::chrono::milliseconds Delay, Task NewTask);
  /// Does not wait for a task that is already running.
  void cancel(const TimerId &Id);
  /// Drops pending tasks and joins the thread. Tasks added later never run.
  void stop();

private:
  void run();

  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  /// Ordered by due time, then by insertion.
  std::map<TimerId, Task> m_Tasks;
  uint64_t m_TaskCount = 0;
  bool m_Stopped = false;
  std::thread m_Thread;
};

} // namespace figlift::entry
