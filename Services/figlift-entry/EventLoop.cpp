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
                                    Task What) {
  const std::lock_guard Lock(m_Mutex);
  const TimerId Id{BootClock::now() + Delay, ++m_Count};
  if (m_Stopped)
    return Id;
  const auto Place = m_Tasks.emplace(Id, std::move(What)).first;
  if (Place == m_Tasks.begin())
    m_Wake.notify_one();
  return Id;
}

void EventLoop::cancel(const TimerId &Which) {
  // Declared before the lock, so that the task is destroyed after the lock is
  // released: destructors of its captures may call this loop.
  Task Dropped;
  const std::lock_guard Lock(m_Mutex);
  if (const auto Found = m_Tasks.find(Which); Found != m_Tasks.end()) {
    Dropped = std::move(Found->second);
    m_Tasks.erase(Found);
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
    const auto Left = m_Tasks.begin()->first.first - BootClock::now();
    if (Left.count() > 0) {
      m_Wake.wait_for(Lock,
                      std::min<std::chrono::nanoseconds>(Left, MaximumSleep));
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
