//===- ServerSend.cpp - One send of a request to a server -----------------===//
//
// Classifies what came back; see RepeatRules.h for what follows from it.
//
//===----------------------------------------------------------------------===//

#include "ServerSend.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

using dispatch::SendEnd;
using upstream::ExchangeEnd;

namespace {
bool isSuccess(unsigned Status) { return Status / 100 == 2; }
/// A target at whose address another server answers has ended; the list of
/// servers says so within about this time.
constexpr std::chrono::milliseconds OtherServerTime{5000};
} // namespace

ServerSend::ServerSend(Context &Shared, SendOwner &Owner, std::string TargetId,
                       SendPurpose Purpose, std::string AttemptId)
    : m_Shared(Shared), m_Owner(&Owner), m_TargetId(std::move(TargetId)),
      m_Purpose(Purpose), m_AttemptId(std::move(AttemptId)) {}

bool ServerSend::start(std::string Bytes, dispatch::Work What) {
  const auto Pool = m_Shared.Pools.find(m_TargetId);
  if (Pool == m_Shared.Pools.end())
    return false;
  m_Started = BootClock::now();
  m_Connection = Pool->second->take(m_Started);
  if (!m_Connection)
    return false;
  What.SentAt = m_Started;
  m_Ticket = m_Shared.Loads.recordSent(m_TargetId, What);
  if (const dispatch::Target *Which = m_Shared.Targets.find(m_TargetId))
    m_Target = *Which;
  m_Shared.Limits.sent(m_TargetId, m_Started);
  m_Connection->exchange(std::move(Bytes), true, shared_from_this());
  return true;
}

bool ServerSend::targetStartedAgain() const {
  const dispatch::Target *Which = m_Shared.Targets.find(m_TargetId);
  return Which && (!m_Target || Which->Started != m_Target->Started);
}

void ServerSend::cancel() {
  m_Owner = nullptr;
  m_Shared.Loads.recordEnd(m_TargetId, m_Ticket);
  if (const auto Connection = std::exchange(m_Connection, nullptr))
    Connection->abort();
}

void ServerSend::resumeReading() {
  if (m_Connection)
    m_Connection->resumeReading();
}

void ServerSend::noteSpeed() {
  m_Shared.Loads.recordAnswer(m_TargetId, m_Ticket, BootClock::now());
}

bool ServerSend::isOwnAnswer() const {
  // Without an echo only a server that turned the request away is believed.
  if (m_Fields.AttemptId.empty())
    return !isSuccess(m_Head.Status) || m_Purpose == SendPurpose::ReadPrompt;
  return m_Fields.AttemptId == m_AttemptId;
}

void ServerSend::onHead(const proxy::ResponseHead &Head) {
  if (!m_Owner)
    return;
  m_Head = Head;
  m_Fields = slopes::decodeServerFields(Head);
  const bool Run = m_Purpose == SendPurpose::Run;
  if (!isOwnAnswer() || (Run && isSuccess(Head.Status) && !m_Fields.Signed)) {
    if (const auto Connection = std::exchange(m_Connection, nullptr))
      Connection->abort();
    return end(dispatch::BrokeOff{});
  }
  noteLimit();
  if (Run && isSuccess(Head.Status))
    m_Owner->sendAnswered(*this);
}

void ServerSend::noteLimit() {
  if (!m_Target || m_Fields.OtherServer)
    return;
  const BootTime Now = BootClock::now();
  if (m_Fields.LimitInvalid) {
    if (m_Shared.Log.allows(LineKind::Notable, Now))
      log::logEvent(log::Level::Warning, "server-limit-invalid",
                    {{"target", m_TargetId}});
    return;
  }
  if (m_Shared.Limits.told(m_Target->start(), m_Fields.Limit, m_Started, Now) &&
      m_Shared.Log.allows(LineKind::Belief, Now))
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
  m_Body += Bytes;
  if (m_Body.size() <= MaximumWholeBody)
    return;
  if (const auto Connection = std::exchange(m_Connection, nullptr))
    Connection->abort();
  end(dispatch::BrokeOff{});
}

void ServerSend::onEnd(ExchangeEnd How) {
  m_Connection = nullptr;
  if (!m_Owner)
    return;
  if (How == ExchangeEnd::NotSent)
    return end(dispatch::NotSent{});
  if (How != ExchangeEnd::Complete)
    return end(dispatch::BrokeOff{});
  if (m_Fields.NotRun)
    return end(dispatch::Rejected{});
  if (!isSuccess(m_Head.Status))
    return end(dispatch::ServerFailed{m_Head.Status});
  if (!m_Streamed)
    noteSpeed();
  m_Shared.Loads.recordEnd(m_TargetId, m_Ticket);
  std::exchange(m_Owner, nullptr)->sendCompleted(*this);
}

void ServerSend::noteRejection(BootTime Now) {
  if (m_Fields.OtherServer)
    m_Shared.Loads.excludeUntil(m_TargetId, Now + OtherServerTime);
  else
    m_Shared.Loads.recordRejection(m_TargetId, Now);
}

void ServerSend::judge(const SendEnd &How) {
  // The target may have started again since: the end of its earlier start is
  // no verdict on this one.
  if (!m_Shared.Loads.isCurrent(m_TargetId, m_Ticket))
    return;
  const BootTime Now = BootClock::now();
  const bool Blameless =
      std::holds_alternative<dispatch::Rejected>(How) ||
      (std::holds_alternative<dispatch::ServerFailed>(How) && m_Fields.Signed);
  if (std::holds_alternative<dispatch::Rejected>(How))
    noteRejection(Now);
  if (Blameless && !std::holds_alternative<dispatch::Rejected>(How))
    m_Shared.Loads.recordError(m_TargetId, Now);
  if (Blameless)
    m_Shared.Loads.recordEnd(m_TargetId, m_Ticket);
  else
    m_Shared.Loads.recordFailure(m_TargetId, m_Ticket, Now);
}

void ServerSend::end(SendEnd How) {
  judge(How);
  if (auto *const Owner = std::exchange(m_Owner, nullptr))
    Owner->sendEnded(*this, How);
}

} // namespace figlift::gateway
