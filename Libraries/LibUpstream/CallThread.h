//===- CallThread.h - Thread of an HttpClient's calls -----------*- C++ -*-===//
//
// Runs an event loop until it is destroyed, and bounds what the calls on it
// hold of answers, all together.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/MemoryBudget.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <thread>

namespace figlift::upstream {

class CallThread {
public:
  explicit CallThread(size_t MaximumHeldBytes);
  CallThread(const CallThread &) = delete;
  CallThread &operator=(const CallThread &) = delete;
  /// Calls that have not ended are dropped. Not on the thread itself.
  ~CallThread();

  boost::asio::io_context &loop() { return m_Loop; }
  /// For use on the thread.
  MemoryBudget &memory() { return m_Memory; }

private:
  void run();

  /// Outlives the calls that m_Loop holds.
  MemoryBudget m_Memory;
  boost::asio::io_context m_Loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work{m_Loop.get_executor()};
  std::thread m_Thread;
};

} // namespace figlift::upstream
