//===- GatewayAccept.cpp - Connections of callers -------------------------===//
//
// Accepts connections, leaves those unread that cannot be served in time, and
// starts requests.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "RequestFlow.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <memory>
#include <utility>

namespace figlift::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Pause after accept() failed for lack of file descriptors.
constexpr milliseconds AcceptPause{50};
constexpr unsigned MaximumAcceptedAtOnce = 64;
constexpr milliseconds LogInterval{1000};
/// With this delay of the loop, callers may have left before they were read.
constexpr milliseconds AbandonedDelay{250};

} // namespace

void Gateway::accept() {
  m_Acceptor.async_accept(
      [this](const boost::system::error_code &Code, tcp::socket Socket) {
        if (Code == asio::error::operation_aborted)
          return;
        if (Code) {
          // Out of file descriptors: pending connections stay in the listen
          // queue.
          log::guarded("accept", {}, [&] {
            log::logEvent(log::Level::Warning, "accept-failed",
                          {{"message", Code.message()}});
          });
          m_AcceptTimer.expires_after(AcceptPause);
          m_AcceptTimer.async_wait(
              [this](const boost::system::error_code &Stopped) {
                if (!Stopped)
                  accept();
              });
          return;
        }
        log::guarded("accept", {}, [&] {
          accepted(std::move(Socket));
          acceptWaiting();
        });
        accept();
      });
}

proxy::CallerLimits Gateway::limits() const {
  if (!m_Shared.Configuration)
    return {};
  const dispatch::CallerBounds &Bounds = m_Shared.Configuration->Bounds;
  return {{Bounds.HeadBytes, Bounds.BodyBytes},
          Bounds.HeadTimeout,
          Bounds.IdleTimeout};
}

void Gateway::startCaller(tcp::socket Socket) {
  const auto Caller =
      std::make_shared<proxy::CallerConnection>(std::move(Socket), *this);
  m_Callers.insert(Caller.get());
  // m_Callers must not keep a connection that nothing holds.
  if (!log::guarded("new connection", {}, [&] { Caller->start(); }))
    Caller->abort();
}

void Gateway::accepted(tcp::socket Socket) {
  if (m_AcceptControl.mayRead(loopDelay()))
    return startCaller(std::move(Socket));
  m_AcceptControl.recordClosed();
  boost::system::error_code Ignored; // Nothing was read or written.
  Socket.close(Ignored);
}

/// Accepts the connections in the listen queue. Accepted one in each turn of
/// the event loop, they would wait there longer than their callers do, although
/// the loop is not late.
void Gateway::acceptWaiting() {
  for (unsigned I = 0; I < MaximumAcceptedAtOnce; ++I) {
    boost::system::error_code Code;
    tcp::socket Waiting(m_Shared.Loop);
    m_Acceptor.accept(Waiting, Code);
    // The next accept reports an error, too.
    if (Code)
      return;
    accepted(std::move(Waiting));
  }
}

void Gateway::logClosedConnections(BootTime Now) {
  if (Now - m_ClosedConnectionsLoggedAt < LogInterval)
    return;
  m_ClosedConnectionsLoggedAt = Now;
  if (const uint64_t Count = m_AcceptControl.takeClosed(); Count > 0)
    log::logEvent(log::Level::Warning, "connections-closed-unread",
                  {{"count", Count}, {"callers", m_Callers.size()}});
}

/// Of connections that were closed with nothing left undone only the number is
/// of interest.
void Gateway::recordClose(const proxy::CloseReport &Report) {
  m_Shared.Metrics
      .counter("figlift_gateway_caller_connections_closed_total",
               "Connections of callers that were closed",
               {{"reason", std::string(describe(Report.Reason))},
                {"request", Report.HasRequest ? "unanswered" : "none"},
                {"input", Report.UnreadBytes > 0 ? "unread" : "read"}})
      .add();
  if (Report.isClean() ||
      !m_Shared.Log.allows(LineKind::Notable, BootClock::now()))
    return;
  log::logEvent(log::Level::Info, "connection-closed",
                {{"reason", describe(Report.Reason)},
                 {"request", Report.HasRequest},
                 {"answerBegun", Report.HasAnswerBegun},
                 {"partialBytes", Report.PartialBytes},
                 {"unsentBytes", Report.UnsentBytes},
                 {"unreadBytes", Report.UnreadBytes}});
}

std::shared_ptr<proxy::ActiveRequest>
Gateway::handle(proxy::Request Request,
                std::shared_ptr<proxy::CallerConnection> Caller) {
  // A request that was sent while the loop was behind may have waited longer
  // than its caller did.
  const bool IsLoopBehind = loopDelay() > AbandonedDelay;
  if (IsLoopBehind && Caller->hasCallerLeft()) {
    ++m_AbandonedRequests;
    Caller->abort();
    return nullptr;
  }
  if (m_Shared.Stop.begun())
    Caller->closeAfterResponse();
  auto Flow = std::make_shared<RequestFlow>(m_Shared, std::move(Request),
                                            std::move(Caller));
  Flow->start();
  return Flow;
}

} // namespace figlift::gateway
