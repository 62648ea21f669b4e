//===- EventLoop.h - Thread for tasks and timers ----------------*- C++ -*-===//
//
// One thread that runs tasks in the order of their due times. Control state is
// owned by such a loop, so that it needs no locks.
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

/// Members may be called from any thread.
class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = std::pair<BootTime, uint64_t>;

  EventLoop();
  ~EventLoop() { stop(); }
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  TimerId post(Task What) {
    return after(std::chrono::milliseconds(0), std::move(What));
  }
  TimerId after(std::chrono::milliseconds Delay, Task What);
  /// A task that runs at this moment is not waited for.
  void cancel(const TimerId &Which);
  /// Drops what is not due yet and joins the thread; later tasks never run.
  void stop();

private:
  void run();

  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  /// By due time, then by order of arrival.
  std::map<TimerId, Task> m_Tasks;
  uint64_t m_Count = 0;
  bool m_Stopped = false;
  std::thread m_Thread;
};

} // namespace figlift::entry
