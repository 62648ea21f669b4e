//===- CallerConnection.cpp - HTTP/1.1 connection of a caller -------------===//
//
// At most one read and one write are outstanding. Pipelined requests wait in
// the parser until the response to the preceding request is complete. How a
// connection ends is in CallerConnectionClose.cpp.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/CallerConnection.h"

#include <boost/asio/write.hpp>

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace figlift::proxy {

namespace asio = boost::asio;

namespace {
/// Pipelined input beyond this limit is left in the kernel's receive buffer.
constexpr size_t MaximumPipelinedBytes = 65536;
/// A caller that still sends this much after its last response does not read
/// it.
constexpr size_t MaximumDiscardedBytes = 16 << 20;
/// A longer body is sent by itself, without a copy behind its head.
constexpr size_t MaximumCopiedBytes = 65536;
} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket Socket,
                                   RequestHandler &Handler)
    : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
      m_Handler(Handler), m_Limits(Handler.limits()), m_Parser(m_Limits.Bounds),
      m_Memory(Handler.memory()) {}

void CallerConnection::start() {
  ErrorCode Ignored; // Without the option, small writes are only delayed.
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_OpenedAt = std::chrono::steady_clock::now();
  armTimer(m_Limits.IdleTimeout);
  read();
}

void CallerConnection::read() {
  if (m_Reading || m_Closed || m_InputEnded)
    return;
  if (m_Request && m_Parser.bufferedBytes() > MaximumPipelinedBytes)
    return;
  m_Reading = true;
  m_Socket.async_read_some(
      asio::buffer(m_Buffer),
      [Self = shared_from_this()](const ErrorCode &Code, size_t Count) {
        Self->m_Reading = false;
        Self->guard([&] { Self->onReceived(Code, Count); });
      });
}

void CallerConnection::onReceived(const ErrorCode &Code, size_t Count) {
  if (m_Closed)
    return;
  const bool WasChecking = std::exchange(m_CheckingInput, false);
  if (WasChecking && Code == asio::error::operation_aborted)
    return inputChecked();
  if (Code == asio::error::eof && !m_HasFailed)
    return onInputEnded();
  if (Code)
    return close(CloseReason::Failed);
  if (m_Lingering) {
    m_DiscardedBytes += Count;
    if (m_DiscardedBytes > MaximumDiscardedBytes)
      return close(CloseReason::Announced);
  } else {
    adoptLimits();
    m_Parser.feed({m_Buffer.data(), Count});
    if (!m_Memory.resize(heldBytes())) {
      if (!m_Request)
        return rejectInput(503);
      m_Memory.set(heldBytes());
    }
    if (!m_Request)
      advance();
  }
  if (WasChecking)
    rejectIfHeadOverdue();
  read();
}

/// Answers that are complete are delivered in any case.
void CallerConnection::onInputEnded() {
  m_InputEnded = true;
  if (const auto Active = m_Request; Active && Active->callerEndedInput())
    return;
  if (m_Closed)
    return;
  if (m_Lingering || m_Request || unsentBytes() == 0)
    return close(m_Lingering ? CloseReason::Announced
                             : CloseReason::CallerEnded);
}

/// A request that has begun keeps the limits of its first byte.
void CallerConnection::adoptLimits() {
  if (m_Parser.state() != RequestParser::State::Idle)
    return;
  m_Limits = m_Handler.limits();
  m_Parser.setBounds(m_Limits.Bounds);
}

void CallerConnection::limitsChanged() {
  if (m_Request || m_Lingering || m_Closed ||
      m_Parser.state() != RequestParser::State::Idle)
    return;
  adoptLimits();
  m_Deadline = m_TimeoutBegan + m_Limits.IdleTimeout;
  if (m_TimerRunning && m_Timer.expiry() > m_Deadline)
    startTimer();
}

void CallerConnection::advance() {
  using State = RequestParser::State;
  switch (m_Parser.state()) {
  case State::Complete:
    return dispatchRequest();
  case State::Failed:
    return rejectInput(m_Parser.failureStatus());
  case State::Head:
    if (!std::exchange(m_HeadStarted, true))
      armTimer(m_Limits.HeadTimeout);
    return;
  case State::Body:
    if (m_Parser.expectsContinue() && !std::exchange(m_ContinueSent, true))
      write("HTTP/1.1 100 Continue\r\n\r\n");
    return armTimer(m_Limits.IdleTimeout);
  case State::Idle:
    return;
  }
}

void CallerConnection::dispatchRequest() {
  m_ReceivedRequest = true;
  m_HeadStarted = false;
  m_ContinueSent = false;
  Request Incoming = m_Parser.take();
  m_RequestBytes = Incoming.Body.capacity();
  m_Version = Incoming.Head.Version;
  if (Incoming.Head.Headers.containsToken("Connection", "close") ||
      (m_Version < 11 &&
       !Incoming.Head.Headers.containsToken("Connection", "keep-alive")))
    m_CloseAfterResponse = true;
  // The handler may respond before it returns. finishResponse() then runs from
  // the loop, after m_Request has been set here.
  m_CloseAnnounced = false;
  m_AnswerBegun = false;
  auto Active = m_Handler.handle(std::move(Incoming), shared_from_this());
  if (!m_Closed)
    m_Request = std::move(Active);
}

void CallerConnection::rejectInput(unsigned Status) {
  const ErrorResponse Response = m_Handler.rejected(Status);
  m_CloseAfterResponse = true;
  // After malformed input the start of the next request is unknown.
  m_Lingering = true;
  m_Parser.discard();
  respond(Response.Head, Response.Body);
}

std::string CallerConnection::serializeHead(const ResponseHead &Head,
                                            std::string_view Framing) {
  std::string Text =
      fmt::format("HTTP/1.1 {} {}\r\n", Head.Status,
                  Head.Reason.empty() ? reasonPhrase(Head.Status)
                                      : std::string_view(Head.Reason));
  for (const HeaderField &Field : Head.Headers)
    if (!equalsIgnoreCase(Field.Name, "Content-Length"))
      Text += fmt::format("{}: {}\r\n", Field.Name, Field.Value);
  Text += Framing;
  m_AnswerBegun = true;
  if (m_CloseAfterResponse) {
    Text += "Connection: close\r\n";
    m_CloseAnnounced = true;
  } else if (m_Version < 11) {
    Text += "Connection: keep-alive\r\n";
  }
  Text += "\r\n";
  return Text;
}

void CallerConnection::respond(const ResponseHead &Head, std::string Body) {
  if (m_Closed)
    return;
  std::string Text =
      serializeHead(Head, fmt::format("Content-Length: {}\r\n", Body.size()));
  if (Body.size() <= MaximumCopiedBytes) {
    Text += Body;
    write(std::move(Text));
  } else {
    write(std::move(Text));
    write(std::move(Body));
  }
  finishResponse();
}

void CallerConnection::beginStream(const ResponseHead &Head,
                                   BodyFraming Framing) {
  if (m_Closed)
    return;
  m_Chunked = Framing == BodyFraming::Chunks;
  if (!m_Chunked) {
    m_CloseAfterResponse = true;
    resetOnClose(true);
  }
  write(serializeHead(Head, m_Chunked ? "Transfer-Encoding: chunked\r\n" : ""));
}

void CallerConnection::writeStream(std::string_view Bytes) {
  if (m_Closed || Bytes.empty())
    return;
  if (!m_Chunked)
    return write(std::string(Bytes));
  write(fmt::format("{:x}\r\n{}\r\n", Bytes.size(), Bytes));
}

void CallerConnection::endStream() {
  if (m_Closed)
    return;
  if (m_Chunked)
    write("0\r\n\r\n");
  finishResponse();
}

void CallerConnection::finishResponse() {
  // Posted to the loop: the code that wrote the response may still be on the
  // stack, and each pipelined request would add another level of recursion.
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    Self->guard([&] { Self->responseFinished(); });
  });
}

void CallerConnection::responseFinished() {
  if (m_Closed)
    return;
  m_Request = nullptr;
  m_RequestBytes = 0;
  m_Memory.set(heldBytes());
  if (m_CloseAnnounced)
    return closeGracefully();
  adoptLimits();
  armTimer(m_Limits.IdleTimeout);
  m_Parser.resume();
  advance();
  read();
  if (m_InputEnded && !m_Request && unsentBytes() == 0)
    close(CloseReason::CallerEnded);
}

void CallerConnection::write(std::string Bytes) {
  m_LastUndeliveredBytes.reset();
  if (m_Pending.empty())
    m_Pending = std::move(Bytes);
  else
    m_Pending += Bytes;
  m_Memory.set(heldBytes());
  if (m_Writing.empty())
    flush();
}

void CallerConnection::flush() {
  m_Writing = std::exchange(m_Pending, {});
  asio::async_write(
      m_Socket, asio::buffer(m_Writing),
      [this](const ErrorCode &Code, size_t Count) {
        m_WritingSent = Count;
        return asio::transfer_all()(Code, Count);
      },
      [Self = shared_from_this()](const ErrorCode &Code, size_t) {
        Self->guard([&] { Self->onWritten(Code); });
      });
}

void CallerConnection::onWritten(const ErrorCode &Code) {
  // An idle connection keeps no memory of its last answer. Neither clear() nor
  // the assignment of an empty string releases it.
  std::string().swap(m_Writing);
  m_WritingSent = 0;
  m_Memory.set(heldBytes());
  if (m_Closed)
    return;
  if (Code)
    return close(CloseReason::Failed);
  if (!m_Pending.empty())
    return flush();
  if (m_Lingering)
    return closeGracefully();
  if (m_InputEnded && !m_Request)
    return close(CloseReason::CallerEnded);
  if (const auto Active = m_Request)
    Active->callerWritable();
}

} // namespace figlift::proxy
