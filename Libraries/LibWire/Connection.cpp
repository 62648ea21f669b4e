//===- Connection.cpp - One HTTP/2 connection -----------------------------===//
//
// Reads, writes, heartbeats and the ends of streams.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Connection.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace figlift::wire {

namespace {
/// The session is asked for more frames below the first mark and up to the
/// second one, so that PINGs never wait behind megabytes of data.
constexpr size_t OutputLow = 64u << 10;
constexpr size_t OutputHigh = 256u << 10;
/// Reads of one readiness, so that one busy peer does not starve the others.
constexpr int ReadsPerTurn = 8;
} // namespace

Connection::Connection(std::shared_ptr<Loop> Owner, int Socket,
                       ConnectionOptions Options,
                       std::shared_ptr<Traffic> Counter)
    : m_Loop(std::move(Owner)), m_Options(Options),
      m_Traffic(std::move(Counter)), m_Socket(Socket),
      m_LastFrame(LoopClock::now()) {}

Connection::~Connection() {
  if (m_Session)
    nghttp2_session_del(m_Session);
  if (m_Socket >= 0)
    ::close(m_Socket);
}

void Connection::addStream(const std::shared_ptr<Http2Stream> &Added,
                           int32_t Id) {
  Added->Owner = this;
  Added->Id = Id;
  m_Streams[Id] = Added;
}

std::shared_ptr<Http2Stream> Connection::findStream(int32_t Id) {
  auto Found = m_Streams.find(Id);
  return Found == m_Streams.end() ? nullptr : Found->second;
}

void Connection::forgetStream(int32_t Id) {
  auto Found = m_Streams.find(Id);
  if (Found == m_Streams.end())
    return;
  Found->second->Owner = nullptr;
  m_Streams.erase(Found);
  onStreamGone();
}

void Connection::resetStream(Http2Stream &Which, uint32_t Code) {
  // REFUSED_STREAM is a proof that nothing was done. Once an answer has begun
  // it would be a lie, and the peer would run the request a second time.
  if (Code == NGHTTP2_REFUSED_STREAM && Which.ResponseStarted)
    Code = NGHTTP2_CANCEL;
  m_BufferedInput -= Which.bufferedInput();
  nghttp2_submit_rst_stream(m_Session, NGHTTP2_FLAG_NONE, Which.Id, Code);
  Which.end(StreamEnd::Cancelled);
  flushSoon();
}

void Connection::onData(int32_t Id, std::string_view Bytes) {
  m_LastFrame = LoopClock::now();
  m_PingSent.reset();
  auto Target = findStream(Id);
  if (!Target || Target->ended())
    return;
  size_t Before = Target->bufferedInput();
  bool Good = Target->receive(Bytes);
  m_BufferedInput += Target->bufferedInput() - Before;
  m_Messages += Target->GotMessage;
  // Many streams with an unfinished message each would add up to far more
  // than one message may have.
  if (!Good || m_BufferedInput >
                   8 * m_Options.Limits.MaximumMessageBytes + StreamWindowBytes)
    resetStream(*Target, NGHTTP2_ENHANCE_YOUR_CALM);
}

void Connection::onStreamClose(int32_t Id, uint32_t Code) {
  auto Closed = findStream(Id);
  if (!Closed)
    return;
  m_BufferedInput -= Closed->bufferedInput();
  Closed->end(endOf(*Closed, Code));
  forgetStream(Id);
}

void Connection::onReady(uint32_t Events) {
  if (Events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) {
    onConnected();
    if (!closed() && m_Session)
      flush();
  }
  if (!closed() && m_Session && (Events & ~uint32_t(EPOLLOUT)))
    read();
}

void Connection::read() {
  auto &Buffer = m_Loop->buffer();
  for (int Turn = 0; Turn < ReadsPerTurn && !closed(); ++Turn) {
    ssize_t Got = ::recv(m_Socket, Buffer.data(), Buffer.size(), 0);
    if (Got < 0 && errno == EINTR)
      continue;
    if (Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (Got <= 0)
      return close();
    m_Traffic->Received.fetch_add(size_t(Got), std::memory_order_relaxed);
    if (nghttp2_session_mem_recv(
            m_Session, reinterpret_cast<const uint8_t *>(Buffer.data()),
            size_t(Got)) < 0)
      return close();
    if (size_t(Got) < Buffer.size())
      break;
  }
  flushSoon();
}

void Connection::flushSoon() {
  if (m_FlushPending || closed())
    return;
  m_FlushPending = true;
  m_Loop->flushLater(shared_from_this());
}

bool Connection::produce() {
  // With a peer that reads steadily but slowly the output never runs empty.
  if (m_OutputAt > OutputHigh) {
    m_Output.erase(0, m_OutputAt);
    m_OutputAt = 0;
  }
  while (m_Output.size() - m_OutputAt < OutputHigh) {
    const uint8_t *Data = nullptr;
    ssize_t Size = nghttp2_session_mem_send(m_Session, &Data);
    if (Size < 0)
      return false;
    if (Size == 0)
      return true;
    m_Output.append(reinterpret_cast<const char *>(Data), size_t(Size));
    m_Produced += size_t(Size);
  }
  return true;
}

bool Connection::write() {
  while (m_OutputAt < m_Output.size()) {
    ssize_t Sent = ::send(m_Socket, m_Output.data() + m_OutputAt,
                          m_Output.size() - m_OutputAt, MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    if (Sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return true;
    if (Sent < 0)
      return false;
    m_LastWrite = LoopClock::now();
    m_OutputAt += size_t(Sent);
    m_Written += size_t(Sent);
    m_Traffic->Sent.fetch_add(size_t(Sent), std::memory_order_relaxed);
  }
  m_Output.clear();
  m_OutputAt = 0;
  return true;
}

void Connection::flush() {
  m_FlushPending = false;
  if (closed() || !m_Session)
    return;
  bool Blocked = false;
  while (!Blocked) {
    if (m_Output.size() - m_OutputAt < OutputLow && !produce())
      return close();
    if (m_OutputAt == m_Output.size())
      break;
    if (!write())
      return closeAfterRead();
    Blocked = m_OutputAt < m_Output.size();
  }
  if (Blocked != m_WaitsForWrite) {
    m_WaitsForWrite = Blocked;
    m_LastWrite = LoopClock::now();
    m_Loop->modify(m_Socket, EPOLLIN | (Blocked ? uint32_t(EPOLLOUT) : 0));
  }
  // After a GOAWAY and the last stream, or a protocol error of the peer.
  if (!Blocked && !nghttp2_session_want_read(m_Session) &&
      !nghttp2_session_want_write(m_Session))
    close();
}

void Connection::closeAfterRead() {
  // The peer may have said its last words before it closed: answers, refusals
  // and the GOAWAY that proves what it has not processed lie in the receive
  // buffer although nothing can be written any more.
  auto &Buffer = m_Loop->buffer();
  while (!closed()) {
    ssize_t Got = ::recv(m_Socket, Buffer.data(), Buffer.size(), 0);
    if (Got <= 0)
      break;
    m_Traffic->Received.fetch_add(size_t(Got), std::memory_order_relaxed);
    if (nghttp2_session_mem_recv(
            m_Session, reinterpret_cast<const uint8_t *>(Buffer.data()),
            size_t(Got)) < 0)
      break;
  }
  close();
}

void Connection::watchHeartbeat() {
  if (closed())
    return;
  auto Now = LoopClock::now();
  if (m_PingSent && Now - *m_PingSent >= m_Options.HeartbeatTimeout) {
    // This process itself may have been paused: the answer is then in the
    // receive buffer, and giving up would break a healthy connection.
    read();
    if (closed())
      return;
    if (m_PingSent)
      return close();
  }
  // A peer that sends and never reads looks alive, while the answers to it
  // pile up here.
  if (m_WaitsForWrite && Now - m_LastWrite >= m_Options.HeartbeatInterval +
                                                  m_Options.HeartbeatTimeout)
    return close();
  if (!m_PingSent && Now - m_LastFrame >= m_Options.HeartbeatInterval) {
    nghttp2_submit_ping(m_Session, NGHTTP2_FLAG_NONE, nullptr);
    m_PingSent = Now;
    flushSoon();
  }
  // An answered PING does not rearm the timer, so the next look is never
  // further away than an interval.
  auto Next = m_PingSent ? std::min(*m_PingSent + m_Options.HeartbeatTimeout,
                                    Now + m_Options.HeartbeatInterval)
                         : m_LastFrame + m_Options.HeartbeatInterval;
  m_Loop->after(Next - Now, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->watchHeartbeat();
  });
}

void Connection::close() {
  if (closed())
    return;
  auto Keep = shared_from_this();
  m_Loop->remove(m_Socket);
  ::close(std::exchange(m_Socket, -1));
  for (auto &[Id, Current] : std::exchange(m_Streams, {})) {
    Current->Owner = nullptr;
    Current->end(endOfLost(*Current));
    onStreamGone();
  }
  onClosed();
}

void Connection::onLoopStop() {
  if (closed())
    return;
  m_Stopping = true;
  // Closing a socket with unread input sends RST, and RST destroys what the
  // peer has not read yet: the last answers and the GOAWAY. So the output
  // goes first, then our side is shut down and the input thrown away.
  if (m_Session) {
    nghttp2_submit_goaway(m_Session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(m_Session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    while (produce() && m_OutputAt < m_Output.size() && write()) {
      if (m_OutputAt == m_Output.size())
        continue;
      auto Left = std::chrono::ceil<std::chrono::milliseconds>(
          m_Loop->stopDeadline() - LoopClock::now());
      pollfd Wait{m_Socket, POLLOUT, 0};
      if (Left.count() <= 0 || ::poll(&Wait, 1, int(Left.count())) <= 0)
        break;
    }
    ::shutdown(m_Socket, SHUT_WR);
    auto &Buffer = m_Loop->buffer();
    for (int Turn = 0; Turn < 1024; ++Turn)
      if (::recv(m_Socket, Buffer.data(), Buffer.size(), 0) <= 0)
        break;
  }
  close();
}

} // namespace figlift::wire
