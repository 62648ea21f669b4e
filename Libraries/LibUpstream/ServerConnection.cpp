//===- ServerConnection.cpp - HTTP/1.1 connection to a server -------------===//
//
// Pending callbacks keep the connection alive. abort() clears the sink first,
// so that no callback reaches a request that has ended.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/ServerConnection.h"

#include "LibLog/Guard.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace figlift::upstream {

namespace asio = boost::asio;

namespace {

/// A server that sends more between a request and its response does not answer
/// any more.
constexpr unsigned MaximumSkippedResponses = 8;
constexpr size_t MaximumSkippedBytes = 1 << 20;
/// Some servers close a connection within this time after a response, without
/// having announced it.
constexpr std::chrono::milliseconds CloseAfterResponse{10};
/// Others are served between two writes.
constexpr size_t MaximumBytesPerWrite = 1 << 16;

ConnectionId nextConnectionId() {
  static std::atomic<ConnectionId> Last = 0;
  return ++Last;
}

} // namespace

std::string_view describe(PeerEnd End) {
  switch (End) {
  case PeerEnd::None:
    return "none";
  case PeerEnd::InOrder:
    return "in order";
  case PeerEnd::Error:
    return "error";
  }
  return "unknown";
}

ServerConnection::ServerConnection(asio::io_context &Loop, Endpoint Peer,
                                   ConnectionTimeouts Timeouts,
                                   std::shared_ptr<ServerLiveness> Liveness)
    : m_Loop(Loop), m_Socket(Loop), m_Timer(Loop), m_Peer(std::move(Peer)),
      m_PeerName(m_Peer.toString()), m_Timeouts(Timeouts),
      m_Liveness(std::move(Liveness)), m_Id(nextConnectionId()) {}

ServerConnection::~ServerConnection() { m_Liveness->connectionClosed(m_Id); }

void ServerConnection::exchange(std::string Bytes, bool ExpectBody,
                                std::shared_ptr<ExchangeSink> Sink,
                                SharedBody Body) {
  ++m_Exchanges;
  m_Outgoing = std::move(Bytes);
  m_OutgoingBody = std::move(Body);
  m_Sink = std::move(Sink);
  m_RequestWritten = false;
  m_HeadReported = false;
  m_HasCompleted = false;
  m_Skipping = false;
  m_SkippedResponses = 0;
  m_SkippedBytes = 0;
  m_ExpectBody = ExpectBody;
  m_Parser = proxy::ResponseParser(ExpectBody);
  if (m_State == State::Idle) {
    m_State = State::Busy;
    return write();
  }
  connect();
}

template <typename Function> void ServerConnection::guard(Function Work) {
  const uint64_t Exchange = m_Exchanges;
  // A sink may start the next exchange in onEnd(), which goes on then.
  if (log::guarded("response", m_PeerName, Work) || m_Exchanges != Exchange)
    return;
  const bool IsSent = m_State != State::Connecting;
  log::guarded("end of an exchange", m_PeerName, [&] {
    endExchange(IsSent ? ExchangeOutcome::Interrupted
                       : ExchangeOutcome::NotSent);
  });
}

void ServerConnection::connect() {
  m_State = State::Connecting;
  ErrorCode Code;
  const auto Address = asio::ip::make_address_v4(m_Peer.Address, Code);
  if (!Code)
    m_Socket.open(asio::ip::tcp::v4(), Code);
  if (!Code)
    m_Socket.non_blocking(true, Code);
  if (Code) {
    // Posted to the loop: the sink must not be called within exchange().
    asio::post(m_Loop, [Self = shared_from_this()] {
      if (Self->m_State == State::Connecting)
        Self->guard([&] { Self->endExchange(ExchangeOutcome::NotSent); });
    });
    return;
  }
  setSocketOptions();
  m_Timer.expires_after(m_Timeouts.Connect);
  m_Timer.async_wait([Self = shared_from_this()](const ErrorCode &Cancelled) {
    if (!Cancelled && Self->m_State == State::Connecting)
      Self->guard([&] { Self->endExchange(ExchangeOutcome::NotSent); });
  });
  m_Socket.async_connect({Address, m_Peer.Port},
                         [Self = shared_from_this()](const ErrorCode &Result) {
                           Self->guard([&] { Self->onConnected(Result); });
                         });
}

void ServerConnection::setSocketOptions() {
  ErrorCode Ignored; // The defaults work too, with slower failure detection.
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  const int Handle = m_Socket.native_handle();
  const int Milliseconds = static_cast<int>(m_Timeouts.Unacknowledged.count());
  const int ProbeSeconds = 1;
  const int Probes = 2;
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds,
             sizeof(Milliseconds));
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeSeconds,
             sizeof(ProbeSeconds));
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds,
             sizeof(ProbeSeconds));
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
}

void ServerConnection::onConnected(const ErrorCode &Code) {
  m_Timer.cancel();
  if (m_State != State::Connecting)
    return;
  if (Code)
    return endExchange(ExchangeOutcome::NotSent);
  if (!m_Sink->maySend())
    return endExchange(ExchangeOutcome::NotSent);
  m_State = State::Busy;
  m_EstablishedAt = BootClock::now();
  m_Liveness->connectionOpened(*this);
  read();
  write();
}

/// Errors of a write are recorded in the call that meets them. The handler of
/// an asynchronous write may run after that of a read which finds the
/// connection ended because of the same error.
void ServerConnection::write() {
  if (m_State == State::Closed)
    return;
  ErrorCode Code;
  m_Written += m_Socket.write_some(unwritten(), Code);
  if (Code && Code != asio::error::would_block)
    // The exchange ends with the read, after the server's last bytes.
    return recordError(Code);
  if (asio::buffer_size(unwritten()) == 0) {
    m_RequestWritten = true;
    return releaseRequest();
  }
  m_Socket.async_wait(
      asio::ip::tcp::socket::wait_write,
      [Self = shared_from_this()](const ErrorCode &) { Self->write(); });
}

/// The next part of the request.
ServerConnection::RequestParts ServerConnection::unwritten() const {
  const asio::const_buffer Head = asio::buffer(m_Outgoing);
  const asio::const_buffer Body =
      m_OutgoingBody ? asio::buffer(*m_OutgoingBody) : asio::const_buffer();
  const size_t WrittenOfBody = m_Written - std::min(m_Written, Head.size());
  return {Head + m_Written,
          asio::buffer(Body + WrittenOfBody, MaximumBytesPerWrite)};
}

void ServerConnection::releaseRequest() {
  std::string().swap(m_Outgoing);
  m_OutgoingBody = nullptr;
  m_Written = 0;
}

void ServerConnection::read() {
  m_Socket.async_read_some(
      asio::buffer(m_Buffer),
      [Self = shared_from_this()](const ErrorCode &Code, size_t Count) {
        Self->onReceived(Code, Count);
      });
}

void ServerConnection::onReceived(const ErrorCode &Code, size_t Count) {
  if (m_State == State::Closed)
    return;
  const bool EndOfInput = Code == asio::error::eof && !m_HasFailed;
  if (Code)
    m_PeerEnd = EndOfInput ? PeerEnd::InOrder : PeerEnd::Error;
  if (!Code && m_BehindSince && !isReadable())
    m_BehindSince.reset();
  if (m_State != State::Busy) {
    // Idle: the server closed the connection or sent unsolicited bytes.
    if (EndOfInput && BootClock::now() - m_IdleSince >= CloseAfterResponse)
      m_Liveness->connectionLost(m_Id, m_EstablishedAt);
    return close();
  }
  guard([&] {
    processInput({m_Buffer.data(), Count}, EndOfInput, Code && !EndOfInput);
  });
  if (EndOfInput && !m_HasCompleted && !m_IsServerBeingChecked)
    m_Liveness->connectionLost(m_Id, m_EstablishedAt);
  if (m_State == State::Closed || Code)
    return;
  if (m_State == State::Busy && m_Sink && !m_Sink->wantsMore()) {
    m_ReadPaused = true;
    m_BehindSince = openAt();
    return;
  }
  read();
}

void ServerConnection::resumeReading() {
  if (!std::exchange(m_ReadPaused, false) || m_State == State::Closed)
    return;
  read();
}

bool ServerConnection::hasUnreadInput() {
  if (m_IsServerBeingChecked)
    return true;
  return m_State == State::Busy && !m_ReadPaused && isReadable();
}

bool ServerConnection::isReadable() {
  char Next = 0;
  const ssize_t Count =
      recv(m_Socket.native_handle(), &Next, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count >= 0)
    return true;
  if (errno == EAGAIN || errno == EINTR)
    return false;
  recordError({errno, boost::system::system_category()});
  return true;
}

/// Finds an end behind unread bytes, and takes no error away from the read.
bool ServerConnection::hasPeerEnded() {
  if (m_PeerEnd != PeerEnd::None || m_State == State::Closed)
    return true;
  constexpr short Ends = POLLRDHUP | POLLHUP | POLLERR;
  pollfd Polled{m_Socket.native_handle(), POLLRDHUP, 0};
  return poll(&Polled, 1, 0) > 0 && (Polled.revents & Ends) != 0;
}

/// The kernel reports an error once, to whichever call comes first. A read
/// after that returns 0, as at the end of input.
void ServerConnection::recordError(const ErrorCode &Code) {
  // EPIPE: a reset followed the end of input, and does not take it back.
  if (Code && Code != asio::error::broken_pipe)
    m_HasFailed = true;
}

void ServerConnection::processInput(std::string_view Bytes, bool EndOfInput,
                                    bool Failed) {
  using ParserState = proxy::ResponseParser::State;
  ParserState Progress = m_Parser.feed(Bytes);
  if (EndOfInput)
    Progress = m_Parser.finish();
  if (!skipOthers(Progress))
    return endExchange(ExchangeOutcome::Interrupted);
  if (Progress == ParserState::Body || Progress == ParserState::Complete) {
    const auto Sink = m_Sink;
    if (!std::exchange(m_HeadReported, true))
      Sink->onHead(m_Parser.head());
    // The sink may have called abort().
    if (m_Sink != Sink)
      return;
    if (std::string Body = m_Parser.takeBody(); !Body.empty())
      Sink->onBody(std::move(Body));
    if (m_Sink != Sink)
      return;
  }
  if (Progress == ParserState::Complete)
    return completeExchange();
  if (Progress == ParserState::Failed || EndOfInput || Failed)
    endExchange(m_Parser.hasStarted() ? ExchangeOutcome::Interrupted
                                      : ExchangeOutcome::NoResponse);
}

/// Skips responses to other requests that have arrived, and sets \p Progress to
/// that of the response which follows. Returns false if there are too many.
bool ServerConnection::skipOthers(proxy::ResponseParser::State &Progress) {
  using ParserState = proxy::ResponseParser::State;
  while (!m_HeadReported &&
         (Progress == ParserState::Body || Progress == ParserState::Complete)) {
    if (!m_Skipping && !m_Sink->belongsToOther(m_Parser.head()))
      return true;
    if (!std::exchange(m_Skipping, true) &&
        ++m_SkippedResponses > MaximumSkippedResponses)
      return false;
    m_SkippedBytes += m_Parser.takeBody().size();
    if (m_SkippedBytes > MaximumSkippedBytes)
      return false;
    if (Progress == ParserState::Body) {
      Progress = ParserState::Head;
      return true;
    }
    m_Skipping = false;
    m_Parser.next();
    Progress = m_Parser.feed({});
  }
  return true;
}

void ServerConnection::completeExchange() {
  const bool EndedWithConnection =
      m_Parser.head().Framing == proxy::BodyFraming::ConnectionEnd;
  if (EndedWithConnection && !m_Sink->isWholeByContent())
    return checkServer();
  m_HasCompleted = true;
  recordIdleTimeout(m_Parser.head().Headers);
  const bool Reusable = m_RequestWritten && m_Parser.keepsAlive();
  const auto Sink = std::exchange(m_Sink, nullptr);
  m_IdleSince = BootClock::now();
  m_State = State::Idle;
  if (!Reusable)
    close();
  else if (m_StateListener)
    m_StateListener(*this);
  Sink->onEnd(ExchangeOutcome::Complete);
}

void ServerConnection::checkServer() {
  const AnswerEnd End{m_Id, openAt()};
  m_IsServerBeingChecked = true;
  close();
  // Whoever waits for the outcome holds this connection.
  m_Liveness->check(End,
                    [Held = weak_from_this()](const LivenessResult &Result) {
                      if (const auto Self = Held.lock())
                        Self->guard([&] { Self->serverChecked(Result); });
                    });
}

/// A time at which the connection had not ended, as far as is known.
BootTime ServerConnection::openAt() const {
  const BootTime Awake = m_Liveness->lastAwake();
  return std::min(m_BehindSince.value_or(Awake), Awake);
}

void ServerConnection::serverChecked(const LivenessResult &Result) {
  m_IsServerBeingChecked = false;
  // abort() may have been called meanwhile.
  if (!m_Sink)
    return;
  m_Sink->onServerChecked(Result);
  endExchange(Result.State == ServerState::Running
                  ? ExchangeOutcome::Complete
                  : ExchangeOutcome::Interrupted);
}

void ServerConnection::endExchange(ExchangeOutcome Outcome) {
  const auto Sink = std::exchange(m_Sink, nullptr);
  close();
  if (Sink)
    Sink->onEnd(Outcome);
}

void ServerConnection::abort() {
  m_Sink = nullptr;
  close();
}

void ServerConnection::abandon() {
  if (m_State == State::Busy && !m_HeadReported)
    reportArrivedHead();
  abort();
}

void ServerConnection::reportArrivedHead() {
  using ParserState = proxy::ResponseParser::State;
  ErrorCode Code;
  if (m_Socket.available(Code) == 0 || Code)
    return;
  std::array<char, 8192> Buffer;
  const size_t Count = m_Socket.read_some(asio::buffer(Buffer), Code);
  if (Code)
    return;
  const ParserState Progress = m_Parser.feed({Buffer.data(), Count});
  if ((Progress == ParserState::Body || Progress == ParserState::Complete) &&
      !m_Skipping && !m_Sink->belongsToOther(m_Parser.head())) {
    m_HeadReported = true;
    m_Sink->onHead(m_Parser.head());
  }
}

void ServerConnection::close() {
  if (std::exchange(m_State, State::Closed) == State::Closed)
    return;
  m_Liveness->connectionClosed(m_Id);
  m_Timer.cancel();
  releaseRequest();
  ErrorCode Ignored; // The socket is discarded in any case.
  m_Socket.close(Ignored);
  if (m_StateListener)
    m_StateListener(*this);
}

void ServerConnection::recordIdleTimeout(const proxy::HeaderList &Headers) {
  const auto Value = Headers.find("Keep-Alive");
  if (!Value)
    return;
  constexpr std::string_view Parameter = "timeout=";
  const size_t Position = Value->find(Parameter);
  if (Position == std::string_view::npos)
    return;
  unsigned Seconds = 0;
  const char *End = Value->data() + Value->size();
  const auto [Rest, Code] = std::from_chars(
      Value->data() + Position + Parameter.size(), End, Seconds);
  if (Code == std::errc{})
    m_IdleTimeout = std::chrono::seconds(Seconds);
}

} // namespace figlift::upstream
