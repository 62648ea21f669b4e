//===- ServerProbe.cpp - One attempt to connect to a server ---------------===//
//
// See ServerProbe.h.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/ServerProbe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace figlift::upstream {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

ProbeResult toResult(const ErrorCode &Code) {
  if (!Code)
    return ProbeResult::Accepted;
  if (Code == asio::error::connection_refused)
    return ProbeResult::Refused;
  if (Code == asio::error::connection_reset)
    return ProbeResult::Closed;
  return ProbeResult::NoAnswer;
}

class Probe : public std::enable_shared_from_this<Probe> {
public:
  Probe(asio::io_context &Loop, ProbeTimes Times,
        std::function<void(ProbeResult)> Done)
      : m_Socket(Loop), m_Timer(Loop), m_Times(Times), m_Done(std::move(Done)) {
  }

  void start(const Endpoint &Server) {
    ErrorCode Code;
    const auto Address = asio::ip::make_address_v4(Server.Address, Code);
    if (Code) {
      asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
        Self->end(ProbeResult::NoAnswer);
      });
      return;
    }
    endAfter(m_Times.Timeout, ProbeResult::NoAnswer);
    m_Socket.async_connect(
        {Address, Server.Port},
        [Self = shared_from_this()](const ErrorCode &Result) {
          Self->onConnected(Result);
        });
  }

private:
  void endAfter(std::chrono::milliseconds Time, ProbeResult Result) {
    m_Timer.expires_after(Time);
    m_Timer.async_wait([Self = shared_from_this(), Result](const auto &Code) {
      if (!Code)
        Self->end(Result);
    });
  }
  void onConnected(const ErrorCode &Result) {
    m_Timer.cancel();
    ErrorCode Ignored; // A socket that cannot be set so has failed.
    m_Socket.non_blocking(true, Ignored);
    if (Result || m_Times.Hold == std::chrono::milliseconds(0))
      return end(toResult(Result));
    // A process that is late finds both due.
    m_Timer.expires_after(m_Times.Hold);
    m_Timer.async_wait([Self = shared_from_this()](const auto &Code) {
      if (!Code)
        Self->end(Self->isClosed() ? ProbeResult::Closed
                                   : ProbeResult::Accepted);
    });
    m_Socket.async_wait(tcp::socket::wait_read, [Self = shared_from_this()](
                                                    const ErrorCode &) {
      Self->end(Self->isClosed() ? ProbeResult::Closed : ProbeResult::Accepted);
    });
  }
  /// Whether the peer has closed the connection, or reset it.
  bool isClosed() {
    ErrorCode Code;
    char Byte = 0;
    m_Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
    return Code && Code != asio::error::would_block;
  }
  void end(ProbeResult Result) {
    const auto Done = std::exchange(m_Done, nullptr);
    if (!Done)
      return;
    m_Timer.cancel();
    ErrorCode Ignored; // The socket is discarded in any case.
    m_Socket.close(Ignored);
    Done(Result);
  }

  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  const ProbeTimes m_Times;
  /// Empty once the probe has ended.
  std::function<void(ProbeResult)> m_Done;
};

} // namespace

std::string_view describe(ProbeResult Result) {
  switch (Result) {
  case ProbeResult::Accepted:
    return "accepts connections";
  case ProbeResult::Refused:
    return "refuses connections";
  case ProbeResult::Closed:
    return "closes connections";
  case ProbeResult::NoAnswer:
    return "does not answer";
  }
  return "unknown";
}

void probeServer(asio::io_context &Loop, const Endpoint &Server,
                 ProbeTimes Times, std::function<void(ProbeResult)> Done) {
  std::make_shared<Probe>(Loop, Times, std::move(Done))->start(Server);
}

} // namespace figlift::upstream
