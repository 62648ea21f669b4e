//===- ResponseChannel.cpp - Writes responses from any thread -------------===//
//
// See ResponseChannel.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/ResponseChannel.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace figlift::http {

ResponseChannel::ResponseChannel(
    std::shared_ptr<SharedServerState> Shared,
    const std::shared_ptr<proxy::CallerConnection> &Caller)
    : m_Shared(std::move(Shared)), m_Caller(Caller),
      m_Strand(Caller->executor()) {}

size_t ResponseChannel::enterInFlight() {
  m_Counted.store(true);
  return m_Shared->InFlight.fetch_add(1) + 1;
}

void ResponseChannel::leaveInFlight() {
  if (m_Counted.exchange(false))
    m_Shared->InFlight.fetch_sub(1);
}

void ResponseChannel::postToStrand(Action Task) {
  if (m_Shared->Stopped.load())
    return leaveInFlight();
  boost::asio::post(m_Strand,
                    [Self = shared_from_this(), Task = std::move(Task)] {
                      if (const auto Caller = Self->m_Caller.lock())
                        return Task(*Caller);
                      Self->leaveInFlight();
                    });
}

void ResponseChannel::recordUnsentBytes(const proxy::CallerConnection &Caller) {
  m_UnsentBytes.store(Caller.unsentBytes());
}

void ResponseChannel::respond(proxy::ResponseHead Head, std::string Body) {
  postToStrand([Self = shared_from_this(), Head = std::move(Head),
                Body = std::move(Body)](proxy::CallerConnection &Caller) {
    Caller.respond(Head, Body);
    // Posted, to run after the connection has finished the response: a server
    // that stops at a count of zero would otherwise find the connection busy
    // and abort it.
    Self->postToStrand(
        [Self](proxy::CallerConnection &) { Self->leaveInFlight(); });
  });
}

void ResponseChannel::beginStream(proxy::ResponseHead Head,
                                  std::function<void()> OnDisconnect) {
  {
    std::lock_guard Lock(m_Mutex);
    m_OnDisconnect = std::move(OnDisconnect);
  }
  if (m_Disconnected.load())
    return notifyDisconnect();
  postToStrand([Head = std::move(Head)](proxy::CallerConnection &Caller) {
    Caller.beginStream(Head);
  });
}

bool ResponseChannel::writeStream(std::string Bytes) {
  if (m_Disconnected.load() || m_Shared->Stopped.load())
    return false;
  // For a caller that stops reading but keeps the connection open, the process
  // would have to buffer the whole response. The connection is aborted: after a
  // graceful end the part received would look like the complete response.
  if (queuedBytes() > m_Shared->MaximumQueuedBytesPerStream) {
    postToStrand([](proxy::CallerConnection &Caller) { Caller.abort(); });
    return false;
  }
  const size_t Count = Bytes.size();
  m_PostedBytes.fetch_add(Count);
  postToStrand([Self = shared_from_this(), Bytes = std::move(Bytes),
                Count](proxy::CallerConnection &Caller) {
    Caller.writeStream(Bytes);
    Self->recordUnsentBytes(Caller);
    Self->m_PostedBytes.fetch_sub(Count);
  });
  return true;
}

void ResponseChannel::endStream() {
  postToStrand([Self = shared_from_this()](proxy::CallerConnection &Caller) {
    Caller.endStream();
    Self->postToStrand(
        [Self](proxy::CallerConnection &) { Self->leaveInFlight(); });
  });
}

void ResponseChannel::callerDisconnected() {
  leaveInFlight();
  m_Disconnected.store(true);
  notifyDisconnect();
}

void ResponseChannel::notifyDisconnect() {
  std::function<void()> OnDisconnect;
  {
    std::lock_guard Lock(m_Mutex);
    OnDisconnect = std::exchange(m_OnDisconnect, {});
  }
  if (OnDisconnect)
    OnDisconnect();
}

void ResponseChannel::callerWritable() {
  if (const auto Caller = m_Caller.lock())
    recordUnsentBytes(*Caller);
}

} // namespace figlift::http
