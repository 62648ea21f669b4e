//===- ClientConnection.cpp - One connection of a channel -----------------===//
//
// Opens streams and determines, when one ends, whether the peer may have
// processed it.
//
//===----------------------------------------------------------------------===//

#include "LibWire/ClientConnection.h"
#include "LibWire/MethodPath.h"
#include "LibWire/Socket.h"

#include <sys/epoll.h>
#include <unistd.h>

namespace figlift::wire {

namespace {
constexpr size_t HeaderBytesPerResponse = 8u << 10;
/// Stream ids end at 2^31; the connection is replaced well before that.
constexpr int32_t MaximumStreamId = 1 << 30;

nghttp2_nv header(std::string_view Name, std::string_view Value) {
  auto Raw = [](std::string_view Text) {
    return reinterpret_cast<uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Raw(Name), Raw(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE};
}
} // namespace

ClientConnection::ClientConnection(
    std::shared_ptr<Loop> Owner, int Socket, ConnectionOptions Options,
    std::shared_ptr<TrafficCounters> Counters,
    std::weak_ptr<ClientConnectionListener> Channel)
    : Connection(std::move(Owner), Socket, Options, std::move(Counters)),
      m_Channel(std::move(Channel)) {}

std::shared_ptr<ClientConnection> ClientConnection::start(
    const std::shared_ptr<Loop> &Owner, const Endpoint &Peer,
    std::chrono::milliseconds ConnectTimeout, ConnectionOptions Options,
    std::shared_ptr<TrafficCounters> Counters,
    std::weak_ptr<ClientConnectionListener> Channel) {
  auto Socket = startConnect(Peer);
  if (!Socket)
    return nullptr;
  std::shared_ptr<ClientConnection> Created(new ClientConnection(
      Owner, Socket.value(), Options, std::move(Counters), std::move(Channel)));
  if (!Owner->add(Socket.value(), EPOLLOUT, Created))
    return nullptr;
  Owner->after(ConnectTimeout,
               [Weak = std::weak_ptr<ClientConnection>(Created)] {
                 if (auto Self = Weak.lock(); Self && !Self->m_Up)
                   Self->close();
               });
  return Created;
}

void ClientConnection::onConnected() {
  if (m_TcpConnected || closed())
    return;
  if (!connectSucceeded(socket()) || !startSession(Side::Client, 0))
    return close();
  m_TcpConnected = true;
  loop()->modify(socket(), EPOLLIN);
  checkHeartbeat();
}

bool ClientConnection::open(const std::shared_ptr<Http2Stream> &NewStream,
                            Method RequestMethod) {
  if (!usable())
    return false;
  static constexpr std::string_view Authority = "figlift";
  const nghttp2_nv Headers[] = {header(":method", "POST"),
                                header(":scheme", "http"),
                                header(":authority", Authority),
                                header(":path", methodPath(RequestMethod))};
  auto Data = dataProvider(*NewStream);
  int32_t Id = nghttp2_submit_request(session(), nullptr, Headers,
                                      std::size(Headers), &Data, nullptr);
  if (Id < 0) {
    stopOpeningStreams();
    return false;
  }
  NewStream->CarriesRequest = carriesRequest(RequestMethod);
  addStream(NewStream, Id);
  flushSoon();
  if (Id >= MaximumStreamId)
    stopOpeningStreams();
  return true;
}

void ClientConnection::outputReady(Http2Stream &Stream) {
  if (!Stream.Deferred)
    return;
  Stream.Deferred = false;
  nghttp2_session_resume_data(session(), Stream.Id);
  flushSoon();
}

bool ClientConnection::onFrame(const nghttp2_frame &Frame) {
  switch (Frame.hd.type) {
  case NGHTTP2_SETTINGS:
    // A TCP connection alone is no proof of a live peer: the kernel also
    // accepts connections for a paused process.
    if (!m_Up && !(Frame.hd.flags & NGHTTP2_FLAG_ACK)) {
      m_Up = true;
      if (auto Owner = m_Channel.lock())
        Owner->onConnectionUp(*this);
    }
    return true;
  case NGHTTP2_GOAWAY:
    markGoingAway();
    return true;
  case NGHTTP2_HEADERS:
    m_HeaderBytes = 0;
    [[fallthrough]];
  case NGHTTP2_DATA:
    if (Frame.hd.flags & NGHTTP2_FLAG_END_STREAM)
      onPeerEnd(Frame.hd.stream_id);
    return true;
  default:
    return true;
  }
}

void ClientConnection::stopOpeningStreams() {
  // Once this side has sent GOAWAY, the connection closes after its last
  // stream.
  nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR,
                        nullptr, 0);
  markGoingAway();
}

void ClientConnection::markGoingAway() {
  if (std::exchange(m_GoingAway, true))
    return;
  flushSoon();
  if (auto Owner = m_Channel.lock())
    Owner->onConnectionGoingAway(*this);
}

void ClientConnection::onPeerEnd(int32_t Id) {
  auto Stream = findStream(Id);
  if (!Stream || Stream->ended())
    return;
  // END_STREAM inside a message means that the message is truncated.
  if (Stream->hasPartialMessage()) {
    resetStream(*Stream, NGHTTP2_PROTOCOL_ERROR);
    return;
  }
  Stream->FinishRequested = true;
  Stream->end(StreamEnd::Finished);
  outputReady(*Stream);
}

bool ClientConnection::onHeader(const nghttp2_frame &, std::string_view Name,
                                std::string_view Value) {
  m_HeaderBytes += Name.size() + Value.size();
  return m_HeaderBytes <= HeaderBytesPerResponse;
}

StreamEnd ClientConnection::closedStreamOutcome(const Http2Stream &Stream,
                                                uint32_t Code) {
  if (Code == NGHTTP2_NO_ERROR)
    return Stream.hasPartialMessage() ? StreamEnd::ResetByPeer
                                      : StreamEnd::Finished;
  if (Code != NGHTTP2_REFUSED_STREAM || Stream.ReceivedMessage)
    return StreamEnd::ResetByPeer;
  return Stream.HeadersOffset == std::numeric_limits<uint64_t>::max()
             ? StreamEnd::NeverSent
             : StreamEnd::ProvablyNotProcessed;
}

StreamEnd ClientConnection::lostStreamOutcome(const Http2Stream &Stream) {
  // HEADERS that start beyond the bytes accepted by the kernel never left the
  // process.
  if (Stream.HeadersOffset >= m_WrittenBytes)
    return StreamEnd::NeverSent;
  return m_Cancelling || m_Stopping ? StreamEnd::Cancelled
                                    : StreamEnd::ConnectionLost;
}

void ClientConnection::cancelAll() {
  m_Cancelling = true;
  forEachStream([this](Http2Stream &Stream) {
    if (!Stream.ended())
      resetStream(Stream, NGHTTP2_CANCEL);
  });
  flush();
  close();
}

void ClientConnection::onClosed() {
  if (auto Owner = m_Channel.lock())
    Owner->onConnectionClosed(*this);
}

} // namespace figlift::wire
