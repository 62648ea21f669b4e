//===- ResponseChannel.h - Writes responses from any thread -----*- C++ -*-===//
//
// Internal to this library. A connection may be used only on its strand, while
// handlers respond from any thread. The channel posts what they write to the
// strand and notifies them when the caller disconnects.
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

/// State that all channels of one server share. It outlives the server, because
/// handlers may respond after the server has stopped.
struct SharedServerState {
  boost::asio::io_context Loop;
  std::atomic<size_t> InFlight{0};
  size_t MaximumQueuedBytesPerStream = 0;
  /// No thread runs the loop any longer, so nothing may be posted to it.
  std::atomic<bool> Stopped{false};
};

class ResponseChannel : public proxy::ActiveRequest,
                        public std::enable_shared_from_this<ResponseChannel> {
public:
  ResponseChannel(std::shared_ptr<SharedServerState> Shared,
                  const std::shared_ptr<proxy::CallerConnection> &Caller);

  /// Counts the request as in flight until its response has ended; returns the
  /// number of requests in flight.
  size_t enterInFlight();

  void respond(proxy::ResponseHead Head, std::string Body);
  /// \p OnDisconnect is called once if the caller disconnects before the end.
  void beginStream(proxy::ResponseHead Head,
                   std::function<void()> OnDisconnect);
  /// Returns false if the caller has disconnected or too many bytes are queued.
  bool writeStream(std::string Bytes);
  void endStream();
  /// Bytes written to the channel and not yet to the caller's socket.
  size_t queuedBytes() const {
    return m_PostedBytes.load() + m_UnsentBytes.load();
  }

  void callerDisconnected() override;
  void callerWritable() override;

private:
  using Action = std::function<void(proxy::CallerConnection &)>;

  void postToStrand(Action Task);
  void leaveInFlight();
  void notifyDisconnect();
  void recordUnsentBytes(const proxy::CallerConnection &Caller);

  /// Declared first, so that it outlives m_Strand, an executor of its loop.
  const std::shared_ptr<SharedServerState> m_Shared;
  const std::weak_ptr<proxy::CallerConnection> m_Caller;
  const boost::asio::any_io_executor m_Strand;
  std::atomic<bool> m_Counted{false};
  std::atomic<bool> m_Disconnected{false};
  /// Bytes posted to the strand, and bytes that the connection has queued.
  std::atomic<size_t> m_PostedBytes{0};
  std::atomic<size_t> m_UnsentBytes{0};
  std::mutex m_Mutex;
  /// Guarded by m_Mutex; empty after the call.
  std::function<void()> m_OnDisconnect;
};

} // namespace figlift::http
