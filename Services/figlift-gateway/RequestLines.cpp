//===- RequestLines.cpp - Log events of one request -----------------------===//
//
// Records the decisions and their inputs.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "LibLog/Log.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace figlift::gateway {

using dispatch::Milliseconds;

namespace {
constexpr size_t MaximumLoggedParts = 8;
} // namespace

void RequestFlow::logAccepted() {
  log::logRequest(
      log::Level::Info, "request-taken", m_Fields.AttemptId, {},
      {{"route", m_Route.Name},
       {"service", m_Service},
       {"tenant", m_Tenant.value_or("")},
       {"configuration", m_Configuration->Version},
       {"promptTokens", m_Fields.Prompt ? m_Fields.Prompt->Tokens : 0},
       {"resumes", m_Fields.Resumes.value_or("")},
       {"lastEvent", m_Fields.LastEventId.value_or("")},
       {"deadlineMs", Milliseconds(m_Deadline - m_Started)}});
}

std::string RequestFlow::softwareVersionOf(const std::string &TargetId) const {
  const dispatch::Target *Target = m_Shared.Targets.find(TargetId);
  return Target ? Target->SoftwareVersion : std::string();
}

std::string RequestFlow::sharedPartsText() const {
  std::string Text;
  if (!m_Fields.Prompt)
    return Text;
  const auto Parts = m_Fields.Prompt->sharedParts();
  for (const dispatch::PromptPart &Part :
       Parts.first(std::min(Parts.size(), MaximumLoggedParts)))
    Text += fmt::format("{}{:x}", Text.empty() ? "" : ",", Part.Id);
  return Text;
}

void RequestFlow::logSent(const std::string &TargetId,
                          const std::string &FetchFrom, SendPurpose Purpose,
                          const slopes::SendFields &Fields,
                          Milliseconds Expected) {
  const BootTime Now = BootClock::now();
  // A request with a prefill and an execution is sent twice; any further
  // attempt is a retry.
  const unsigned EarlierRuns =
      m_History.executions() - (Purpose == SendPurpose::Execute ? 1 : 0);
  const bool IsRetry =
      m_History.sends() > 2 || (EarlierRuns > 0 && m_History.sends() > 1);
  if (!m_Traced && !(IsRetry && m_Shared.Log.allows(LineKind::Notable, Now)))
    return;
  log::logRequest(
      log::Level::Info, "request-sent", m_Fields.AttemptId, {},
      {{"target", TargetId},
       {"softwareVersion", softwareVersionOf(TargetId)},
       {"purpose", Purpose == SendPurpose::Execute ? "run" : "read-prompt"},
       {"fetchFrom", FetchFrom},
       {"enginePriority", Fields.EnginePriority
                              ? std::to_string(*Fields.EnginePriority)
                              : std::string()},
       {"plannedMs", Expected},
       {"timeLeftMs", timeLeft(Now)},
       {"sends", m_History.sends()},
       {"runs", EarlierRuns},
       {"eventsBefore", m_Relay.events()},
       {"budgetLeft", m_Shared.Budget.remaining(m_Service, Now)}});
}

void RequestFlow::recordAnswerEnd(const ServerSend &Send) {
  if (Send.purpose() != SendPurpose::Execute || Send.head().Status == 0)
    return;
  m_Framing = Send.head().Framing;
  m_PeerEnd = Send.peerEnd();
}

bool RequestFlow::isEndUnproven() const {
  return m_ResponseStarted && streaming() &&
         (m_Framing == proxy::BodyFraming::ConnectionEnd ||
          m_History.executions() > 1);
}

void RequestFlow::logSendEnded(const ServerSend &Send,
                               const dispatch::SendOutcome &End) {
  const BootTime Now = BootClock::now();
  if (!m_Shared.Log.allows(LineKind::Notable, Now))
    return;
  log::logRequest(
      log::Level::Info, "send-ended", m_Fields.AttemptId, {},
      {{"how", dispatch::describe(End)},
       {"purpose",
        Send.purpose() == SendPurpose::Execute ? "run" : "read-prompt"},
       {"target", Send.targetId()},
       {"fingerprint", fingerprintText()},
       {"sharedParts", sharedPartsText()},
       {"status", Send.head().Status},
       {"notExecuted", Send.fields().NotExecuted},
       {"signed", Send.fields().Signed},
       {"connection", m_History.at(Send.number()).Connection},
       {"exchange", m_History.at(Send.number()).Exchange},
       {"framing", proxy::describe(Send.head().Framing)},
       {"connectionEnd", upstream::describe(Send.peerEnd())},
       {"events", m_Relay.events()},
       {"unfinishedBytes", m_Relay.incompleteBytes()},
       {"tookMs", Milliseconds(Now - Send.started())},
       {"sends", m_History.sends()},
       {"runs", m_History.executions()},
       {"budgetLeft", m_Shared.Budget.remaining(m_Service, Now)}});
}

void RequestFlow::logEnded(std::string_view Outcome, unsigned Status,
                           std::string_view Reason) {
  const BootTime Now = BootClock::now();
  const Milliseconds FirstEvent = firstAfter(Now);
  const Milliseconds ExecutionFirstEvent =
      m_FirstEvent && m_ExecutionSent
          ? Milliseconds(*m_FirstEvent - *m_ExecutionSent)
          : Milliseconds(0);
  const bool HasLatePause =
      m_Route.EventGapTarget &&
      m_Progress.longestPause() > Milliseconds(*m_Route.EventGapTarget);
  if (HasLatePause)
    m_Shared.Streams.recordLatePause(m_Progress.isLongestOwnDelay());
  const bool IsLate =
      FirstEvent > Milliseconds(m_Route.LatencyTarget) || HasLatePause;
  const bool IsRejected = Outcome == "refused";
  const bool IsPlain =
      Outcome == "answered" && !IsLate && m_History.sends() <= 2;
  const LineKind Kind = isEndUnproven()               ? LineKind::AnswerEnd
                        : IsRejected                  ? LineKind::Rejected
                        : IsPlain && !m_TimeUntilStop ? LineKind::Plain
                                                      : LineKind::Notable;
  if (!m_Traced && (Kind == LineKind::Plain || !m_Shared.Log.allows(Kind, Now)))
    return;
  log::logRequest(
      log::Level::Info, "request-ended", m_Fields.AttemptId, {},
      {{"outcome", Outcome},
       {"status", Status},
       {"reason", Reason},
       {"code", static_cast<int>(m_Code)},
       {"route", m_Route.Name},
       {"repeatable", m_Route.repeatable()},
       {"service", m_Service},
       {"tenant", m_Tenant.value_or("")},
       {"reader", m_PrefillTarget},
       {"runner", m_ExecutionTarget},
       {"softwareVersion", m_BoundVersion.value_or("")},
       {"fingerprint", fingerprintText()},
       {"sharedParts", sharedPartsText()},
       {"crashCause", m_CrashCause ? m_CrashCause->toString() : std::string()},
       {"promptTokens", m_Fields.Prompt ? m_Fields.Prompt->Tokens : 0},
       {"sentAfterMs", m_ExecutionSent
                           ? Milliseconds(*m_ExecutionSent - m_Started)
                           : Milliseconds(0)},
       {"plannedFirstMs", m_PlannedFirst},
       {"plannedLagMs", m_PlannedLag},
       {"firstMs", FirstEvent},
       {"plannedReadMs", m_PlannedPrefill},
       {"readMs", m_PrefillTime},
       {"plannedRunMs", m_PlannedExecution},
       {"runFirstMs", ExecutionFirstEvent},
       {"tookMs", Milliseconds(Now - m_Started)},
       {"targetMs", m_Route.LatencyTarget},
       // A request without a route has no deadline.
       {"deadlineMs", m_Deadline == BootTime{}
                          ? Milliseconds(0)
                          : Milliseconds(m_Deadline - m_Started)},
       {"endsInMs", m_TimeUntilStop.value_or(Milliseconds(0))},
       {"maximumOutput", m_Fields.Prompt ? m_Fields.Prompt->MaximumOutput : 0},
       {"framing", m_Framing ? proxy::describe(*m_Framing) : ""},
       {"connectionEnd", upstream::describe(m_PeerEnd)},
       {"events", m_Relay.events()},
       {"lastRunEvents", m_Relay.events() - m_EventsBefore},
       {"longestPauseMs", m_Progress.longestPause()},
       {"longestPauseAfter", m_Progress.longestPauseAfter()},
       {"ownDelay", m_Progress.isLongestOwnDelay()},
       {"meanIntervalMs", m_Progress.meanInterval()},
       {"allowedPauseMs", Milliseconds(m_Route.EventGapTarget.value_or(
                              std::chrono::milliseconds(0)))},
       {"plannedPauseMs", m_PlannedPause},
       {"sends", m_History.sends()},
       {"runs", m_History.executions()},
       {"history", m_History.describe()},
       {"serversSeenMs", Milliseconds(Now - m_Shared.ServersKnownAt)},
       {"configuration", m_Configuration ? m_Configuration->Version : 0}});
}

} // namespace figlift::gateway
