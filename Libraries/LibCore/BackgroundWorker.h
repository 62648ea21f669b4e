//===- BackgroundWorker.h - Long computations beside a loop -----*- C++ -*-===//
//
// A computation that takes as long as many requests do would hold all of them
// up on their loop. It runs on a thread of its own here, with nothing shared,
// and its result comes back to the loop. The thread takes no signals.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/SignalsBlocked.h"

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

  /// Calls \p What on the thread, then \p Then with its result on the loop, in
  /// the order of the calls. \p What must use nothing that others change.
  template <typename Computation, typename Receiver>
  void run(Computation What, Receiver Then) {
    // Without other work the loop would end before the result comes.
    boost::asio::post(m_Thread, [Loop = boost::asio::make_work_guard(m_Loop),
                                 What = std::move(What),
                                 Then = std::move(Then)]() mutable {
      boost::asio::post(Loop.get_executor(),
                        [Then = std::move(Then), Found = What()]() mutable {
                          Then(std::move(Found));
                        });
    });
  }

private:
  static boost::asio::thread_pool startThread() {
    const SignalsBlocked Inherited;
    return boost::asio::thread_pool(1);
  }

  boost::asio::io_context &m_Loop;
  boost::asio::thread_pool m_Thread = startThread();
};

} // namespace figlift
