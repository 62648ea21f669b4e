//===- CallerLink.cpp - The way from an answer back to its caller ---------===//
//
// See CallerLink.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/CallerLink.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace figlift::http {

CallerLink::CallerLink(std::shared_ptr<ServerCore> Core,
                       const std::shared_ptr<proxy::CallerConnection> &Caller)
    : m_Core(std::move(Core)), m_Caller(Caller), m_Strand(Caller->executor()) {}

size_t CallerLink::countInFlight() {
  m_Counted.store(true);
  return m_Core->InFlight.fetch_add(1) + 1;
}

void CallerLink::uncount() {
  if (m_Counted.exchange(false))
    m_Core->InFlight.fetch_sub(1);
}

void CallerLink::onStrand(Action What) {
  if (m_Core->Stopped.load())
    return uncount();
  boost::asio::post(m_Strand,
                    [Self = shared_from_this(), What = std::move(What)] {
                      if (const auto Caller = Self->m_Caller.lock())
                        return What(*Caller);
                      Self->uncount();
                    });
}

void CallerLink::noteUnsent(const proxy::CallerConnection &Caller) {
  m_UnsentBytes.store(Caller.unsentBytes());
}

void CallerLink::respond(proxy::ResponseHead Head, std::string Body) {
  onStrand([Self = shared_from_this(), Head = std::move(Head),
            Body = std::move(Body)](proxy::CallerConnection &Caller) {
    Caller.respond(Head, Body);
    // Behind the connection's own end of the response: a server that stops at
    // a count of zero would otherwise still find it busy and cut it.
    Self->onStrand([Self](proxy::CallerConnection &) { Self->uncount(); });
  });
}

void CallerLink::beginStream(proxy::ResponseHead Head,
                             std::function<void()> Gone) {
  {
    std::lock_guard Lock(m_Mutex);
    m_Gone = std::move(Gone);
  }
  if (m_CallerGone.load())
    return tellGone();
  onStrand([Head = std::move(Head)](proxy::CallerConnection &Caller) {
    Caller.beginStream(Head);
  });
}

bool CallerLink::writeStream(std::string Bytes) {
  if (m_CallerGone.load() || m_Core->Stopped.load())
    return false;
  // A caller who stops reading while keeping the connection open would let the
  // process hold the whole answer. Its connection is cut: ended in order, the
  // part that it got would look like the whole.
  if (queuedBytes() > m_Core->MaximumQueuedBytesPerStream) {
    onStrand([](proxy::CallerConnection &Caller) { Caller.abort(); });
    return false;
  }
  const size_t Count = Bytes.size();
  m_Posted.fetch_add(Count);
  onStrand([Self = shared_from_this(), Bytes = std::move(Bytes),
            Count](proxy::CallerConnection &Caller) {
    Caller.writeStream(Bytes);
    Self->noteUnsent(Caller);
    Self->m_Posted.fetch_sub(Count);
  });
  return true;
}

void CallerLink::endStream() {
  onStrand([Self = shared_from_this()](proxy::CallerConnection &Caller) {
    Caller.endStream();
    Self->onStrand([Self](proxy::CallerConnection &) { Self->uncount(); });
  });
}

void CallerLink::callerDisconnected() {
  uncount();
  m_CallerGone.store(true);
  tellGone();
}

void CallerLink::tellGone() {
  std::function<void()> Gone;
  {
    std::lock_guard Lock(m_Mutex);
    Gone = std::exchange(m_Gone, {});
  }
  if (Gone)
    Gone();
}

void CallerLink::callerWritable() {
  if (const auto Caller = m_Caller.lock())
    noteUnsent(*Caller);
}

} // namespace figlift::http
