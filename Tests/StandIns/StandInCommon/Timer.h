//===- Timer.h - Deferred work without a waiting thread ---------*- C++ -*-===//
//
// Answers that take their time must not hold a thread of the HTTP pool: with
// eight threads, eight slow calls would stop a whole stand-in.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInCommon/Duration.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace figlift::standin {

/// Runs functions at their time on one thread that lives as long as the
/// process.
class Timer {
public:
  Timer();
  void after(std::chrono::microseconds Delay, std::function<void()> Work);

private:
  void run();

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::multimap<SteadyTime, std::function<void()>> m_Pending;
};

} // namespace figlift::standin
