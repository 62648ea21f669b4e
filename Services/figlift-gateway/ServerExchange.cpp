//===- ServerExchange.cpp - Every exchange with a server ------------------===//
//
// Puts a sink in front of the one that waits for the response.
//
//===----------------------------------------------------------------------===//

#include "ServerExchange.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

namespace {

/// Counts and logs what is held back.
bool mayBeSentTo(Context &Shared, const dispatch::ServerStart &Server,
                 BootTime Now) {
  if (!Shared.Feedback.backoffs().isBackingOff(Server, Now))
    return true;
  Shared.Feedback.recordHeldBack(Server.TargetId, Now);
  return false;
}

/// Reads what the server says about itself and forwards everything.
class FeedbackReader : public upstream::ExchangeSink {
public:
  FeedbackReader(Context &Shared, dispatch::ServerStart Server,
                 ServerRequest Request)
      : m_Shared(Shared), m_Server(std::move(Server)),
        m_Sink(std::move(Request.Sink)),
        m_IsServersAnswer(std::move(Request.IsServersAnswer)) {}

  void onHead(const proxy::ResponseHead &Head) override {
    const BootTime Now = BootClock::now();
    // The successor of a crashed server may have its address.
    m_IsFromServer = m_IsServersAnswer(Head);
    if (m_IsFromServer)
      m_Shared.Crashes.serverResponded(m_Server, Now);
    m_Shared.Feedback.read(m_Server, Head, m_IsServersAnswer, Now);
    m_AttemptId = slopes::decodeServerFields(Head).AttemptId;
    m_Status = Head.Status;
    m_Sink->onHead(Head);
  }
  bool belongsToOther(const proxy::ResponseHead &Head) override {
    if (!m_Sink->belongsToOther(Head))
      return false;
    m_Shared.Feedback.recordSkipped(m_Server.TargetId, Head, BootClock::now());
    return true;
  }
  bool maySend() const override {
    m_IsConnected = true;
    return m_Sink->maySend() &&
           mayBeSentTo(m_Shared, m_Server, BootClock::now());
  }
  void onBody(std::string Bytes) override {
    if (m_IsFromServer)
      m_Shared.Crashes.serverResponded(m_Server, BootClock::now());
    m_Sink->onBody(std::move(Bytes));
  }
  void onEnd(upstream::ExchangeOutcome Outcome) override {
    if (wasConnectionLost(Outcome))
      m_Shared.Restarts.connectionLost(m_Server);
    m_Sink->onEnd(Outcome);
  }
  bool wantsMore() const override { return m_Sink->wantsMore(); }
  bool isWholeByContent() const override { return m_Sink->isWholeByContent(); }
  void onServerChecked(const upstream::LivenessResult &Result) override {
    m_Shared.Metrics
        .counter("figlift_gateway_servers_checked_total",
                 "Answers that ended with their connection, by the state of "
                 "the server afterwards",
                 {{"server", std::string(describe(Result.State))},
                  {"reason", std::string(Result.Reason)}})
        .add();
    logEnd(Result);
    m_Sink->onServerChecked(Result);
  }

private:
  /// Logs that an answer without a length or chunks has ended, and the state of
  /// its server.
  void logEnd(const upstream::LivenessResult &Result) {
    const BootTime Now = BootClock::now();
    if (!m_Shared.Log.allows(LineKind::AnswerEnd, Now))
      return;
    const dispatch::Target *Listed = m_Shared.Targets.find(m_Server.TargetId);
    log::logRequest(
        log::Level::Info, "answer-ended-with-connection", m_AttemptId, {},
        {{"target", m_Server.TargetId},
         {"status", m_Status},
         {"server", describe(Result.State)},
         {"reason", Result.Reason},
         {"probes", Result.Probes},
         {"tookMs", std::chrono::duration<double, std::milli>(Result.Took)},
         {"othersOpen", Result.OthersOpen},
         {"othersEnded", Result.OthersEnded},
         {"listed", Listed && Listed->start() == m_Server},
         {"heartbeat", Listed ? Listed->Heartbeat : 0},
         {"versionConfirmed",
          Listed && m_Shared.Restarts.isConfirmed(*Listed)}});
  }

  /// Whether the connection ended without this gateway's doing, or could not be
  /// established.
  bool wasConnectionLost(upstream::ExchangeOutcome Outcome) const {
    return Outcome == upstream::ExchangeOutcome::NotSent
               ? !m_IsConnected
               : Outcome != upstream::ExchangeOutcome::Complete;
  }

  Context &m_Shared;
  /// As listed when the request was sent.
  dispatch::ServerStart m_Server;
  std::shared_ptr<upstream::ExchangeSink> m_Sink;
  ServerFeedback::AnswerCheck m_IsServersAnswer;
  /// The current response is not that of another server at the same address.
  bool m_IsFromServer = false;
  /// \name Of the current response.
  /// @{
  std::string m_AttemptId;
  unsigned m_Status = 0;
  /// @}
  /// A new connection was established.
  mutable bool m_IsConnected = false;
};

} // namespace

std::shared_ptr<upstream::ServerConnection>
startExchange(Context &Shared, ServerRequest Request, BootTime Now) {
  const dispatch::Target *Server = Shared.Targets.find(Request.TargetId);
  const auto Pool = Shared.Pools.find(Request.TargetId);
  if (!Server || Pool == Shared.Pools.end() ||
      !mayBeSentTo(Shared, Server->start(), Now))
    return nullptr;
  auto Connection = Pool->second->acquire(Now, Request.IsSuitable);
  if (!Connection)
    return nullptr;
  if (Request.IsCall)
    Connection->recordCall();
  Shared.Limits.recordSend(Server->Id, Now);
  std::string Bytes = std::move(Request.Bytes);
  upstream::SharedBody Body = std::move(Request.Body);
  Connection->exchange(std::move(Bytes), true,
                       std::make_shared<FeedbackReader>(Shared, Server->start(),
                                                        std::move(Request)),
                       std::move(Body));
  return Connection;
}

} // namespace figlift::gateway
