//===- GatewayAccept.cpp - Connections of callers -------------------------===//
//
// Accepts connections, leaves those unread that cannot be served in time,
// rejects requests on those beyond the share of the file descriptors that is
// for callers, and starts all other requests.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "RequestFlow.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"
#include "platform/Headers.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <sys/resource.h>
#include <utility>

namespace figlift::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Pause after accept() failed.
constexpr milliseconds AcceptPause{50};
constexpr unsigned MaximumAcceptedAtOnce = 64;
constexpr milliseconds LogInterval{1000};
/// With this delay of the loop, callers may have left before they were read.
constexpr milliseconds AbandonedDelay{250};
/// Boost.Asio reads at most so many of the sockets that are ready in one turn
/// of the loop.
constexpr size_t SocketsReadInATurn = 128;
/// From the turn that reads a signal to the one after its handler.
constexpr size_t TurnsOfASignal = 2;
/// Other gateways have room in most cases. Here, connections are closed all the
/// time.
constexpr milliseconds NoRoomRetryAfter{300};
/// Requests on a connection that is rejected at once are read up to this
/// length; longer input resets it.
constexpr size_t MaximumInputRejectedAtOnce = 65536;

/// RLIMIT_NOFILE of this process.
size_t descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return std::numeric_limits<size_t>::max();
  return Limit.rlim_cur;
}

bool isOutOfDescriptors(const boost::system::error_code &Code) {
  return Code == boost::system::errc::too_many_files_open ||
         Code == boost::system::errc::too_many_files_open_in_system;
}

/// Answers without waiting for the request, most of which has arrived.
void rejectAtOnce(tcp::socket &Socket) {
  proxy::HeaderList Fields;
  slopes::addRetryAfter(Fields, NoRoomRetryAfter);
  std::string Answer = "HTTP/1.1 503 Service Unavailable\r\n";
  for (const proxy::HeaderField &Field : Fields)
    Answer += Field.Name + ": " + Field.Value + "\r\n";
  Answer += "Content-Length: 0\r\nConnection: close\r\n\r\n";
  boost::system::error_code Code;
  Socket.non_blocking(true, Code);
  boost::system::error_code Ignored; // The caller may have left.
  Socket.write_some(asio::buffer(Answer), Ignored);
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  // A close with unread input discards the answer.
  std::array<char, 4096> Buffer;
  for (size_t Read = 0; !Code && Read < MaximumInputRejectedAtOnce;)
    Read += Socket.read_some(asio::buffer(Buffer), Code);
  Socket.close(Ignored);
}

} // namespace

dispatch::DescriptorShares
Gateway::descriptorShares(const settings::GatewayProcess &Process) {
  return dispatch::shareDescriptors(
      std::min(descriptorLimit(), static_cast<size_t>(Process.Descriptors)));
}

void Gateway::accept() {
  m_Acceptor.async_accept(
      [this](const boost::system::error_code &Code, tcp::socket Socket) {
        if (Code == asio::error::operation_aborted)
          return;
        if (isOutOfDescriptors(Code)) {
          bool HasRejected = false;
          log::guarded("accept", {}, [&] { HasRejected = rejectWaiting(); });
          if (HasRejected)
            return accept();
        }
        if (Code) {
          // Pending connections stay in the listen queue.
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
  const bool IsBeyondShare =
      m_Callers.size() - m_BeyondShare.size() >= m_Descriptors.Callers;
  m_Callers.insert(Caller.get());
  if (IsBeyondShare)
    m_BeyondShare.insert(Caller.get());
  // m_Callers must not keep a connection that nothing holds.
  if (!log::guarded("new connection", {}, [&] { Caller->start(); }))
    Caller->abort();
}

void Gateway::accepted(tcp::socket Socket) {
  if (m_AcceptControl.mayRead(loopDelay()))
    return admit(std::move(Socket));
  m_AcceptControl.recordClosed();
  boost::system::error_code Ignored; // Nothing was read or written.
  Socket.close(Ignored);
}

/// Beyond the share of callers, a connection is read all the same: its request
/// is rejected, or served if there is room by then. Idle connections of others
/// are not closed for it, because a request may be on its way on them.
void Gateway::admit(tcp::socket Socket) {
  if (m_Callers.size() < m_Descriptors.Callers + m_Descriptors.Rejected)
    return startCaller(std::move(Socket));
  ++m_RejectedAtBound;
  rejectAtOnce(Socket);
}

/// Accepts the connections in the listen queue one by one with the spare
/// descriptor, and rejects them. Returns whether there was one.
bool Gateway::rejectWaiting() {
  bool HasRejected = false;
  for (unsigned I = 0; I < MaximumAcceptedAtOnce && m_Spare.take(); ++I) {
    m_Spare.release();
    boost::system::error_code Code;
    tcp::socket Waiting(m_Shared.Loop);
    m_Acceptor.accept(Waiting, Code);
    if (Code)
      break;
    HasRejected = true;
    ++m_RejectedWithoutDescriptor;
    rejectAtOnce(Waiting);
  }
  m_Spare.take();
  return HasRejected;
}

/// Whether \p Caller is one of the connections beyond the share of callers.
bool Gateway::isBeyondShare(const proxy::CallerConnection &Caller) {
  const auto Place = m_BeyondShare.find(&Caller);
  if (Place == m_BeyondShare.end())
    return false;
  if (m_Callers.size() - m_BeyondShare.size() >= m_Descriptors.Callers)
    return true;
  m_BeyondShare.erase(Place);
  return false;
}

void Gateway::rejectForRoom(const proxy::Request &Request,
                            proxy::CallerConnection &Caller) {
  ++m_RejectedAtBound;
  proxy::ResponseHead Head;
  Head.Status = dispatch::NotRunStatus;
  if (const auto Fields = slopes::decodeCallerFields(Request.Head.Headers))
    slopes::addAttemptId(Head.Headers, Fields.value().AttemptId);
  slopes::addRetryAfter(Head.Headers, NoRoomRetryAfter);
  Caller.closeAfterResponse();
  Caller.respond(Head, {});
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
  const uint64_t Rejected = m_RejectedAtBound + m_RejectedWithoutDescriptor;
  const uint64_t Before = std::exchange(m_RejectedLogged, Rejected);
  if (Rejected > Before)
    log::logEvent(log::Level::Warning, "connections-rejected",
                  {{"count", Rejected - Before},
                   {"withoutDescriptor", m_RejectedWithoutDescriptor},
                   {"callers", m_Callers.size()},
                   {"callersAtMost", m_Descriptors.Callers}});
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
  if (isBeyondShare(*Caller)) {
    rejectForRoom(Request, *Caller);
    return nullptr;
  }
  catchUpIfLate();
  // A request that was sent while the loop was behind may have waited longer
  // than its caller did.
  if (m_IsCatchingUp && Caller->hasCallerLeft()) {
    ++m_AbandonedRequests;
    Caller->abort();
    return nullptr;
  }
  if (m_Shared.Stop.begun())
    Caller->closeAfterResponse();
  auto Flow = std::make_shared<RequestFlow>(m_Shared, std::move(Request),
                                            std::move(Caller));
  if (m_IsCatchingUp)
    m_Postponed.push_back(Flow);
  else
    Flow->start();
  return Flow;
}

void Gateway::catchUpIfLate() {
  if (m_IsCatchingUp || loopDelay() <= AbandonedDelay)
    return;
  m_IsCatchingUp = true;
  catchUp(openSockets() / SocketsReadInATurn + 1 + TurnsOfASignal);
}

/// Each handler that is posted runs in a later turn of the loop.
void Gateway::catchUp(size_t TurnsLeft) {
  if (TurnsLeft > 0)
    return asio::post(m_Shared.Loop,
                      [this, TurnsLeft] { catchUp(TurnsLeft - 1); });
  m_IsCatchingUp = false;
  for (const auto &Flow : std::exchange(m_Postponed, {}))
    Flow->start();
}

size_t Gateway::openSockets() const {
  size_t Count = m_Callers.size();
  for (const auto &[Id, Pool] : m_Shared.Pools)
    Count += Pool->openConnections();
  return Count;
}

} // namespace figlift::gateway
