//===- Server.cpp - HTTP listener with routes -----------------------------===//
//
// See Server.h. Each connection is read on a strand of its own; this file
// accepts connections, finds the route and calls the handler.
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
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace figlift::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Answers that are being written when the server stops have this long to
/// leave; a caller who takes longer has stopped reading.
constexpr std::chrono::milliseconds StopGrace{500};
/// Pause after an accept that failed for want of descriptors.
constexpr std::chrono::milliseconds AcceptPause{50};

class ListenerServer final : public Server, public proxy::RequestHandler {
public:
  ListenerServer(const ServerOptions &Options, std::vector<Route> Routes)
      : m_Options(Options), m_Routes(std::move(Routes)),
        m_Core(std::make_shared<ServerCore>()),
        m_Work(asio::make_work_guard(m_Core->Loop)),
        m_Acceptor(asio::make_strand(m_Core->Loop)),
        m_AcceptTimer(m_Acceptor.get_executor()) {
    m_Core->MaximumQueuedBytesPerStream = Options.MaximumQueuedBytesPerStream;
    // A longer path first: the first route that matches is the longest.
    std::stable_sort(m_Routes.begin(), m_Routes.end(),
                     [](const Route &A, const Route &B) {
                       return A.Path.size() > B.Path.size();
                     });
  }

  ~ListenerServer() override { stop(); }

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
    for (unsigned Each = 0; Each < std::max(1U, m_Options.Threads); ++Each)
      m_Threads.emplace_back([this] { m_Core->Loop.run(); });
    return success();
  }

  void drain() override { m_Draining.store(true); }
  size_t requestsInFlight() const override { return m_Core->InFlight.load(); }

  void stop() override {
    if (m_Threads.empty())
      return;
    asio::post(m_Acceptor.get_executor(), [this] {
      m_Stopping = true;
      ErrorCode Ignored; // Closed either way.
      m_Acceptor.close(Ignored);
      m_AcceptTimer.cancel();
    });
    closeConnections();
    m_Work.reset();
    // Without connections nothing is left to wait for, and the loop ends.
    for (std::thread &Each : m_Threads)
      Each.join();
    m_Threads.clear();
    m_Core->Stopped.store(true);
  }

private:
  using Connections = std::set<std::shared_ptr<proxy::CallerConnection>>;

  void accept() {
    m_Acceptor.async_accept(asio::make_strand(m_Core->Loop),
                            [this](const ErrorCode &Code, tcp::socket Socket) {
                              accepted(Code, std::move(Socket));
                            });
  }

  void accepted(const ErrorCode &Code, tcp::socket Socket) {
    if (m_Stopping)
      return;
    if (Code) {
      // Without descriptors the next accept fails at once, again and again.
      m_AcceptTimer.expires_after(AcceptPause);
      m_AcceptTimer.async_wait([this](const ErrorCode &Stopped) {
        if (!Stopped && !m_Stopping)
          accept();
      });
      return;
    }
    begin(std::move(Socket));
    accept();
  }

  void begin(tcp::socket Socket) {
    proxy::CallerLimits Limits;
    Limits.Bounds = {m_Options.MaximumHeadBytes, m_Options.MaximumBodyBytes};
    Limits.HeadTimeout = m_Options.HeadTimeout;
    Limits.IdleTimeout = m_Options.IdleTimeout;
    const auto Strand = Socket.get_executor();
    const auto Caller = std::make_shared<proxy::CallerConnection>(
        std::move(Socket), Limits, *this);
    {
      std::lock_guard Lock(m_Mutex);
      // Each connection may hold a head and a body: their number bounds the
      // memory that callers can take.
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
    for (const auto &Each : Open)
      asio::post(Each->executor(), [Each] { Each->closeIfIdle(); });
    const auto NoneOpen = [this] { return m_Open.empty(); };
    if (m_NoneOpen.wait_for(Lock, StopGrace, NoneOpen))
      return;
    for (const auto &Each : m_Open)
      asio::post(Each->executor(), [Each] { Each->abort(); });
    m_NoneOpen.wait(Lock, NoneOpen);
  }

  const Route *find(const Request &Asked, bool &PathKnown) const {
    for (const Route &Candidate : m_Routes) {
      const bool Matches = Candidate.Prefix
                               ? Asked.Path.starts_with(Candidate.Path)
                               : Asked.Path == Candidate.Path;
      PathKnown = PathKnown || Matches;
      if (Matches &&
          (Candidate.Method == Asked.Method || Candidate.Method == AnyMethod))
        return &Candidate;
    }
    return nullptr;
  }

  std::shared_ptr<proxy::ActiveRequest>
  handle(proxy::Request Incoming,
         std::shared_ptr<proxy::CallerConnection> Caller) override {
    const auto Link = std::make_shared<CallerLink>(m_Core, Caller);
    const auto Call =
        std::make_shared<ConnectionExchange>(Link, std::move(Incoming));
    bool PathKnown = false;
    if (const Route *Found = find(Call->request(), PathKnown); !Found)
      Call->replyUnknownPath(PathKnown);
    else if (Found->Administrative || admit(*Call, *Link))
      Call->handle(Found->Handle);
    return Link;
  }

  proxy::ErrorResponse rejected(unsigned Status) override {
    Error What{ResultCode::InvalidInput, "the request cannot be read",
               "request", std::nullopt};
    if (Status == 413)
      What = {ResultCode::InputTooLarge,
              "the body may have at most " +
                  std::to_string(m_Options.MaximumBodyBytes) + " bytes",
              "body", std::nullopt};
    if (Status == 431)
      What = {ResultCode::InputTooLarge,
              "the request line and the headers may have at most " +
                  std::to_string(m_Options.MaximumHeadBytes) + " bytes",
              "headers", std::nullopt};
    Response Answer = problemResponse(What, {});
    Answer.Status = static_cast<int>(Status);
    return {headOf(Answer), std::move(Answer.Body)};
  }

  void closed(proxy::CallerConnection &Caller) override {
    std::lock_guard Lock(m_Mutex);
    m_Open.erase(Caller.shared_from_this());
    if (m_Open.empty())
      m_NoneOpen.notify_all();
  }

  bool admit(ConnectionExchange &Call, CallerLink &Link) {
    Error Refusal;
    Refusal.RetryAfter = m_Options.RetryAfter;
    if (m_Draining.load()) {
      Refusal.Code = ResultCode::Draining;
      Refusal.Message = "this entry is leaving; ask another";
      Call.replyProblem(Refusal);
      return false;
    }
    if (Link.countInFlight() > m_Options.MaximumRequests) {
      Refusal.Code = ResultCode::LimitReached;
      Refusal.Message = "too many requests in flight at this entry";
      Call.replyProblem(Refusal);
      return false;
    }
    return true;
  }

  const ServerOptions m_Options;
  std::vector<Route> m_Routes;
  std::shared_ptr<ServerCore> m_Core;
  asio::executor_work_guard<asio::io_context::executor_type> m_Work;
  /// On a strand of its own, as stop() closes it while it may be accepting.
  tcp::acceptor m_Acceptor;
  asio::steady_timer m_AcceptTimer;
  std::vector<std::thread> m_Threads;
  std::atomic<bool> m_Draining{false};
  /// Used on the acceptor's strand alone.
  bool m_Stopping = false;
  std::mutex m_Mutex;
  std::condition_variable m_NoneOpen;
  /// Guarded by m_Mutex, as is m_Closing: no connection is added after it.
  Connections m_Open;
  bool m_Closing = false;
};

} // namespace

Result<std::unique_ptr<Server>> Server::create(const ServerOptions &Options,
                                               std::vector<Route> Routes) {
  auto Made = std::make_unique<ListenerServer>(Options, std::move(Routes));
  FIGLIFT_TRY(Made->open());
  return std::unique_ptr<Server>(std::move(Made));
}

} // namespace figlift::http
