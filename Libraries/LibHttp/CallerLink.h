//===- CallerLink.h - The way from an answer back to its caller -*- C++ -*-===//
//
// Internal to this library. A connection belongs to the strand that reads it;
// handlers answer from any thread. The link carries what they write over to
// the strand and tells them what became of the caller.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibProxy/CallerConnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace figlift::http {

/// What the links of one server have in common. Handlers may answer after the
/// server has stopped, so it lives as long as the last of them.
struct ServerCore {
  boost::asio::io_context Loop;
  std::atomic<size_t> InFlight{0};
  size_t MaximumQueuedBytesPerStream = 0;
  /// Nothing is handed to the loop any more: no thread runs it.
  std::atomic<bool> Stopped{false};
};

class CallerLink : public proxy::ActiveRequest,
                   public std::enable_shared_from_this<CallerLink> {
public:
  CallerLink(std::shared_ptr<ServerCore> Core,
             const std::shared_ptr<proxy::CallerConnection> &Caller);

  /// Counts the request until its answer has ended; returns the new count.
  size_t countInFlight();

  void respond(proxy::ResponseHead Head, std::string Body);
  /// \p Gone is called once when the caller leaves before the end.
  void beginStream(proxy::ResponseHead Head, std::function<void()> Gone);
  /// False when the caller has gone or has left too much unread.
  bool writeStream(std::string Bytes);
  void endStream();
  /// Bytes that were written here and not yet to the caller's connection.
  size_t queuedBytes() const { return m_Posted.load() + m_UnsentBytes.load(); }

  void callerDisconnected() override;
  void callerWritable() override;

private:
  using Action = std::function<void(proxy::CallerConnection &)>;

  void onStrand(Action What);
  void uncount();
  void tellGone();
  void noteUnsent(const proxy::CallerConnection &Caller);

  /// First, so that it outlives the executor of its loop.
  const std::shared_ptr<ServerCore> m_Core;
  const std::weak_ptr<proxy::CallerConnection> m_Caller;
  const boost::asio::any_io_executor m_Strand;
  std::atomic<bool> m_Counted{false};
  std::atomic<bool> m_CallerGone{false};
  /// Bytes on their way to the strand, and bytes that wait there.
  std::atomic<size_t> m_Posted{0};
  std::atomic<size_t> m_UnsentBytes{0};
  std::mutex m_Mutex;
  /// Guarded by m_Mutex; empty once it was called.
  std::function<void()> m_Gone;
};

} // namespace figlift::http
