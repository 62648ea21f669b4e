//===- Loop.h - Thread that makes the agent's decisions ---------*- C++ -*-===//
//
// Runs tasks one after another on one thread. All state machines of the agent
// live there, so none of them needs a lock; the threads of the network post
// what they receive through a wait-free queue.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>

#include <urcu/wfcqueue.h>

namespace figlift::agent {

class Loop {
public:
  using Task = std::function<void()>;

  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Any thread. Tasks of one thread run in the order in which it posted them.
  void post(Task What);
  /// Loop thread, or before run().
  void after(std::chrono::milliseconds Delay, Task What);
  /// Runs \p What again and again; loop thread, or before run().
  void every(std::chrono::milliseconds Period, const Task &What);
  /// Runs tasks on the calling thread until stop() was called.
  void run();
  /// Loop thread.
  void stop() { m_Stopped = true; }

private:
  struct Node;

  void runPosted();
  void runDue();
  void waitForWork();

  /// Wakes the loop's thread; written when the queue was empty before.
  int m_Wakeup = -1;
  struct cds_wfcq_head m_Head;
  struct cds_wfcq_tail m_Tail;
  std::multimap<BootTime, Task> m_Timers;
  bool m_Stopped = false;
};

} // namespace figlift::agent
