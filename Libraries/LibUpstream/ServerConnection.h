//===- ServerConnection.h - One HTTP/1.1 connection to a server -*- C++ -*-===//
//
// Carries one exchange after another to a target, or to the platform's store,
// on the loop's thread. What matters most is what can be proved about the end
// of an exchange: only NotSent says that no byte of the request left this
// process, and so that the server cannot have run it.
//
// The socket is read while the connection is idle, too: a close is noticed
// before the connection is used again, and bytes that come without a request
// end the connection, so that they are never taken for the next response.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Endpoint.h"
#include "LibProxy/Message.h"
#include "LibProxy/ResponseParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figlift::upstream {

enum class ExchangeEnd {
  /// The whole response came.
  Complete,
  /// No connection was made; the server has not seen the request.
  NotSent,
  /// The connection ended before any byte of the response.
  NoResponse,
  /// The response broke off or was no HTTP.
  Broken,
};

/// Receives the response of one exchange. onEnd is called exactly once and
/// last, unless the connection is aborted by its user.
class ExchangeSink {
public:
  virtual ~ExchangeSink() = default;
  virtual void onHead(const proxy::ResponseHead &Head) = 0;
  virtual void onBody(std::string Bytes) = 0;
  virtual void onEnd(ExchangeEnd How) = 0;
  /// False holds back further reading until resumeReading().
  virtual bool wantsMore() const { return true; }
};

struct ConnectionTimeouts {
  /// Many times the longest round trip (40 ms between regions); a server whose
  /// backlog of new connections is full answers after seconds, and by then
  /// another server has answered.
  std::chrono::milliseconds Connect{600};
  /// Unacknowledged bytes this old end the connection: a peer without power
  /// sends no reset, so the connection would hang until the request's timeout.
  std::chrono::milliseconds Unacknowledged{2500};
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(boost::asio::io_context &Loop, Endpoint Peer,
                   ConnectionTimeouts Timeouts);

  /// Sends one request; the connection is made first if there is none. The
  /// connection must be free.
  void exchange(std::string Bytes, bool BodyInResponse,
                std::shared_ptr<ExchangeSink> Sink);
  /// Closes at once, without a call to the sink. A server drops the request
  /// whose connection closes.
  void abort();
  void resumeReading();

  bool isOpen() const { return m_State != State::Closed; }
  bool isFree() const { return m_State == State::Idle; }
  /// Exchanges begun on this connection; names the one at hand.
  uint64_t exchanges() const { return m_Exchanges; }
  /// When the last exchange ended.
  BootTime idleSince() const { return m_IdleSince; }
  /// How long the server keeps the connection open when idle, if it said so.
  std::optional<std::chrono::seconds> announcedIdleTimeout() const {
    return m_IdleTimeout;
  }
  /// Called with the connection whenever it becomes idle or closed.
  void onStateChange(std::function<void(ServerConnection &)> Listener) {
    m_Listener = std::move(Listener);
  }

private:
  enum class State { Unconnected, Connecting, Idle, Busy, Closed };
  using ErrorCode = boost::system::error_code;

  void connect();
  void connected(const ErrorCode &Code);
  void send();
  void read();
  void received(const ErrorCode &Code, size_t Count);
  void receivedInExchange(std::string_view Bytes, bool EndOfInput, bool Failed);
  void completeExchange();
  void endExchange(ExchangeEnd How);
  void close();
  void noteIdleTimeout(const proxy::HeaderList &Headers);
  void setSocketOptions();

  boost::asio::io_context &m_Loop;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  Endpoint m_Peer;
  ConnectionTimeouts m_Timeouts;
  State m_State = State::Unconnected;
  std::array<char, 8192> m_Buffer;
  std::string m_Outgoing;
  /// All bytes of the request were handed to the kernel. A response that
  /// comes earlier leaves the rest of a body unsent: such a connection is not
  /// used again, as the server would take other bytes for that rest.
  bool m_Written = false;
  bool m_ReadPaused = false;
  bool m_HeadReported = false;
  bool m_BodyInResponse = true;
  proxy::ResponseParser m_Parser;
  std::shared_ptr<ExchangeSink> m_Sink;
  std::optional<std::chrono::seconds> m_IdleTimeout;
  BootTime m_IdleSince{};
  uint64_t m_Exchanges = 0;
  std::function<void(ServerConnection &)> m_Listener;
};

} // namespace figlift::upstream
