//===- ServerConnection.h - HTTP/1.1 connection to a server -----*- C++ -*-===//
//
// Carries one exchange after another to a target or to the platform's store, on
// the loop's thread. The outcome of an exchange decides whether a request may
// be retried: only NotSent guarantees that no byte of the request was sent, so
// that the server cannot have run it.
//
// The socket is read also while the connection is idle. A close by the server
// is then detected before the connection is reused, and unsolicited bytes close
// the connection, so that they are never parsed as the next response.
//
// The end of a connection delimits a response without a length or chunks, also
// if it is only a part because the server's process has ended. Such a response
// is complete once ServerLiveness has found that the server still runs.
//
// A server may send a second copy of a response, so late that it arrives where
// the response to the next request is expected. What tells it apart is the id
// of the request that it names: a response to another request is skipped. A
// copy of the response to an earlier send of the same request looks like the
// one that is expected, so a request is not sent over the same connection
// twice. Responses to control calls name no request.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Endpoint.h"
#include "LibProxy/Message.h"
#include "LibProxy/ResponseParser.h"
#include "LibUpstream/ServerLiveness.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figlift::upstream {

enum class ExchangeOutcome {
  /// The complete response was received.
  Complete,
  /// No connection was established; the server has not seen the request.
  NotSent,
  /// The connection ended before the first byte of the response.
  NoResponse,
  /// The response was incomplete or not valid HTTP, or its server may have
  /// ended before it was complete.
  Interrupted,
};

/// How the peer has ended a connection.
enum class PeerEnd {
  /// It has not, as far as this process has read.
  None,
  InOrder,
  /// By a reset, or it was lost.
  Error,
};

/// Short text for the log.
std::string_view describe(PeerEnd End);

/// The body of a request, which its owner may need for another attempt.
using SharedBody = std::shared_ptr<const std::string>;

/// Receives the response of one exchange. onEnd is the last call and is made
/// exactly once, unless abort() is called on the connection. If another member
/// throws, the exchange ends as interrupted and the connection closes.
class ExchangeSink {
public:
  virtual ~ExchangeSink() = default;
  virtual void onHead(const proxy::ResponseHead &Head) = 0;
  virtual void onBody(std::string Bytes) = 0;
  virtual void onEnd(ExchangeOutcome Outcome) = 0;
  /// Asked when a response has ended with its connection: whether what has
  /// arrived proves by itself that it is whole.
  virtual bool isWholeByContent() const { return false; }
  /// Called before onEnd with what was found of the server after such an end.
  virtual void onServerChecked(const LivenessResult &) {}
  /// Asked for each head before onHead. If true, the response is skipped, and
  /// the next one on the connection is expected to be the one to this request.
  virtual bool belongsToOther(const proxy::ResponseHead &) { return false; }
  /// Asked when a connection that had to be established first is ready, which
  /// may be long after the exchange was started. If false, the exchange ends
  /// with NotSent.
  virtual bool maySend() const { return true; }
  /// If false, reading pauses until resumeReading() is called.
  virtual bool wantsMore() const { return true; }
};

struct ConnectionTimeouts {
  /// Many times the longest round trip (40 ms between regions). A server with a
  /// full accept backlog completes a connection only after seconds, by when
  /// another server would have responded.
  std::chrono::milliseconds Connect{600};
  /// Maximum age of unacknowledged bytes (TCP_USER_TIMEOUT). A peer that lost
  /// power sends no reset, so the connection would otherwise hang until the
  /// timeout of the request.
  std::chrono::milliseconds Unacknowledged{2500};
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(boost::asio::io_context &Loop, Endpoint Peer,
                   ConnectionTimeouts Timeouts,
                   std::shared_ptr<ServerLiveness> Liveness);
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;
  ~ServerConnection();

  /// Sends the serialized request \p Bytes, and \p Body after it, after
  /// connecting if necessary. The connection must be unused or idle.
  /// \p ExpectBody is false for HEAD. \p Body must not change until it has been
  /// sent; null for none.
  void exchange(std::string Bytes, bool ExpectBody,
                std::shared_ptr<ExchangeSink> Sink, SharedBody Body = nullptr);
  /// Closes the connection at once, without calling the sink. Servers abandon a
  /// request whose connection closes.
  void abort();
  /// Like abort(), but first reports the head of a response that has already
  /// arrived. Its fields about the server apply to other requests, too.
  void abandon();
  void resumeReading();
  /// Whether bytes of the response, or its end, have arrived that have not been
  /// read although reading is not paused, or its end is being checked.
  bool hasUnreadInput();
  /// Whether the peer has ended the connection, also if that has not been read.
  bool hasPeerEnded();
  /// Reading was paused and has not caught up, so that the connection may have
  /// ended long before its end is read.
  bool isBehind() const { return m_BehindSince.has_value(); }

  ConnectionId id() const { return m_Id; }
  /// Address and port, as text.
  const std::string &peerName() const { return m_PeerName; }
  /// Whether a response that names no request may still arrive.
  bool hasCarriedCall() const { return m_HasCarriedCall; }
  void recordCall() { m_HasCarriedCall = true; }

  bool isOpen() const { return m_State != State::Closed; }
  bool isFree() const { return m_State == State::Idle; }
  /// Number of exchanges started so far; identifies the current one.
  uint64_t exchanges() const { return m_Exchanges; }
  PeerEnd peerEnd() const { return m_PeerEnd; }
  /// When the last exchange ended.
  BootTime idleSince() const { return m_IdleSince; }
  /// The server's idle timeout, if it announced one in Keep-Alive.
  std::optional<std::chrono::seconds> announcedIdleTimeout() const {
    return m_IdleTimeout;
  }
  /// Sets a listener that is called when the connection becomes idle or closed.
  void onStateChange(std::function<void(ServerConnection &)> Listener) {
    m_StateListener = std::move(Listener);
  }

private:
  enum class State { Unconnected, Connecting, Idle, Busy, Closed };
  using ErrorCode = boost::system::error_code;

  /// Runs \p Work, a part of the current exchange. If it throws, that exchange
  /// ends and the connection closes.
  template <typename Function> void guard(Function Work);
  void connect();
  void onConnected(const ErrorCode &Code);
  using RequestParts = std::array<boost::asio::const_buffer, 2>;
  void write();
  RequestParts unwritten() const;
  void releaseRequest();
  void read();
  void onReceived(const ErrorCode &Code, size_t Count);
  /// Whether a read would not wait.
  bool isReadable();
  void recordError(const ErrorCode &Code);
  void processInput(std::string_view Bytes, bool EndOfInput, bool Failed);
  void reportArrivedHead();
  bool skipOthers(proxy::ResponseParser::State &Progress);
  void completeExchange();
  void checkServer();
  void serverChecked(const LivenessResult &Result);
  BootTime openAt() const;
  void endExchange(ExchangeOutcome Outcome);
  void close();
  void recordIdleTimeout(const proxy::HeaderList &Headers);
  void setSocketOptions();

  boost::asio::io_context &m_Loop;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  Endpoint m_Peer;
  const std::string m_PeerName;
  ConnectionTimeouts m_Timeouts;
  State m_State = State::Unconnected;
  std::array<char, 8192> m_Buffer;
  /// \name The request that is being written. Kept until it has been, as only a
  /// connection without unwritten bytes is used again.
  /// @{
  std::string m_Outgoing;
  SharedBody m_OutgoingBody;
  size_t m_Written = 0;
  /// @}
  /// All bytes of the request were passed to the kernel. If a response arrives
  /// earlier, the rest of the body is unsent. The connection is then not
  /// reused, because the server would parse the next request as that rest.
  bool m_RequestWritten = false;
  bool m_ReadPaused = false;
  /// A call other than the read met an error of the connection. No end of input
  /// is graceful after that.
  bool m_HasFailed = false;
  PeerEnd m_PeerEnd = PeerEnd::None;
  const std::shared_ptr<ServerLiveness> m_Liveness;
  /// The response has ended with the connection, which is closed. The sink
  /// learns the outcome once the server has been checked.
  bool m_IsServerBeingChecked = false;
  /// All that had arrived by this time was read; reading was paused after it,
  /// and has not caught up since.
  std::optional<BootTime> m_BehindSince;
  BootTime m_EstablishedAt{};
  bool m_HeadReported = false;
  /// The current exchange, or the one before if the connection is idle, has
  /// ended with a complete response.
  bool m_HasCompleted = false;
  /// The response that is being received answers another request.
  bool m_Skipping = false;
  /// \name Of the current exchange.
  /// @{
  unsigned m_SkippedResponses = 0;
  size_t m_SkippedBytes = 0;
  /// @}
  const ConnectionId m_Id;
  bool m_HasCarriedCall = false;
  bool m_ExpectBody = true;
  proxy::ResponseParser m_Parser;
  std::shared_ptr<ExchangeSink> m_Sink;
  std::optional<std::chrono::seconds> m_IdleTimeout;
  BootTime m_IdleSince{};
  uint64_t m_Exchanges = 0;
  std::function<void(ServerConnection &)> m_StateListener;
};

} // namespace figlift::upstream
