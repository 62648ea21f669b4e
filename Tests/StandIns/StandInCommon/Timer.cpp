//===- Timer.cpp - Deferred work without a waiting thread -----------------===//
//
// One thread over an ordered map of due times.
//
//===----------------------------------------------------------------------===//

#include "StandInCommon/Timer.h"

#include <thread>

namespace figlift::standin {

Timer::Timer() {
  std::thread([this] { run(); }).detach();
}

void Timer::after(std::chrono::microseconds Delay, std::function<void()> Work) {
  if (Delay.count() <= 0) {
    Work();
    return;
  }
  const std::lock_guard Lock(m_Mutex);
  m_Pending.emplace(std::chrono::steady_clock::now() + Delay, std::move(Work));
  m_Changed.notify_one();
}

void Timer::run() {
  std::unique_lock Lock(m_Mutex);
  for (;;) {
    if (m_Pending.empty()) {
      m_Changed.wait(Lock);
      continue;
    }
    const auto First = m_Pending.begin();
    if (First->first > std::chrono::steady_clock::now()) {
      m_Changed.wait_until(Lock, SteadyTime(First->first));
      continue;
    }
    const auto Work = std::move(First->second);
    m_Pending.erase(First);
    Lock.unlock();
    Work();
    Lock.lock();
  }
}

} // namespace figlift::standin
