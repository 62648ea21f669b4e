//===- HttpClient.cpp - HTTP calls with bounded answers -------------------===//
//
// Each call is an exchange on a ServerConnection.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/HttpClient.h"

#include "LibCore/Clock.h"
#include "LibLog/Guard.h"
#include "LibProxy/BodyBuffer.h"
#include "LibUpstream/CallThread.h"
#include "LibUpstream/ConnectionPool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace figlift::upstream {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// A server that is too busy to accept is given this time.
constexpr milliseconds MaximumConnectTime{3000};
/// Longer than any call on a pooled connection may be silent.
constexpr milliseconds PooledUnacknowledged{60000};
/// The thread reads what has arrived within this time.
constexpr milliseconds UnreadInputWait{1};

std::string serializedHead(const HttpRequest &Request, const Endpoint &Server) {
  proxy::RequestHead Head;
  Head.Method = Request.Method;
  Head.Target =
      Request.Path.starts_with('/') ? Request.Path : "/" + Request.Path;
  // The length of an empty body is named, too.
  if (Request.Method != "GET" && Request.Method != "HEAD")
    Head.Headers.add("Content-Length", "0");
  proxy::HeaderList Fields;
  Fields.add("Host", Server.toString());
  for (const proxy::HeaderField &Field : Request.Headers)
    Fields.add(Field.Name, Field.Value);
  return proxy::serializeRequestHead(Head, Fields, Request.Body.size());
}

class Call final : public HttpCall,
                   public ExchangeSink,
                   public std::enable_shared_from_this<Call> {
public:
  Call(CallThread &Thread, Endpoint Server,
       std::shared_ptr<ConnectionPool> Pool, HttpRequest Request,
       HttpCallbacks Callbacks)
      : m_Loop(Thread.loop()), m_Server(std::move(Server)),
        m_Pool(std::move(Pool)), m_Request(std::move(Request)),
        m_Callbacks(std::move(Callbacks)), m_Memory(&Thread.memory()) {}

  void start() {
    asio::post(m_Loop, [Self = shared_from_this()] { Self->begin(); });
  }
  void cancel() override {
    asio::post(m_Loop, [Self = shared_from_this()] {
      Self->fail(true, "the call was cancelled");
    });
  }

  bool maySend() const override {
    m_IsConnected = true;
    return true;
  }
  void onHead(const proxy::ResponseHead &Head) override {
    m_Answer.Status = Head.Status;
    m_Answer.Headers = Head.Headers;
    armTimer(m_Request.SilenceTimeout);
    if (m_Callbacks.OnHead)
      m_Callbacks.OnHead(m_Answer);
    if (!m_Callbacks.OnBody &&
        Head.Length.value_or(0) > m_Request.MaximumAnswerBytes)
      failTooLong();
  }
  void onBody(std::string Bytes) override {
    if (m_HasEnded)
      return;
    armTimer(m_Request.SilenceTimeout);
    if (m_Callbacks.OnBody) {
      if (!m_Callbacks.OnBody(m_Answer, Bytes))
        end(std::move(m_Answer));
      return;
    }
    m_Body.append(Bytes);
    if (m_Body.size() > m_Request.MaximumAnswerBytes)
      return failTooLong();
    if (!m_Memory.resize(m_Body.capacity()))
      fail(true, "no memory left for the answer");
  }
  bool isWholeByContent() const override {
    return m_HasEnded || (m_Callbacks.IsWhole && m_Callbacks.IsWhole());
  }
  void onEnd(ExchangeOutcome Outcome) override {
    switch (Outcome) {
    case ExchangeOutcome::Complete:
      m_Answer.Body = m_Body.take();
      return end(std::move(m_Answer));
    case ExchangeOutcome::NotSent:
      return fail(false, "no connection to the server");
    case ExchangeOutcome::NoResponse:
      // Servers close connections that are idle for some time.
      if (std::exchange(m_UsesOldConnection, false))
        return exchange(freshConnection());
      [[fallthrough]];
    case ExchangeOutcome::Interrupted:
      return fail(true,
                  "the connection was lost before the answer was complete");
    }
  }

private:
  void begin() {
    if (m_HasEnded)
      return;
    std::shared_ptr<ServerConnection> Connection;
    if (m_Request.ConnectionReuse == Reuse::Allowed)
      Connection = m_Pool->acquire(BootClock::now());
    m_UsesOldConnection = Connection && Connection->exchanges() > 0;
    m_IsConnected = m_UsesOldConnection;
    exchange(Connection ? Connection : freshConnection());
  }
  std::shared_ptr<ServerConnection> freshConnection() {
    m_OwnsConnection = true;
    m_IsConnected = false;
    return std::make_shared<ServerConnection>(
        m_Loop, m_Server,
        ConnectionTimeouts{
            std::min(MaximumConnectTime, m_Request.SilenceTimeout),
            m_Request.SilenceTimeout},
        m_Pool->liveness());
  }
  void exchange(std::shared_ptr<ServerConnection> Connection) {
    m_Connection = std::move(Connection);
    armTimer(m_Request.SilenceTimeout);
    m_Connection->exchange(serializedHead(m_Request, m_Server),
                           m_Request.Method != "HEAD", shared_from_this(),
                           {shared_from_this(), &m_Request.Body});
  }

  void armTimer(BootClock::duration Time) {
    m_Timer.expires_after(Time);
    m_Timer.async_wait([Self = shared_from_this()](const auto &Stopped) {
      if (!Stopped)
        Self->timedOut();
    });
  }
  void timedOut() {
    if (m_HasEnded)
      return;
    // A process that was paused may find the timer due before the bytes.
    if (m_Connection->hasUnreadInput())
      return armTimer(UnreadInputWait);
    fail(m_IsConnected, "no answer within the timeout");
  }

  void failTooLong() {
    fail(true, "the answer is longer than " +
                   std::to_string(m_Request.MaximumAnswerBytes) + " bytes");
  }
  void fail(bool MayHaveRun, std::string Message) {
    end(HttpFailure{MayHaveRun, std::move(Message)});
  }
  void end(HttpResult Result) {
    if (std::exchange(m_HasEnded, true))
      return;
    m_Timer.cancel();
    // They may hold the owner of this call.
    const HttpCallbacks Callbacks = std::exchange(m_Callbacks, {});
    // A pooled connection is idle again after a complete answer.
    const auto Connection = std::exchange(m_Connection, nullptr);
    if (Connection && (m_OwnsConnection || !Connection->isFree()))
      Connection->abort();
    log::guarded("end of a call", m_Server.toString(),
                 [&] { Callbacks.OnEnd(std::move(Result)); });
  }

  asio::io_context &m_Loop;
  const Endpoint m_Server;
  const std::shared_ptr<ConnectionPool> m_Pool;
  const HttpRequest m_Request;
  /// Empty once the call has ended.
  HttpCallbacks m_Callbacks;
  bool m_HasEnded = false;
  asio::steady_timer m_Timer{m_Loop};
  std::shared_ptr<ServerConnection> m_Connection;
  /// The connection belongs to no pool.
  bool m_OwnsConnection = false;
  bool m_UsesOldConnection = false;
  /// The request may have been sent.
  mutable bool m_IsConnected = false;
  HttpAnswer m_Answer;
  proxy::BodyBuffer m_Body;
  MemoryShare m_Memory;
};

std::shared_ptr<ConnectionPool> makePool(CallThread &Thread,
                                         const Endpoint &Server) {
  PoolSettings Settings;
  Settings.Timeouts = {MaximumConnectTime, PooledUnacknowledged};
  auto Pool = std::make_shared<ConnectionPool>(Thread.loop(), Server, Settings);
  // Whoever calls bounds the number of calls.
  Pool->setLimit(std::numeric_limits<size_t>::max());
  return Pool;
}

} // namespace

HttpClient::HttpClient(CallThread &Thread, Endpoint Server)
    : m_Thread(Thread), m_Server(std::move(Server)),
      m_Pool(makePool(Thread, m_Server)) {}

HttpClient::~HttpClient() {
  asio::post(m_Thread.loop(), [Pool = m_Pool] { Pool->retire(); });
}

std::shared_ptr<HttpCall> HttpClient::send(HttpRequest Request,
                                           HttpCallbacks Callbacks) {
  auto Started = std::make_shared<Call>(
      m_Thread, m_Server, m_Pool, std::move(Request), std::move(Callbacks));
  Started->start();
  return Started;
}

} // namespace figlift::upstream
