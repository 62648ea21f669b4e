//===- HttpClient.cpp - HTTP calls to a target ----------------------------===//
//
// Connections and parser are those of LibUpstream and LibProxy, which bound
// what a server may make a process hold.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpClient.h"

#include "LibCore/Clock.h"
#include "LibCore/MemoryBudget.h"
#include "LibLog/Guard.h"
#include "LibProxy/BodyBuffer.h"
#include "LibUpstream/ConnectionPool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <limits>
#include <thread>
#include <utility>

namespace figlift::target {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using upstream::ExchangeOutcome;

namespace {

/// Of all answers that are being collected.
constexpr size_t MaximumHeldBytes = 64 << 20;
/// The agent runs beside its target. A target that is too busy to accept is
/// given this time.
constexpr milliseconds ConnectTimeout{3000};
/// Longer than any call of a pooled connection may be silent.
constexpr milliseconds PooledUnacknowledged{60000};
/// A longer time is an error: targets do not live that long.
constexpr std::chrono::hours MaximumRetryAfter{24};
/// The thread reads what has arrived within this time.
constexpr milliseconds UnreadInputWait{1};

/// The thread of all calls, from the first one to the end of the process.
class CallThread {
public:
  static CallThread &shared() {
    static CallThread Shared;
    return Shared;
  }
  CallThread(const CallThread &) = delete;
  CallThread &operator=(const CallThread &) = delete;
  ~CallThread() {
    Loop.stop();
    m_Thread.join();
  }

  /// Outlives the calls that Loop holds.
  MemoryBudget Memory{MaximumHeldBytes};
  asio::io_context Loop{1};

private:
  CallThread() : m_Thread([this] { run(); }) {}

  void run() {
    while (!Loop.stopped())
      log::guarded("call to a target", {}, [this] { Loop.run(); });
  }

  asio::executor_work_guard<asio::io_context::executor_type> m_Work{
      Loop.get_executor()};
  std::thread m_Thread;
};

CallError callError(Execution Executed, std::string Message) {
  return {Executed,
          {ResultCode::TargetFailed, std::move(Message), {}, std::nullopt}};
}

std::string serializedHead(const HttpRequest &Request, const Endpoint &Target) {
  proxy::RequestHead Head;
  Head.Method = Request.Method;
  Head.Target =
      Request.Path.starts_with('/') ? Request.Path : "/" + Request.Path;
  // Has it name the length of the body also if that is 0.
  if (Request.Method != "GET" && Request.Method != "HEAD")
    Head.Headers.add("Content-Length", "0");
  proxy::HeaderList Fields;
  Fields.add("Host", Target.toString());
  if (!Request.ContentType.empty())
    Fields.add("Content-Type", Request.ContentType);
  if (!Request.IdempotencyKey.empty())
    Fields.add("Idempotency-Key", Request.IdempotencyKey);
  return proxy::serializeRequestHead(Head, Fields, Request.Body.size());
}

class Call final : public HttpCall,
                   public upstream::ExchangeSink,
                   public std::enable_shared_from_this<Call> {
public:
  Call(Endpoint Target, std::shared_ptr<upstream::ConnectionPool> Pool,
       HttpRequest Request, BodyConsumer Consume, CallDone<HttpAnswer> Done)
      : m_Target(std::move(Target)), m_Pool(std::move(Pool)),
        m_Request(std::move(Request)), m_Consume(std::move(Consume)),
        m_Done(std::move(Done)) {}

  void start() {
    asio::post(m_Loop, [Self = shared_from_this()] { Self->begin(); });
  }
  void cancel() override {
    asio::post(m_Loop, [Self = shared_from_this()] {
      Self->fail(Execution::MayHaveRun, "the call was cancelled");
    });
  }

  void onHead(const proxy::ResponseHead &Head) override {
    m_Answer.Status = Head.Status;
    m_Answer.ContentType = Head.Headers.find("Content-Type").value_or("");
    if (const auto Text = Head.Headers.find("Retry-After"))
      m_Answer.RetryAfter = readRetryAfter(*Text);
    if (!m_Consume && Head.Length.value_or(0) > HttpClient::MaximumAnswerBytes)
      return failTooLong();
    armTimer(m_Request.SilenceTimeout);
  }
  void onBody(std::string Bytes) override {
    if (!m_Done)
      return;
    armTimer(m_Request.SilenceTimeout);
    if (m_Consume) {
      if (!m_Consume(m_Answer, Bytes))
        end(std::move(m_Answer));
      return;
    }
    m_Body.append(Bytes);
    if (m_Body.size() > HttpClient::MaximumAnswerBytes)
      return failTooLong();
    if (!m_Memory.resize(m_Body.capacity()))
      fail(Execution::MayHaveRun, "no memory left for the answer");
  }
  void onEnd(ExchangeOutcome Outcome) override {
    switch (Outcome) {
    case ExchangeOutcome::Complete:
      m_Answer.Body = m_Body.take();
      return end(std::move(m_Answer));
    case ExchangeOutcome::NotSent:
      return fail(Execution::NotRun, "no connection to the target");
    case ExchangeOutcome::NoResponse:
      // Targets close connections that are idle for some time.
      if (std::exchange(m_UsesOldConnection, false))
        return exchange(freshConnection());
      [[fallthrough]];
    case ExchangeOutcome::Interrupted:
      return fail(Execution::MayHaveRun,
                  "the connection was lost before the answer was complete");
    }
  }

private:
  void begin() {
    if (!m_Done)
      return;
    std::shared_ptr<upstream::ServerConnection> Connection;
    if (m_Request.ConnectionReuse == Reuse::Allowed)
      Connection = m_Pool->acquire(BootClock::now());
    m_UsesOldConnection = Connection && Connection->exchanges() > 0;
    exchange(Connection ? Connection : freshConnection());
  }
  std::shared_ptr<upstream::ServerConnection> freshConnection() {
    m_OwnsConnection = true;
    return std::make_shared<upstream::ServerConnection>(
        m_Loop, m_Target,
        upstream::ConnectionTimeouts{ConnectTimeout, m_Request.SilenceTimeout});
  }
  void exchange(std::shared_ptr<upstream::ServerConnection> Connection) {
    m_Connection = std::move(Connection);
    armTimer(m_Request.SilenceTimeout);
    m_Connection->exchange(serializedHead(m_Request, m_Target),
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
    if (!m_Done)
      return;
    // A process that was paused may find the timer due before the bytes.
    if (m_Connection->hasUnreadInput())
      return armTimer(UnreadInputWait);
    fail(Execution::MayHaveRun, "no answer within the timeout");
  }

  void failTooLong() {
    fail(Execution::MayHaveRun,
         "the answer is longer than " +
             std::to_string(HttpClient::MaximumAnswerBytes) + " bytes");
  }
  void fail(Execution Executed, std::string Message) {
    end(callError(Executed, std::move(Message)));
  }
  void end(CallResult<HttpAnswer> Result) {
    const auto Done = std::exchange(m_Done, nullptr);
    if (!Done)
      return;
    m_Timer.cancel();
    // It may hold the owner of this call.
    m_Consume = nullptr;
    // A pooled connection is idle again after a complete answer.
    const auto Connection = std::exchange(m_Connection, nullptr);
    if (Connection && (m_OwnsConnection || !Connection->isFree()))
      Connection->abort();
    log::guarded("end of a call to a target", m_Target.toString(),
                 [&] { Done(std::move(Result)); });
  }

  asio::io_context &m_Loop = CallThread::shared().Loop;
  const Endpoint m_Target;
  const std::shared_ptr<upstream::ConnectionPool> m_Pool;
  const HttpRequest m_Request;
  /// Empty if the answer is collected, and once the call has ended.
  BodyConsumer m_Consume;
  /// Empty once the call has ended.
  CallDone<HttpAnswer> m_Done;
  asio::steady_timer m_Timer{m_Loop};
  std::shared_ptr<upstream::ServerConnection> m_Connection;
  /// The connection belongs to no pool.
  bool m_OwnsConnection = false;
  bool m_UsesOldConnection = false;
  HttpAnswer m_Answer;
  proxy::BodyBuffer m_Body;
  MemoryShare m_Memory{&CallThread::shared().Memory};
};

std::shared_ptr<upstream::ConnectionPool> makePool(const Endpoint &Target) {
  upstream::PoolSettings Settings;
  Settings.Timeouts = {ConnectTimeout, PooledUnacknowledged};
  auto Pool = std::make_shared<upstream::ConnectionPool>(
      CallThread::shared().Loop, Target, Settings);
  // The agent's own admission bounds the calls to its target.
  Pool->setLimit(std::numeric_limits<size_t>::max());
  return Pool;
}

} // namespace

HttpClient::HttpClient(Endpoint Target)
    : m_Target(std::move(Target)), m_Pool(makePool(m_Target)) {}

HttpClient::~HttpClient() {
  asio::post(CallThread::shared().Loop, [Pool = m_Pool] { Pool->retire(); });
}

std::shared_ptr<HttpCall> HttpClient::send(HttpRequest Request,
                                           CallDone<HttpAnswer> Done) {
  return stream(std::move(Request), nullptr, std::move(Done));
}

std::shared_ptr<HttpCall> HttpClient::stream(HttpRequest Request,
                                             BodyConsumer Consume,
                                             CallDone<HttpAnswer> Done) {
  auto Started = std::make_shared<Call>(m_Target, m_Pool, std::move(Request),
                                        std::move(Consume), std::move(Done));
  Started->start();
  return Started;
}

std::optional<milliseconds> readRetryAfter(std::string_view Text) {
  double Seconds = 0;
  const char *const TextEnd = Text.data() + Text.size();
  const auto [End, ErrorCode] = std::from_chars(Text.data(), TextEnd, Seconds);
  if (ErrorCode != std::errc() || End != TextEnd || !(Seconds >= 0) ||
      Seconds > std::chrono::duration<double>(MaximumRetryAfter).count())
    return std::nullopt;
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(Seconds));
}

} // namespace figlift::target
