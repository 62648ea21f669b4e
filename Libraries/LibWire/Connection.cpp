//===- Connection.cpp - One HTTP/2 connection -----------------------------===//
//
// Reading, writing, heartbeats and stream termination.
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
/// More frames are taken from the session when less than the low mark is
/// queued, and up to the high mark, so that a PING never waits behind megabytes
/// of data.
constexpr size_t OutputLowWaterMark = 64u << 10;
constexpr size_t OutputHighWaterMark = 256u << 10;
/// Reads per readiness event, so that one busy peer does not starve the others.
constexpr int ReadsPerEvent = 8;
} // namespace

Connection::Connection(std::shared_ptr<Loop> Owner, int Socket,
                       ConnectionOptions Options,
                       std::shared_ptr<TrafficCounters> Counters)
    : m_Loop(std::move(Owner)), m_Options(Options),
      m_Counters(std::move(Counters)), m_Socket(Socket),
      m_LastFrame(LoopClock::now()) {}

Connection::~Connection() {
  if (m_Session)
    nghttp2_session_del(m_Session);
  if (m_Socket >= 0)
    ::close(m_Socket);
}

void Connection::addStream(const std::shared_ptr<Http2Stream> &NewStream,
                           int32_t Id) {
  NewStream->Owner = this;
  NewStream->Id = Id;
  m_Streams[Id] = NewStream;
}

std::shared_ptr<Http2Stream> Connection::findStream(int32_t Id) {
  auto Position = m_Streams.find(Id);
  return Position == m_Streams.end() ? nullptr : Position->second;
}

void Connection::removeStream(int32_t Id) {
  auto Position = m_Streams.find(Id);
  if (Position == m_Streams.end())
    return;
  Position->second->Owner = nullptr;
  m_Streams.erase(Position);
  onStreamRemoved();
}

void Connection::resetStream(Http2Stream &Stream, uint32_t Code) {
  // REFUSED_STREAM promises that the request was not processed. After the
  // response has started that is false, and the peer would execute the request
  // a second time.
  if (Code == NGHTTP2_REFUSED_STREAM && Stream.ResponseStarted)
    Code = NGHTTP2_CANCEL;
  m_BufferedInputBytes -= Stream.bufferedInputBytes();
  nghttp2_submit_rst_stream(m_Session, NGHTTP2_FLAG_NONE, Stream.Id, Code);
  Stream.end(StreamEnd::Cancelled);
  flushSoon();
}

void Connection::onData(int32_t Id, std::string_view Bytes) {
  m_LastFrame = LoopClock::now();
  m_PingSent.reset();
  auto Stream = findStream(Id);
  if (!Stream || Stream->ended())
    return;
  size_t PreviousBytes = Stream->bufferedInputBytes();
  bool Valid = Stream->receive(Bytes);
  m_BufferedInputBytes += Stream->bufferedInputBytes() - PreviousBytes;
  m_MessageChunks += Stream->ReceivedMessage;
  // Bounds the sum over all streams: many incomplete messages would otherwise
  // use far more memory than the limit of a single message.
  if (!Valid ||
      m_BufferedInputBytes >
          8 * m_Options.Limits.MaximumMessageBytes + StreamWindowBytes)
    resetStream(*Stream, NGHTTP2_ENHANCE_YOUR_CALM);
}

void Connection::onStreamClose(int32_t Id, uint32_t Code) {
  auto Stream = findStream(Id);
  if (!Stream)
    return;
  m_BufferedInputBytes -= Stream->bufferedInputBytes();
  Stream->end(closedStreamOutcome(*Stream, Code));
  removeStream(Id);
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
  for (int I = 0; I < ReadsPerEvent && !closed(); ++I) {
    ssize_t Size = ::recv(m_Socket, Buffer.data(), Buffer.size(), 0);
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (Size <= 0)
      return close();
    m_Counters->Received.fetch_add(size_t(Size), std::memory_order_relaxed);
    if (nghttp2_session_mem_recv(
            m_Session, reinterpret_cast<const uint8_t *>(Buffer.data()),
            size_t(Size)) < 0)
      return close();
    if (size_t(Size) < Buffer.size())
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
  // With a peer that reads steadily but slowly the output never becomes empty,
  // so sent bytes are erased here.
  if (m_OutputOffset > OutputHighWaterMark) {
    m_Output.erase(0, m_OutputOffset);
    m_OutputOffset = 0;
  }
  while (m_Output.size() - m_OutputOffset < OutputHighWaterMark) {
    const uint8_t *Data = nullptr;
    ssize_t Size = nghttp2_session_mem_send(m_Session, &Data);
    if (Size < 0)
      return false;
    if (Size == 0)
      return true;
    m_Output.append(reinterpret_cast<const char *>(Data), size_t(Size));
    m_ProducedBytes += size_t(Size);
  }
  return true;
}

bool Connection::write() {
  while (m_OutputOffset < m_Output.size()) {
    ssize_t Sent = ::send(m_Socket, m_Output.data() + m_OutputOffset,
                          m_Output.size() - m_OutputOffset, MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    if (Sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return true;
    if (Sent < 0)
      return false;
    m_LastWrite = LoopClock::now();
    m_OutputOffset += size_t(Sent);
    m_WrittenBytes += size_t(Sent);
    m_Counters->Sent.fetch_add(size_t(Sent), std::memory_order_relaxed);
  }
  m_Output.clear();
  m_OutputOffset = 0;
  return true;
}

void Connection::flush() {
  m_FlushPending = false;
  if (closed() || !m_Session)
    return;
  bool Blocked = false;
  while (!Blocked) {
    if (m_Output.size() - m_OutputOffset < OutputLowWaterMark && !produce())
      return close();
    if (m_OutputOffset == m_Output.size())
      break;
    if (!write())
      return readRemainingAndClose();
    Blocked = m_OutputOffset < m_Output.size();
  }
  if (Blocked != m_WriteBlocked) {
    m_WriteBlocked = Blocked;
    m_LastWrite = LoopClock::now();
    m_Loop->modify(m_Socket, EPOLLIN | (Blocked ? uint32_t(EPOLLOUT) : 0));
  }
  // The last stream ended after a GOAWAY, or the peer made a protocol error.
  if (!Blocked && !nghttp2_session_want_read(m_Session) &&
      !nghttp2_session_want_write(m_Session))
    close();
}

void Connection::readRemainingAndClose() {
  // The receive buffer may still hold responses, refusals and the GOAWAY that
  // names the unprocessed streams, sent by the peer before it closed, although
  // writing already fails.
  auto &Buffer = m_Loop->buffer();
  while (!closed()) {
    ssize_t Size = ::recv(m_Socket, Buffer.data(), Buffer.size(), 0);
    if (Size <= 0)
      break;
    m_Counters->Received.fetch_add(size_t(Size), std::memory_order_relaxed);
    if (nghttp2_session_mem_recv(
            m_Session, reinterpret_cast<const uint8_t *>(Buffer.data()),
            size_t(Size)) < 0)
      break;
  }
  close();
}

void Connection::checkHeartbeat() {
  if (closed())
    return;
  auto Now = LoopClock::now();
  if (m_PingSent && Now - *m_PingSent >= m_Options.HeartbeatTimeout) {
    // This process may itself have been paused. The PING's acknowledgment is
    // then in the receive buffer, and the connection is healthy.
    read();
    if (closed())
      return;
    if (m_PingSent)
      return close();
  }
  // A peer that sends but never reads passes the PING check while its responses
  // accumulate in memory.
  if (m_WriteBlocked && Now - m_LastWrite >= m_Options.HeartbeatInterval +
                                                 m_Options.HeartbeatTimeout)
    return close();
  if (!m_PingSent && Now - m_LastFrame >= m_Options.HeartbeatInterval) {
    nghttp2_submit_ping(m_Session, NGHTTP2_FLAG_NONE, nullptr);
    m_PingSent = Now;
    flushSoon();
  }
  // The acknowledgment of a PING does not restart the timer, so the next check
  // follows after one interval at the latest.
  auto Next = m_PingSent ? std::min(*m_PingSent + m_Options.HeartbeatTimeout,
                                    Now + m_Options.HeartbeatInterval)
                         : m_LastFrame + m_Options.HeartbeatInterval;
  m_Loop->after(Next - Now, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->checkHeartbeat();
  });
}

void Connection::close() {
  if (closed())
    return;
  auto Self = shared_from_this();
  m_Loop->remove(m_Socket);
  ::close(std::exchange(m_Socket, -1));
  for (auto &[Id, Stream] : std::exchange(m_Streams, {})) {
    Stream->Owner = nullptr;
    Stream->end(lostStreamOutcome(*Stream));
    onStreamRemoved();
  }
  onClosed();
}

void Connection::onLoopStop() {
  if (closed())
    return;
  m_Stopping = true;
  // Closing a socket with unread input sends RST, which discards what the peer
  // has not read yet: the last responses and the GOAWAY. So the output is
  // written first, then the write side is shut down and the input discarded.
  if (m_Session) {
    nghttp2_submit_goaway(m_Session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(m_Session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    while (produce() && m_OutputOffset < m_Output.size() && write()) {
      if (m_OutputOffset == m_Output.size())
        continue;
      auto Remaining = std::chrono::ceil<std::chrono::milliseconds>(
          m_Loop->stopDeadline() - LoopClock::now());
      pollfd Wait{m_Socket, POLLOUT, 0};
      if (Remaining.count() <= 0 ||
          ::poll(&Wait, 1, int(Remaining.count())) <= 0)
        break;
    }
    ::shutdown(m_Socket, SHUT_WR);
    auto &Buffer = m_Loop->buffer();
    for (int I = 0; I < 1024; ++I)
      if (::recv(m_Socket, Buffer.data(), Buffer.size(), 0) <= 0)
        break;
  }
  close();
}

} // namespace figlift::wire
