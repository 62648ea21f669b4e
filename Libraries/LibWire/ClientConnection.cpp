//===- ClientConnection.cpp - One connection of a channel -----------------===//
//
// Opens streams and judges, when one ends, what the peer can have seen of it.
//
//===----------------------------------------------------------------------===//

#include "LibWire/ClientConnection.h"
#include "LibWire/MethodPath.h"
#include "LibWire/Socket.h"

#include <sys/epoll.h>
#include <unistd.h>

namespace figlift::wire {

namespace {
constexpr size_t HeaderBytesPerAnswer = 8u << 10;
/// Ids run up to 2^31; a connection is replaced well before.
constexpr int32_t LastUsedStreamId = 1 << 30;

nghttp2_nv header(std::string_view Name, std::string_view Value) {
  auto Raw = [](std::string_view Text) {
    return reinterpret_cast<uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Raw(Name), Raw(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE};
}
} // namespace

ClientConnection::ClientConnection(std::shared_ptr<Loop> Owner, int Socket,
                                   ConnectionOptions Options,
                                   std::shared_ptr<Traffic> Counter,
                                   std::weak_ptr<ConnectionOwner> Channel)
    : Connection(std::move(Owner), Socket, Options, std::move(Counter)),
      m_Channel(std::move(Channel)) {}

std::shared_ptr<ClientConnection> ClientConnection::start(
    const std::shared_ptr<Loop> &Owner, const Endpoint &Peer,
    std::chrono::milliseconds ConnectTimeout, ConnectionOptions Options,
    std::shared_ptr<Traffic> Counter, std::weak_ptr<ConnectionOwner> Channel) {
  auto Socket = startConnect(Peer);
  if (!Socket)
    return nullptr;
  std::shared_ptr<ClientConnection> Made(new ClientConnection(
      Owner, Socket.value(), Options, std::move(Counter), std::move(Channel)));
  if (!Owner->add(Socket.value(), EPOLLOUT, Made))
    return nullptr;
  Owner->after(ConnectTimeout, [Weak = std::weak_ptr<ClientConnection>(Made)] {
    if (auto Self = Weak.lock(); Self && !Self->m_Up)
      Self->close();
  });
  return Made;
}

void ClientConnection::onConnected() {
  if (m_TcpUp || closed())
    return;
  if (!connectSucceeded(socket()) || !startSession(Side::Client, 0))
    return close();
  m_TcpUp = true;
  loop()->modify(socket(), EPOLLIN);
  watchHeartbeat();
}

bool ClientConnection::open(const std::shared_ptr<Http2Stream> &Added,
                            Method What) {
  if (!usable())
    return false;
  static constexpr std::string_view Authority = "figlift";
  const nghttp2_nv Headers[] = {
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", Authority), header(":path", pathOf(What))};
  auto Data = dataOf(*Added);
  int32_t Id = nghttp2_submit_request(session(), nullptr, Headers,
                                      std::size(Headers), &Data, nullptr);
  if (Id < 0) {
    retire();
    return false;
  }
  Added->CarriesRequest = carriesRequest(What);
  addStream(Added, Id);
  flushSoon();
  if (Id >= LastUsedStreamId)
    retire();
  return true;
}

void ClientConnection::outputReady(Http2Stream &Which) {
  if (!Which.Deferred)
    return;
  Which.Deferred = false;
  nghttp2_session_resume_data(session(), Which.Id);
  flushSoon();
}

bool ClientConnection::onFrame(const nghttp2_frame &Frame) {
  switch (Frame.hd.type) {
  case NGHTTP2_SETTINGS:
    // TCP alone proves nothing: the kernel accepts for a paused process, too.
    if (!m_Up && !(Frame.hd.flags & NGHTTP2_FLAG_ACK)) {
      m_Up = true;
      if (auto Owner = m_Channel.lock())
        Owner->onUp(*this);
    }
    return true;
  case NGHTTP2_GOAWAY:
    goAway();
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

void ClientConnection::retire() {
  // With a GOAWAY of our own the connection closes after its last stream.
  nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR,
                        nullptr, 0);
  goAway();
}

void ClientConnection::goAway() {
  if (std::exchange(m_GoingAway, true))
    return;
  flushSoon();
  if (auto Owner = m_Channel.lock())
    Owner->onGoingAway(*this);
}

void ClientConnection::onPeerEnd(int32_t Id) {
  auto Ended = findStream(Id);
  if (!Ended || Ended->ended())
    return;
  // An end inside a message is no good end: the rest is missing.
  if (Ended->insideMessage()) {
    resetStream(*Ended, NGHTTP2_PROTOCOL_ERROR);
    return;
  }
  Ended->FinishWanted = true;
  Ended->end(StreamEnd::Finished);
  outputReady(*Ended);
}

bool ClientConnection::onHeader(const nghttp2_frame &, std::string_view Name,
                                std::string_view Value) {
  m_HeaderBytes += Name.size() + Value.size();
  return m_HeaderBytes <= HeaderBytesPerAnswer;
}

StreamEnd ClientConnection::endOf(const Http2Stream &Which, uint32_t Code) {
  if (Code == NGHTTP2_NO_ERROR)
    return Which.insideMessage() ? StreamEnd::ResetByPeer : StreamEnd::Finished;
  if (Code != NGHTTP2_REFUSED_STREAM || Which.GotMessage)
    return StreamEnd::ResetByPeer;
  return Which.HeadersAt == std::numeric_limits<uint64_t>::max()
             ? StreamEnd::NeverSent
             : StreamEnd::ProvablyNotProcessed;
}

StreamEnd ClientConnection::endOfLost(const Http2Stream &Which) {
  // HEADERS that begin behind what the kernel took never left the process.
  if (Which.HeadersAt >= m_Written)
    return StreamEnd::NeverSent;
  return m_Cancelling || m_Stopping ? StreamEnd::Cancelled
                                    : StreamEnd::ConnectionLost;
}

void ClientConnection::cancelAll() {
  m_Cancelling = true;
  forEachStream([this](Http2Stream &Each) {
    if (!Each.ended())
      resetStream(Each, NGHTTP2_CANCEL);
  });
  flush();
  close();
}

void ClientConnection::onClosed() {
  if (auto Owner = m_Channel.lock())
    Owner->onGone(*this);
}

} // namespace figlift::wire
