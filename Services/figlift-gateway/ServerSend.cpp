//===- ServerSend.cpp - One attempt to send a request to a server ---------===//
//
// Classifies the result; see RetryRules.h for the next step.
//
//===----------------------------------------------------------------------===//

#include "ServerSend.h"

#include "BrokenOffAnswer.h"
#include "ServerExchange.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

namespace figlift::gateway {

using dispatch::SendOutcome;
using upstream::ExchangeOutcome;

namespace {
bool isSuccess(unsigned Status) { return Status / 100 == 2; }
/// If another server answers at the address of a target, the target no longer
/// exists. The server list shows that within about this time.
constexpr std::chrono::milliseconds ServerReplacedBackoff{5000};
} // namespace

ServerSend::ServerSend(Context &Shared, SendOwner &Owner, std::string TargetId,
                       SendPurpose Purpose, std::string AttemptId,
                       dispatch::SendHistory::SendNumber Number)
    : m_Shared(Shared), m_Owner(&Owner), m_TargetId(std::move(TargetId)),
      m_Purpose(Purpose), m_AttemptId(std::move(AttemptId)), m_Number(Number),
      m_Memory(&Shared.Memory) {}

bool ServerSend::start(std::string Head, upstream::SharedBody Body,
                       dispatch::Work Work, dispatch::SendHistory &History) {
  m_Started = BootClock::now();
  // The exchange keeps this object for as long as it may call the check.
  const auto IsServersAnswer = [this](const proxy::ResponseHead &Head) {
    const slopes::ServerFields Fields = slopes::decodeServerFields(Head);
    return !Fields.Misdirected && isMatchingResponse(Head, Fields);
  };
  const auto IsUnused = [&](const upstream::ServerConnection &Connection) {
    return !History.hasUsed(Connection.id());
  };
  m_Connection = startExchange(m_Shared,
                               {.TargetId = m_TargetId,
                                .Bytes = std::move(Head),
                                .Body = std::move(Body),
                                .Sink = shared_from_this(),
                                .IsServersAnswer = IsServersAnswer,
                                .IsSuitable = IsUnused},
                               m_Started);
  if (!m_Connection)
    return false;
  History.recordConnection(m_Number, m_Connection->id(),
                           m_Connection->exchanges());
  Work.SentAt = m_Started;
  m_Ticket = m_Shared.Loads.recordSent(m_TargetId, Work);
  if (const dispatch::Target *Target = m_Shared.Targets.find(m_TargetId))
    m_Target = *Target;
  return true;
}

bool ServerSend::targetRestarted() const {
  const dispatch::Target *Target = m_Shared.Targets.find(m_TargetId);
  return Target && (!m_Target || Target->Started != m_Target->Started);
}

void ServerSend::cancel() {
  m_Owner = nullptr;
  m_Shared.Loads.recordEnd(m_TargetId, m_Ticket);
  if (const auto Connection = std::exchange(m_Connection, nullptr))
    Connection->abandon();
}

void ServerSend::resumeReading() {
  if (m_Connection)
    m_Connection->resumeReading();
}

void ServerSend::recordLatency() {
  m_Shared.Loads.recordAnswer(m_TargetId, m_Ticket, BootClock::now());
}

bool ServerSend::isMatchingResponse(const proxy::ResponseHead &Head,
                                    const slopes::ServerFields &Fields) const {
  const bool IsExecuted =
      m_Purpose == SendPurpose::Execute && isSuccess(Head.Status);
  return Fields.AttemptId == m_AttemptId && (!IsExecuted || Fields.Signed);
}

/// Servers echo the id in every answer to a request. An answer without it is
/// one to a control call.
bool ServerSend::belongsToOther(const proxy::ResponseHead &Head) {
  return slopes::decodeServerFields(Head).AttemptId != m_AttemptId;
}

void ServerSend::onHead(const proxy::ResponseHead &Head) {
  if (!m_Owner)
    return;
  m_Head = Head;
  m_Fields = slopes::decodeServerFields(Head);
  if (runsInsteadOfPrefill()) {
    m_Purpose = SendPurpose::Execute;
    m_Owner->prefillRuns(*this);
  }
  const bool IsExecution = m_Purpose == SendPurpose::Execute;
  if (!isMatchingResponse(Head, m_Fields))
    return breakOff("not an answer to the request");
  recordLimit();
  if (IsExecution && isSuccess(Head.Status))
    m_Owner->sendAnswered(*this);
  if (m_Owner && !m_Streamed && Head.Length.value_or(0) > MaximumBufferedBody)
    breakOff(BrokenOffAnswer::TooLong);
}

/// A server that finds nothing left of a resumed stream answers its prefill
/// with the empty rest.
bool ServerSend::runsInsteadOfPrefill() const {
  constexpr std::string_view EventStream = "text/event-stream";
  return m_Purpose == SendPurpose::Prefill && isSuccess(m_Head.Status) &&
         m_Head.Headers.find("Content-Type")
             .value_or("")
             .starts_with(EventStream);
}

void ServerSend::recordLimit() {
  if (!m_Target || m_Fields.Misdirected)
    return;
  const BootTime Now = BootClock::now();
  if (m_Fields.LimitInvalid) {
    if (m_Shared.Log.allows(LineKind::Notable, Now))
      log::logEvent(log::Level::Warning, "server-limit-invalid",
                    {{"target", m_TargetId}});
    return;
  }
  if (m_Shared.Limits.recordAnswer(m_Target->start(), m_Fields.Limit, m_Started,
                                   Now) &&
      m_Shared.Log.allows(LineKind::State, Now))
    log::logEvent(log::Level::Info, "server-limit",
                  {{"target", m_TargetId},
                   {"named", m_Fields.Limit.has_value()},
                   {"perSecond", m_Fields.Limit.value_or(0)}});
}

void ServerSend::onBody(std::string Bytes) {
  if (!m_Owner)
    return;
  if (m_Streamed)
    return m_Owner->sendBody(*this, std::move(Bytes));
  m_Body.append(Bytes);
  if (m_Body.size() > MaximumBufferedBody)
    return breakOff(BrokenOffAnswer::TooLong);
  if (!holdBytes(m_Body.capacity()))
    breakOff(BrokenOffAnswer::NoMemory);
}

void ServerSend::breakOff(std::string_view Reason) {
  recordBrokenOff(m_Shared, {.AttemptId = m_AttemptId,
                             .Target = m_TargetId,
                             .Reason = Reason,
                             .Status = m_Head.Status,
                             .BodyBytes = m_Body.size()});
  if (const auto Connection = std::exchange(m_Connection, nullptr))
    Connection->abort();
  end(dispatch::ConnectionLost{});
}

void ServerSend::onEnd(ExchangeOutcome End) {
  if (const auto Connection = std::exchange(m_Connection, nullptr))
    m_PeerEnd = Connection->peerEnd();
  if (!m_Owner)
    return;
  if (End == ExchangeOutcome::NotSent)
    return end(dispatch::NotSent{.ConnectFailed = !isHeldBack()});
  if (End != ExchangeOutcome::Complete)
    return end(dispatch::ConnectionLost{});
  if (m_Fields.NotExecuted)
    return end(dispatch::Rejected{});
  if (!isSuccess(m_Head.Status))
    return end(dispatch::ServerFailed{m_Head.Status});
  if (m_Streamed && !m_Owner->isWholeBody(*this)) {
    if (m_Target)
      m_Shared.Restarts.connectionLost(m_Target->start());
    return end(dispatch::ConnectionLost{});
  }
  if (!m_Streamed)
    recordLatency();
  m_Shared.Loads.recordEnd(m_TargetId, m_Ticket);
  std::exchange(m_Owner, nullptr)->sendCompleted(*this);
}

void ServerSend::recordRejection(BootTime Now) {
  if (m_Fields.Misdirected)
    m_Shared.Loads.excludeUntil(m_TargetId, Now + ServerReplacedBackoff);
  else
    m_Shared.Loads.recordRejection(m_TargetId, Now);
}

/// Whether the server has asked for a pause.
bool ServerSend::isHeldBack() const {
  return m_Target && m_Shared.Feedback.backoffs().isBackingOff(
                         m_Target->start(), BootClock::now());
}

void ServerSend::recordOutcome(const SendOutcome &End) {
  // The target may have restarted: a failure of its earlier start says nothing
  // about the current one.
  if (!m_Shared.Loads.isCurrent(m_TargetId, m_Ticket))
    return;
  const BootTime Now = BootClock::now();
  const bool IsValidResponse =
      std::holds_alternative<dispatch::Rejected>(End) ||
      (std::holds_alternative<dispatch::ServerFailed>(End) && m_Fields.Signed);
  if (std::holds_alternative<dispatch::Rejected>(End))
    recordRejection(Now);
  if (IsValidResponse && !std::holds_alternative<dispatch::Rejected>(End))
    m_Shared.Loads.recordError(m_TargetId, Now);
  // What was held back says nothing about the server's health.
  const bool WasHeldBack = std::holds_alternative<dispatch::NotSent>(End) &&
                           (isHeldBack() || m_IsWithheld);
  if (IsValidResponse || WasHeldBack)
    m_Shared.Loads.recordEnd(m_TargetId, m_Ticket);
  else
    m_Shared.Loads.recordFailure(m_TargetId, m_Ticket, Now);
}

void ServerSend::end(SendOutcome End) {
  // The request is told in any case.
  log::guarded("end of a send", m_TargetId, [&] { recordOutcome(End); });
  if (auto *const Owner = std::exchange(m_Owner, nullptr))
    Owner->sendEnded(*this, End);
}

} // namespace figlift::gateway
