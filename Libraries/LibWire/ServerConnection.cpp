//===- ServerConnection.cpp - One accepted connection ---------------------===//
//
// Requests, bounds against bad peers, and the two steps of a drain.
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
/// Our requests have four short headers.
constexpr size_t HeaderBytesPerRequest = 8u << 10;
/// Payload of the PING whose answer shows that the peer knows of the drain.
constexpr uint8_t DrainPing[8] = {'d', 'r', 'a', 'i', 'n', 'i', 'n', 'g'};
} // namespace

ServerConnection::ServerConnection(std::shared_ptr<Loop> Owner, int Socket,
                                   std::shared_ptr<ServerState> Shared)
    : Connection(std::move(Owner), Socket,
                 {Shared->Options.HeartbeatInterval,
                  Shared->Options.HeartbeatTimeout,
                  {Shared->Options.MaximumMessageBytes,
                   Shared->Options.MaximumQueuedBytesPerStream}},
                 Shared->Counter),
      m_Shared(std::move(Shared)) {}

ServerConnection::~ServerConnection() { --m_Shared->Connections; }

void ServerConnection::start(const std::shared_ptr<Loop> &Owner, int Socket,
                             std::shared_ptr<ServerState> Shared) {
  std::shared_ptr<ServerConnection> Made(
      new ServerConnection(Owner, Socket, std::move(Shared)));
  if (!Made->startSession(Side::Server,
                          Made->m_Shared->Options.MaximumConcurrentStreams) ||
      !Owner->add(Socket, EPOLLIN, Made))
    return;
  Made->flushSoon();
  Made->watchHeartbeat();
  Made->watchSenders();
  // A drain that was asked for while this socket was on its way to the loop
  // has not reached it.
  if (Made->m_Shared->Draining.load())
    Made->drain();
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
    m_SettingsSeen = true;
    return true;
  case NGHTTP2_PING:
    if ((Frame.hd.flags & NGHTTP2_FLAG_ACK) &&
        std::equal(std::begin(DrainPing), std::end(DrainPing),
                   Frame.ping.opaque_data)) {
      // Whatever the peer sent before it knew is here, and was refused.
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
  auto What = m_HeaderStream == Id ? methodOf(m_Path) : std::nullopt;
  if (What && !m_Draining) {
    auto Opened = std::make_shared<Http2Stream>(loop(), options().Limits);
    Opened->CarriesRequest = carriesRequest(*What);
    addStream(Opened, Id);
    ++m_Shared->OpenStreams;
    if (auto Listener = m_Shared->Listener->onStream(*What, Opened)) {
      Opened->listen(std::move(Listener));
      return;
    }
    forgetStream(Id);
  }
  // Nothing of the request was looked at, and the sender may rely on that.
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, Id,
                            NGHTTP2_REFUSED_STREAM);
}

void ServerConnection::onPeerEnd(int32_t Id) {
  auto Ended = findStream(Id);
  if (!Ended || Ended->ended())
    return;
  if (Ended->insideMessage()) {
    resetStream(*Ended, NGHTTP2_PROTOCOL_ERROR);
    return;
  }
  Ended->PeerEnded = true;
  Ended->peerFinished();
}

void ServerConnection::outputReady(Http2Stream &Which) {
  if (!Which.ResponseStarted) {
    static uint8_t Name[] = ":status", Value[] = "200";
    const nghttp2_nv Header = {Name, Value, sizeof(Name) - 1, sizeof(Value) - 1,
                               NGHTTP2_NV_FLAG_NO_COPY_NAME |
                                   NGHTTP2_NV_FLAG_NO_COPY_VALUE};
    auto Data = dataOf(Which);
    Which.ResponseStarted = true;
    nghttp2_submit_response(session(), Which.Id, &Header, 1, &Data);
  } else if (Which.Deferred) {
    Which.Deferred = false;
    nghttp2_session_resume_data(session(), Which.Id);
  }
  flushSoon();
}

StreamEnd ServerConnection::endOf(const Http2Stream &, uint32_t Code) {
  return Code == NGHTTP2_NO_ERROR ? StreamEnd::Finished
                                  : StreamEnd::ResetByPeer;
}

StreamEnd ServerConnection::endOfLost(const Http2Stream &) {
  return m_Stopping ? StreamEnd::Cancelled : StreamEnd::ConnectionLost;
}

void ServerConnection::onStreamGone() { --m_Shared->OpenStreams; }

void ServerConnection::drain() {
  if (closed() || std::exchange(m_Draining, true))
    return;
  nghttp2_submit_shutdown_notice(session());
  nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, DrainPing);
  flushSoon();
}

void ServerConnection::watchSenders() {
  if (closed())
    return;
  auto Now = LoopClock::now();
  auto Timeout = m_Shared->Options.FirstMessageTimeout;
  // The heartbeat does not notice a peer that sends a byte now and then, or
  // one that answers PINGs and never completes a message: each would hold a
  // descriptor, a session and a buffer for ever.
  if (!m_SettingsSeen && Now - m_Accepted >= Timeout)
    return close();
  bool Slow = false;
  forEachStream([&](Http2Stream &Each) {
    bool Waits = Each.insideMessage() || !Each.GotMessage;
    if (Each.ended() || Each.PeerEnded || !Waits ||
        Now - Each.IncompleteSince < Timeout)
      return;
    Slow = true;
    resetStream(Each, NGHTTP2_ENHANCE_YOUR_CALM);
  });
  if (Slow && m_Messages == 0)
    return close();
  loop()->after(
      std::max<LoopClock::duration>(Timeout / 4, std::chrono::milliseconds(1)),
      [Weak = weak_from_this()] {
        if (auto Self = Weak.lock())
          static_cast<ServerConnection &>(*Self).watchSenders();
      });
}

} // namespace figlift::wire
