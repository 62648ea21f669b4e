//===- CallerConnectionClose.cpp - End of a caller's connection -----------===//
//
// Time-outs, and closes that neither drop a request that has arrived nor an
// answer that the caller has not received.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/CallerConnection.h"

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace figlift::proxy {

namespace asio = boost::asio;

namespace {
/// Time for the caller to receive the last response and close the connection.
constexpr std::chrono::milliseconds LingerTimeout{2000};
/// A caller sends its first request right after connecting, but a slow link or
/// a busy process can delay its arrival. An idle close waits this long for it.
constexpr std::chrono::milliseconds FirstRequestGrace{1000};
} // namespace

std::string_view describe(CloseReason Reason) {
  switch (Reason) {
  case CloseReason::None:
    return "open";
  case CloseReason::CallerEnded:
    return "caller ended its input";
  case CloseReason::Failed:
    return "failed";
  case CloseReason::Idle:
    return "idle";
  case CloseReason::Announced:
    return "announced";
  case CloseReason::Aborted:
    return "aborted";
  case CloseReason::ProcessExit:
    return "process exit";
  }
  return {};
}

void CallerConnection::closeGracefully() {
  m_Lingering = true;
  armTimer(LingerTimeout);
  if (!m_Writing.empty() || !m_Pending.empty())
    return;
  resetOnClose(false);
  endOutput();
  if (m_InputEnded)
    return close(CloseReason::Announced);
  read();
}

/// The end of the connection would make a response without chunks look
/// complete. A reset does not, and the kernel sends it also if the process is
/// killed.
void CallerConnection::resetOnClose(bool Reset) {
  ErrorCode Ignored; // The caller may have closed the connection already.
  m_Socket.set_option(asio::socket_base::linger(Reset, 0), Ignored);
}

void CallerConnection::endOutput() {
  ErrorCode Ignored; // The caller may have closed the connection already.
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  m_OutputEnded = true;
}

/// The end of the output counts as one byte in the kernel's queue.
size_t CallerConnection::undeliveredBytes() {
  int Queued = 0;
  if (ioctl(m_Socket.native_handle(), SIOCOUTQ, &Queued) != 0)
    return 0; // Not connected any more.
  const int End = m_OutputEnded ? 1 : 0;
  return Queued > End ? static_cast<size_t>(Queued - End) : 0;
}

/// A close with unread input resets the connection, and the kernel then
/// discards what the caller has not acknowledged, also of answers that were
/// complete long before.
void CallerConnection::discardUnreadInput(size_t Count) {
  ErrorCode Code;
  m_Socket.non_blocking(true, Code);
  while (!Code && Count > 0)
    Count -= m_Socket.read_some(
        asio::buffer(m_Buffer.data(), std::min(Count, m_Buffer.size())), Code);
}

bool CallerConnection::isIdle() const {
  return !m_Request && !m_Lingering && !m_Closed && unsentBytes() == 0 &&
         m_Parser.state() == RequestParser::State::Idle;
}

/// When the process is behind schedule, a request may have arrived that has not
/// been read yet. Closing such a connection as idle would drop the request
/// without a response, a few hundred milliseconds after it was sent. The
/// input is therefore checked first.
void CallerConnection::closeIfIdle() {
  const auto Age = std::chrono::steady_clock::now() - m_OpenedAt;
  if (isIdle() && (m_ReceivedRequest || Age >= FirstRequestGrace))
    checkInput();
}

/// Cancels the pending read, whose handler goes on with inputChecked() or with
/// what has arrived.
void CallerConnection::checkInput() {
  if (m_CheckingInput)
    return;
  if (!m_Reading)
    return inputChecked();
  m_CheckingInput = true;
  ErrorCode Ignored; // On failure the read and the connection stay as they are.
  m_Socket.cancel(Ignored);
}

/// The canceled read delivered nothing, but input may have arrived since.
void CallerConnection::inputChecked() {
  ErrorCode Code;
  m_Socket.non_blocking(true, Code);
  const size_t Count =
      Code ? 0 : m_Socket.read_some(asio::buffer(m_Buffer), Code);
  if (Code != asio::error::would_block) {
    // Go on as if it had arrived while the pending read was canceled.
    m_CheckingInput = true;
    return onReceived(Code, Count);
  }
  if (isIdle())
    return closeWithoutReading();
  rejectInput(408);
}

/// The input that was read in the end did not complete the head.
void CallerConnection::rejectIfHeadOverdue() {
  if (!m_Closed && !m_Request && !m_Lingering &&
      m_Parser.state() == RequestParser::State::Head &&
      std::chrono::steady_clock::now() >= m_Deadline)
    rejectInput(408);
}

/// A request that arrives while the connection is closing cannot be answered.
/// If it were read and discarded, its caller would wait for the end of the
/// connection, on a congested link for hundreds of milliseconds. Left unread,
/// it makes the kernel reset the connection, which the caller sees at once.
/// While answers are on their way to the caller, they come first.
void CallerConnection::closeWithoutReading() {
  m_Lingering = true;
  armTimer(LingerTimeout);
  endOutput();
  m_Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](const ErrorCode &) {
                        Self->guard([&] {
                          if (Self->m_Closed)
                            return;
                          if (Self->undeliveredBytes() > 0)
                            return Self->read();
                          Self->close(CloseReason::Idle);
                        });
                      });
}

void CallerConnection::abort() { close(CloseReason::Aborted); }

bool CallerConnection::hasCallerLeft() {
  char Next = 0;
  const ssize_t Count =
      recv(m_Socket.native_handle(), &Next, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count < 0 && errno != EAGAIN && errno != EINTR)
    m_HasFailed = true;
  return Count == 0 || m_HasFailed;
}

void CallerConnection::closeForExit() {
  if (const auto Active = m_Request)
    Active->processExiting();
  close(CloseReason::ProcessExit);
}

void CallerConnection::close(CloseReason Reason) {
  if (std::exchange(m_Closed, true))
    return;
  m_Timer.cancel();
  ErrorCode Ignored; // The socket is discarded in any case.
  m_CloseReport = {Reason,        m_Request != nullptr,
                   m_AnswerBegun, m_Parser.bufferedBytes(),
                   unsentBytes(), m_Socket.available(Ignored)};
  if (m_CloseReport.UnreadBytes > 0 && undeliveredBytes() > 0)
    discardUnreadInput(m_CloseReport.UnreadBytes);
  m_Socket.close(Ignored);
  // Handlers keep pointers to connections until closed().
  if (const auto Active = std::exchange(m_Request, nullptr))
    log::guarded("end of a caller's connection", {},
                 [&] { Active->callerDisconnected(); });
  m_Handler.closed(*this);
}

void CallerConnection::armTimer(std::chrono::milliseconds Timeout) {
  m_TimeoutBegan = std::chrono::steady_clock::now();
  m_Deadline = m_TimeoutBegan + Timeout;
  // A running timer is not restarted for a later deadline: when it fires, its
  // handler compares the time with m_Deadline and waits again.
  if (!m_TimerRunning || m_Timer.expiry() > m_Deadline)
    startTimer();
}

void CallerConnection::startTimer() {
  m_TimerRunning = true;
  m_Timer.expires_at(m_Deadline);
  m_Timer.async_wait([Self = shared_from_this()](const ErrorCode &Cancelled) {
    if (Cancelled || Self->m_Closed)
      return;
    Self->m_TimerRunning = false;
    Self->guard([&] {
      if (std::chrono::steady_clock::now() < Self->m_Deadline)
        Self->startTimer();
      else
        Self->timedOut();
    });
  });
}

/// Whether the number of undelivered bytes has fallen since the last call. A
/// slow caller is not idle: a timeout that counted from the moment at which the
/// response was queued would cut off a large response that the caller is still
/// receiving.
bool CallerConnection::callerMadeProgress() {
  const size_t Undelivered = unsentBytes() + undeliveredBytes();
  const bool Progress =
      Undelivered > 0 &&
      (!m_LastUndeliveredBytes || Undelivered < *m_LastUndeliveredBytes);
  m_LastUndeliveredBytes = Undelivered;
  return Progress;
}

void CallerConnection::timedOut() {
  // The active request has timeouts of its own.
  if (m_Request && !m_Lingering)
    return armTimer(m_Limits.IdleTimeout);
  if (callerMadeProgress())
    return armTimer(m_Lingering ? LingerTimeout : m_Limits.IdleTimeout);
  if (m_Lingering)
    return close(CloseReason::Announced);
  if (unsentBytes() > 0 && m_Parser.state() == RequestParser::State::Idle)
    return close(CloseReason::Idle);
  // After a pause of the process the timer may be due before the input that
  // arrived meanwhile has been read.
  checkInput();
}

} // namespace figlift::proxy
