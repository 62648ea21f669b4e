//===- Server.cpp - HTTP listener with routes -----------------------------===//
//
// Accepts connections, finds the route of a request and calls its handler. Each
// connection runs on a strand of its own.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/Server.h"

#include "LibHttp/ConnectionExchange.h"
#include "LibHttp/Problem.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace figlift::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Time for responses that are being written when the server stops; a caller
/// that needs longer is assumed to have stopped reading.
constexpr std::chrono::milliseconds StopGrace{500};
/// Delay after a failed accept, for example for lack of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

class AsioServer final : public Server, public proxy::RequestHandler {
public:
  AsioServer(const ServerOptions &Options, std::vector<Route> Routes)
      : m_Options(Options), m_Routes(std::move(Routes)),
        m_Shared(std::make_shared<SharedServerState>()),
        m_Work(asio::make_work_guard(m_Shared->Loop)),
        m_Acceptor(asio::make_strand(m_Shared->Loop)),
        m_AcceptTimer(m_Acceptor.get_executor()) {
    m_Shared->MaximumQueuedBytesPerStream = Options.MaximumQueuedBytesPerStream;
    // Longest path first, so that the first matching route has the longest
    // path.
    std::stable_sort(m_Routes.begin(), m_Routes.end(),
                     [](const Route &A, const Route &B) {
                       return A.Path.size() > B.Path.size();
                     });
  }

  ~AsioServer() override { stop(); }

  Result<void> open() {
    ErrorCode Code;
    const auto Address =
        asio::ip::make_address_v4(m_Options.Listen.Address, Code);
    if (!Code)
      m_Acceptor.open(tcp::v4(), Code);
    if (!Code)
      m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
    if (!Code)
      m_Acceptor.bind({Address, m_Options.Listen.Port}, Code);
    if (!Code)
      m_Acceptor.listen(asio::socket_base::max_listen_connections, Code);
    if (Code)
      return failure(ResultCode::SettingsInvalid,
                     "cannot listen on " + m_Options.Listen.toString() + ": " +
                         Code.message());
    accept();
    for (unsigned I = 0; I < std::max(1U, m_Options.Threads); ++I)
      m_Threads.emplace_back([this] { m_Shared->Loop.run(); });
    return success();
  }

  void drain() override { m_Draining.store(true); }
  size_t requestsInFlight() const override { return m_Shared->InFlight.load(); }

  void stop() override {
    if (m_Threads.empty())
      return;
    const auto Closed = std::make_shared<std::promise<void>>();
    asio::post(m_Acceptor.get_executor(), [this, Closed] {
      m_Stopping = true;
      acceptWaiting();
      ErrorCode Ignored; // The acceptor is closed in any case.
      m_Acceptor.close(Ignored);
      m_AcceptTimer.cancel();
      Closed->set_value();
    });
    Closed->get_future().wait();
    closeConnections();
    m_Work.reset();
    // Without connections and work guard the loop runs out of work and returns.
    for (std::thread &Thread : m_Threads)
      Thread.join();
    m_Threads.clear();
    m_Shared->Stopped.store(true);
  }

private:
  using Connections = std::set<std::shared_ptr<proxy::CallerConnection>>;

  void accept() {
    m_Acceptor.async_accept(asio::make_strand(m_Shared->Loop),
                            [this](const ErrorCode &Code, tcp::socket Socket) {
                              accepted(Code, std::move(Socket));
                            });
  }

  void accepted(const ErrorCode &Code, tcp::socket Socket) {
    if (m_Stopping && !Code)
      return startConnection(std::move(Socket));
    if (m_Stopping)
      return;
    if (Code) {
      // Without free file descriptors an immediate accept would fail again, in
      // a busy loop.
      m_AcceptTimer.expires_after(AcceptRetryDelay);
      m_AcceptTimer.async_wait([this](const ErrorCode &Cancelled) {
        if (!Cancelled && !m_Stopping)
          accept();
      });
      return;
    }
    startConnection(std::move(Socket));
    accept();
  }

  /// Accepts the connections that are already established. The kernel would
  /// reset them, with the requests that callers have sent on them.
  void acceptWaiting() {
    ErrorCode Code;
    m_Acceptor.non_blocking(true, Code);
    while (!Code) {
      tcp::socket Socket(asio::make_strand(m_Shared->Loop));
      m_Acceptor.accept(Socket, Code);
      if (!Code)
        startConnection(std::move(Socket));
    }
  }

  proxy::CallerLimits limits() const override {
    return {{m_Options.MaximumHeadBytes, m_Options.MaximumBodyBytes},
            m_Options.HeadTimeout,
            m_Options.IdleTimeout};
  }

  void startConnection(tcp::socket Socket) {
    const auto Strand = Socket.get_executor();
    const auto Caller =
        std::make_shared<proxy::CallerConnection>(std::move(Socket), *this);
    {
      std::lock_guard Lock(m_Mutex);
      // Each connection may buffer a head and a body, so the limit on
      // connections bounds the memory that callers can use.
      if (m_Closing || m_Open.size() >= m_Options.MaximumConnections)
        return;
      m_Open.insert(Caller);
    }
    asio::post(Strand, [Caller] { Caller->start(); });
  }

  void closeConnections() {
    std::unique_lock Lock(m_Mutex);
    m_Closing = true;
    const Connections Open = m_Open;
    for (const auto &Caller : Open)
      asio::post(Caller->executor(), [Caller] { Caller->closeIfIdle(); });
    const auto AllClosed = [this] { return m_Open.empty(); };
    if (m_AllClosed.wait_for(Lock, StopGrace, AllClosed))
      return;
    for (const auto &Caller : m_Open)
      asio::post(Caller->executor(), [Caller] { Caller->abort(); });
    m_AllClosed.wait(Lock, AllClosed);
  }

  /// Returns null if no route matches; sets \p PathKnown if one matches the
  /// path.
  const Route *find(const Request &Incoming, bool &PathKnown) const {
    for (const Route &Candidate : m_Routes) {
      const bool Matches = Candidate.Prefix
                               ? Incoming.Path.starts_with(Candidate.Path)
                               : Incoming.Path == Candidate.Path;
      PathKnown = PathKnown || Matches;
      if (Matches && (Candidate.Method == Incoming.Method ||
                      Candidate.Method == AnyMethod))
        return &Candidate;
    }
    return nullptr;
  }

  std::shared_ptr<proxy::ActiveRequest>
  handle(proxy::Request Incoming,
         std::shared_ptr<proxy::CallerConnection> Caller) override {
    const auto Channel = std::make_shared<ResponseChannel>(m_Shared, Caller);
    const auto Call =
        std::make_shared<ConnectionExchange>(Channel, std::move(Incoming));
    bool PathKnown = false;
    if (const Route *Found = find(Call->request(), PathKnown); !Found)
      Call->replyUnknownPath(PathKnown);
    else if (Found->Administrative || admit(*Call, *Channel))
      Call->handle(Found->Handle);
    return Channel;
  }

  proxy::ErrorResponse rejected(unsigned Status) override {
    Error Problem{ResultCode::InvalidInput, "the request is malformed",
                  "request", std::nullopt};
    if (Status == 413)
      Problem = {ResultCode::InputTooLarge,
                 "the body may have at most " +
                     std::to_string(m_Options.MaximumBodyBytes) + " bytes",
                 "body", std::nullopt};
    if (Status == 431)
      Problem = {ResultCode::InputTooLarge,
                 "the request line and the headers may have at most " +
                     std::to_string(m_Options.MaximumHeadBytes) + " bytes",
                 "headers", std::nullopt};
    Response Reply = problemResponse(Problem, {});
    Reply.Status = static_cast<int>(Status);
    return {responseHead(Reply), std::move(Reply.Body)};
  }

  void closed(proxy::CallerConnection &Caller) override {
    std::lock_guard Lock(m_Mutex);
    m_Open.erase(Caller.shared_from_this());
    if (m_Open.empty())
      m_AllClosed.notify_all();
  }

  /// Rejects \p Call while draining and above the limit of requests in flight.
  bool admit(ConnectionExchange &Call, ResponseChannel &Channel) {
    Error Rejection;
    Rejection.RetryAfter = m_Options.RetryAfter;
    if (m_Draining.load()) {
      Rejection.Code = ResultCode::Draining;
      Rejection.Message = "this entry is shutting down; use another one";
      Call.replyProblem(Rejection);
      return false;
    }
    if (Channel.enterInFlight() > m_Options.MaximumRequests) {
      Rejection.Code = ResultCode::LimitReached;
      Rejection.Message = "too many requests in flight at this entry";
      Call.replyProblem(Rejection);
      return false;
    }
    return true;
  }

  const ServerOptions m_Options;
  std::vector<Route> m_Routes;
  std::shared_ptr<SharedServerState> m_Shared;
  asio::executor_work_guard<asio::io_context::executor_type> m_Work;
  /// On a strand of its own, because stop() closes it while it may be
  /// accepting.
  tcp::acceptor m_Acceptor;
  asio::steady_timer m_AcceptTimer;
  std::vector<std::thread> m_Threads;
  std::atomic<bool> m_Draining{false};
  /// Used only on the acceptor's strand.
  bool m_Stopping = false;
  std::mutex m_Mutex;
  std::condition_variable m_AllClosed;
  /// Guarded by m_Mutex, like m_Closing, after which no connection is added.
  Connections m_Open;
  bool m_Closing = false;
};

} // namespace

Result<std::unique_ptr<Server>> Server::create(const ServerOptions &Options,
                                               std::vector<Route> Routes) {
  auto Created = std::make_unique<AsioServer>(Options, std::move(Routes));
  FIGLIFT_TRY(Created->open());
  return std::unique_ptr<Server>(std::move(Created));
}

} // namespace figlift::http
