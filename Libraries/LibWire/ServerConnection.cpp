//===- ServerConnection.cpp - One accepted connection ---------------------===//
//
// Requests, limits against misbehaving peers, and the two steps of a drain.
//
//===----------------------------------------------------------------------===//

#include "LibWire/ServerConnection.h"
#include "LibWire/MethodPath.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>

namespace figlift::wire {

namespace {
/// Requests of figlift have four short headers.
constexpr size_t HeaderBytesPerRequest = 8u << 10;
/// Payload of the PING whose acknowledgment shows that the peer has received
/// the shutdown notice.
constexpr uint8_t DrainPing[8] = {'d', 'r', 'a', 'i', 'n', 'i', 'n', 'g'};
} // namespace

ServerConnection::ServerConnection(std::shared_ptr<Loop> Owner, int Socket,
                                   std::shared_ptr<ServerState> State)
    : Connection(std::move(Owner), Socket,
                 {State->Options.HeartbeatInterval,
                  State->Options.HeartbeatTimeout,
                  {State->Options.MaximumMessageBytes,
                   State->Options.MaximumQueuedBytesPerStream}},
                 State->Counters),
      m_State(std::move(State)) {}

ServerConnection::~ServerConnection() { --m_State->Connections; }

void ServerConnection::start(const std::shared_ptr<Loop> &Owner, int Socket,
                             std::shared_ptr<ServerState> State) {
  std::shared_ptr<ServerConnection> Created(
      new ServerConnection(Owner, Socket, std::move(State)));
  if (!Created->startSession(
          Side::Server, Created->m_State->Options.MaximumConcurrentStreams) ||
      !Owner->add(Socket, EPOLLIN, Created))
    return;
  Created->flushSoon();
  Created->checkHeartbeat();
  Created->checkSlowSenders();
  // A drain that started while this socket was being passed to the loop did not
  // include this connection.
  if (Created->m_State->Draining.load())
    Created->drain();
}

bool ServerConnection::onHeader(const nghttp2_frame &Frame,
                                std::string_view Name, std::string_view Value) {
  if (Frame.hd.stream_id != m_HeaderStream) {
    m_HeaderStream = Frame.hd.stream_id;
    m_HeaderBytes = 0;
    m_Path.clear();
  }
  m_HeaderBytes += Name.size() + Value.size();
  if (Name == ":path")
    m_Path = Value;
  return m_HeaderBytes <= HeaderBytesPerRequest;
}

bool ServerConnection::onFrame(const nghttp2_frame &Frame) {
  switch (Frame.hd.type) {
  case NGHTTP2_SETTINGS:
    m_SettingsReceived = true;
    return true;
  case NGHTTP2_PING:
    if ((Frame.hd.flags & NGHTTP2_FLAG_ACK) &&
        std::equal(std::begin(DrainPing), std::end(DrainPing),
                   Frame.ping.opaque_data)) {
      // All requests that the peer sent before it received the notice have
      // arrived and were refused.
      nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                            nghttp2_session_get_last_proc_stream_id(session()),
                            NGHTTP2_NO_ERROR, nullptr, 0);
      flushSoon();
    }
    return true;
  case NGHTTP2_HEADERS:
    if (Frame.headers.cat == NGHTTP2_HCAT_REQUEST)
      onRequest(Frame.hd.stream_id);
    [[fallthrough]];
  case NGHTTP2_DATA:
    if (Frame.hd.flags & NGHTTP2_FLAG_END_STREAM)
      onPeerEnd(Frame.hd.stream_id);
    return true;
  default:
    return true;
  }
}

void ServerConnection::onRequest(int32_t Id) {
  auto RequestMethod =
      m_HeaderStream == Id ? methodFromPath(m_Path) : std::nullopt;
  if (RequestMethod && !m_Draining) {
    auto NewStream = std::make_shared<Http2Stream>(loop(), options().Limits);
    NewStream->CarriesRequest = carriesRequest(*RequestMethod);
    addStream(NewStream, Id);
    ++m_State->OpenStreams;
    if (auto Listener =
            m_State->Listener->onStream(*RequestMethod, NewStream)) {
      NewStream->setListener(std::move(Listener));
      return;
    }
    removeStream(Id);
  }
  // No part of the request was processed; the sender relies on that to retry.
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, Id,
                            NGHTTP2_REFUSED_STREAM);
}

void ServerConnection::onPeerEnd(int32_t Id) {
  auto Stream = findStream(Id);
  if (!Stream || Stream->ended())
    return;
  if (Stream->hasPartialMessage()) {
    resetStream(*Stream, NGHTTP2_PROTOCOL_ERROR);
    return;
  }
  Stream->PeerFinished = true;
  Stream->peerFinished();
}

void ServerConnection::outputReady(Http2Stream &Stream) {
  if (!Stream.ResponseStarted) {
    static uint8_t Name[] = ":status", Value[] = "200";
    const nghttp2_nv Header = {Name, Value, sizeof(Name) - 1, sizeof(Value) - 1,
                               NGHTTP2_NV_FLAG_NO_COPY_NAME |
                                   NGHTTP2_NV_FLAG_NO_COPY_VALUE};
    auto Data = dataProvider(Stream);
    Stream.ResponseStarted = true;
    nghttp2_submit_response(session(), Stream.Id, &Header, 1, &Data);
  } else if (Stream.Deferred) {
    Stream.Deferred = false;
    nghttp2_session_resume_data(session(), Stream.Id);
  }
  flushSoon();
}

StreamEnd ServerConnection::closedStreamOutcome(const Http2Stream &,
                                                uint32_t Code) {
  return Code == NGHTTP2_NO_ERROR ? StreamEnd::Finished
                                  : StreamEnd::ResetByPeer;
}

StreamEnd ServerConnection::lostStreamOutcome(const Http2Stream &) {
  return m_Stopping ? StreamEnd::Cancelled : StreamEnd::ConnectionLost;
}

void ServerConnection::onStreamRemoved() { --m_State->OpenStreams; }

void ServerConnection::drain() {
  if (closed() || std::exchange(m_Draining, true))
    return;
  nghttp2_submit_shutdown_notice(session());
  nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, DrainPing);
  flushSoon();
}

void ServerConnection::checkSlowSenders() {
  if (closed())
    return;
  auto Now = LoopClock::now();
  auto Timeout = m_State->Options.FirstMessageTimeout;
  // The heartbeat does not detect a peer that sends single bytes, or one that
  // acknowledges PINGs and never completes a message. Each would hold a
  // descriptor, a session and a buffer forever.
  if (!m_SettingsReceived && Now - m_AcceptedAt >= Timeout)
    return close();
  bool ResetSlowStream = false;
  forEachStream([&](Http2Stream &Stream) {
    bool Incomplete = Stream.hasPartialMessage() || !Stream.ReceivedMessage;
    if (Stream.ended() || Stream.PeerFinished || !Incomplete ||
        Now - Stream.IncompleteSince < Timeout)
      return;
    ResetSlowStream = true;
    resetStream(Stream, NGHTTP2_ENHANCE_YOUR_CALM);
  });
  if (ResetSlowStream && m_MessageChunks == 0)
    return close();
  loop()->after(
      std::max<LoopClock::duration>(Timeout / 4, std::chrono::milliseconds(1)),
      [Weak = weak_from_this()] {
        if (auto Self = Weak.lock())
          static_cast<ServerConnection &>(*Self).checkSlowSenders();
      });
}

} // namespace figlift::wire
