//===- EventLoop.cpp - Thread for tasks and timers ------------------------===//
//
// See EventLoop.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/EventLoop.h"

#include <algorithm>

namespace figlift::entry {

namespace {

/// Bound of each wait: the clock of the condition variable stops while the VM
/// is suspended, so after a resume a task can be late by at most this much.
constexpr std::chrono::milliseconds MaximumSleep{1000};

} // namespace

EventLoop::EventLoop() : m_Thread([this] { run(); }) {}

EventLoop::TimerId EventLoop::after(std::chrono::milliseconds Delay,
                                    Task NewTask) {
  const std::lock_guard Lock(m_Mutex);
  const TimerId Id{BootClock::now() + Delay, ++m_TaskCount};
  if (m_Stopped)
    return Id;
  const auto Position = m_Tasks.emplace(Id, std::move(NewTask)).first;
  if (Position == m_Tasks.begin())
    m_Wake.notify_one();
  return Id;
}

void EventLoop::cancel(const TimerId &Id) {
  // Declared before the lock, so that the task is destroyed after the lock is
  // released: destructors of its captures may call this loop.
  Task Dropped;
  const std::lock_guard Lock(m_Mutex);
  if (const auto Iterator = m_Tasks.find(Id); Iterator != m_Tasks.end()) {
    Dropped = std::move(Iterator->second);
    m_Tasks.erase(Iterator);
  }
}

void EventLoop::stop() {
  std::map<TimerId, Task> Dropped;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
    Dropped.swap(m_Tasks);
    m_Wake.notify_one();
  }
  if (m_Thread.joinable() && m_Thread.get_id() != std::this_thread::get_id())
    m_Thread.join();
}

void EventLoop::run() {
  std::unique_lock Lock(m_Mutex);
  while (!m_Stopped) {
    if (m_Tasks.empty()) {
      m_Wake.wait_for(Lock, MaximumSleep);
      continue;
    }
    const auto Remaining = m_Tasks.begin()->first.first - BootClock::now();
    if (Remaining.count() > 0) {
      m_Wake.wait_for(
          Lock, std::min<std::chrono::nanoseconds>(Remaining, MaximumSleep));
      continue;
    }
    Task Due = std::move(m_Tasks.begin()->second);
    m_Tasks.erase(m_Tasks.begin());
    Lock.unlock();
    Due();
    Due = nullptr;
    Lock.lock();
  }
}

} // namespace figlift::entry
