//===- EventLoop.h - Event loop of the agent --------------------*- C++ -*-===//
//
// Runs tasks sequentially on one thread. All state machines of the agent are
// used on that thread, so none of them needs a lock. The network threads post
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

class EventLoop {
public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Thread-safe. Tasks of one thread run in the order in which it posted them.
  void post(Task Function);
  /// Runs \p Function once after \p Delay. Call it on the loop's thread or
  /// before run().
  void after(std::chrono::milliseconds Delay, Task Function);
  /// Runs \p Function periodically; the next period starts after it returns.
  /// Call it on the loop's thread or before run().
  void every(std::chrono::milliseconds Period, const Task &Function);
  /// Runs tasks on the calling thread until stop() is called.
  void run();
  /// Call it on the loop's thread.
  void stop() { m_Stopped = true; }

private:
  struct Node;

  void runPosted();
  void runDueTimers();
  void waitForWork();

  /// eventfd that wakes the loop's thread; written when a task is posted to an
  /// empty queue.
  int m_Wakeup = -1;
  struct cds_wfcq_head m_Head;
  struct cds_wfcq_tail m_Tail;
  std::multimap<BootTime, Task> m_Timers;
  bool m_Stopped = false;
};

} // namespace figlift::agent
