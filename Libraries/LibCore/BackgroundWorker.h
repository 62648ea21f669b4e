//===- BackgroundWorker.h - Runs computations off an I/O loop ---*- C++ -*-===//
//
// Runs long computations on a separate thread, since on the loop they would
// delay all requests. They share no state with the loop, and their results are
// posted to it. The thread blocks all signals.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibCore/ScopedSignalBlock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <exception>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace figlift {

class BackgroundWorker {
public:
  /// \p Loop must outlive the worker.
  explicit BackgroundWorker(boost::asio::io_context &Loop) : m_Loop(Loop) {}

  /// Calls \p Work on the worker thread, then \p Receive with its result on the
  /// loop, in the order of the calls. \p Work must not use state that other
  /// threads modify. What it throws reaches \p Receive as a failure with code
  /// Internal; if its result is no Result, it is thrown again on the loop.
  template <typename Computation, typename Receiver>
  void run(Computation Work, Receiver Receive) {
    // The work guard keeps a loop without other work running until the result
    // is posted.
    boost::asio::post(m_Thread, [Loop = boost::asio::make_work_guard(m_Loop),
                                 Work = std::move(Work),
                                 Receive = std::move(Receive)]() mutable {
      boost::asio::post(
          Loop.get_executor(),
          [Receive = std::move(Receive), Output = outputOf(Work)]() mutable {
            if (Output.Thrown)
              std::rethrow_exception(Output.Thrown);
            Receive(std::move(*Output.Value));
          });
    });
  }

private:
  template <typename T> struct Output {
    std::optional<T> Value;
    std::exception_ptr Thrown;
  };

  template <typename Computation>
  static auto outputOf(Computation &Work)
      -> Output<std::invoke_result_t<Computation &>> {
    using Value = std::invoke_result_t<Computation &>;
    constexpr bool HasFailure =
        std::is_convertible_v<decltype(failure(ResultCode::Internal, {})),
                              Value>;
    try {
      return {Work(), nullptr};
    } catch (const std::exception &Exception) {
      if constexpr (HasFailure)
        return {Value(failure(ResultCode::Internal, Exception.what())),
                nullptr};
      return {std::nullopt, std::current_exception()};
    } catch (...) {
      if constexpr (HasFailure)
        return {Value(failure(ResultCode::Internal, "not a std::exception")),
                nullptr};
      return {std::nullopt, std::current_exception()};
    }
  }

  static boost::asio::thread_pool startThread() {
    const ScopedSignalBlock Block;
    return boost::asio::thread_pool(1);
  }

  boost::asio::io_context &m_Loop;
  boost::asio::thread_pool m_Thread = startThread();
};

} // namespace figlift
