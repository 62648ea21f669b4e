//===- BackgroundWorker.h - Runs computations off an I/O loop ---*- C++ -*-===//
//
// Runs long computations on a separate thread, since on the loop they would
// delay all requests. They share no state with the loop, and their results are
// posted to it. The thread blocks all signals.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/ScopedSignalBlock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <utility>

namespace figlift {

class BackgroundWorker {
public:
  /// \p Loop must outlive the worker.
  explicit BackgroundWorker(boost::asio::io_context &Loop) : m_Loop(Loop) {}

  /// Calls \p Work on the worker thread, then \p Receive with its result on the
  /// loop, in the order of the calls. \p Work must not use state that other
  /// threads modify.
  template <typename Computation, typename Receiver>
  void run(Computation Work, Receiver Receive) {
    // The work guard keeps a loop without other work running until the result
    // is posted.
    boost::asio::post(m_Thread, [Loop = boost::asio::make_work_guard(m_Loop),
                                 Work = std::move(Work),
                                 Receive = std::move(Receive)]() mutable {
      boost::asio::post(Loop.get_executor(), [Receive = std::move(Receive),
                                              Output = Work()]() mutable {
        Receive(std::move(Output));
      });
    });
  }

private:
  static boost::asio::thread_pool startThread() {
    const ScopedSignalBlock Block;
    return boost::asio::thread_pool(1);
  }

  boost::asio::io_context &m_Loop;
  boost::asio::thread_pool m_Thread = startThread();
};

} // namespace figlift
