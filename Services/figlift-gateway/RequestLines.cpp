//===- RequestLines.cpp - Lines of one request on its way -----------------===//
//
// What was decided and by which inputs.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

using dispatch::Milliseconds;

void RequestFlow::logTaken() {
  log::logRequest(
      log::Level::Info, "request-taken", m_Fields.AttemptId, {},
      {{"route", m_Route.Name},
       {"service", m_Service},
       {"configuration", m_Configuration->Version},
       {"promptTokens", m_Fields.Prompt ? m_Fields.Prompt->Tokens : 0},
       {"deadlineMs", Milliseconds(m_Deadline - m_Started)}});
}

void RequestFlow::logSent(const std::string &TargetId,
                          const std::string &FetchFrom, SendPurpose Purpose,
                          Milliseconds Expected) {
  const BootTime Now = BootClock::now();
  // A prompt that is read and then run is sent twice; more is a repeat.
  const bool Repeats = m_Sends > 2 || (m_Runs > 0 && m_Sends > 1);
  if (!m_Traced && !(Repeats && m_Shared.Log.allows(LineKind::Notable, Now)))
    return;
  log::logRequest(
      log::Level::Info, "request-sent", m_Fields.AttemptId, {},
      {{"target", TargetId},
       {"purpose", Purpose == SendPurpose::Run ? "run" : "read-prompt"},
       {"fetchFrom", FetchFrom},
       {"plannedMs", Expected},
       {"timeLeftMs", timeLeft(Now)},
       {"sends", m_Sends},
       {"runs", m_Runs},
       {"eventsBefore", m_Relay.events()},
       {"budgetLeft", m_Shared.Budget.left(m_Service, Now)}});
}

void RequestFlow::logSendEnded(const ServerSend &Which,
                               const dispatch::SendOutcome &How) {
  const BootTime Now = BootClock::now();
  if (!m_Shared.Log.allows(LineKind::Notable, Now))
    return;
  log::logRequest(
      log::Level::Info, "send-ended", m_Fields.AttemptId, {},
      {{"how", dispatch::describe(How)},
       {"purpose", Which.purpose() == SendPurpose::Run ? "run" : "read-prompt"},
       {"target", Which.targetId()},
       {"fingerprint", fingerprintText()},
       {"status", Which.head().Status},
       {"tookMs", Milliseconds(Now - Which.started())},
       {"sends", m_Sends},
       {"runs", m_Runs},
       {"budgetLeft", m_Shared.Budget.left(m_Service, Now)}});
}

void RequestFlow::logEnded(std::string_view Outcome, unsigned Status,
                           std::string_view Reason) {
  const BootTime Now = BootClock::now();
  const Milliseconds First = firstAfter(Now);
  const Milliseconds RunFirst = m_FirstEvent && m_RunSent
                                    ? Milliseconds(*m_FirstEvent - *m_RunSent)
                                    : Milliseconds(0);
  const bool Late = First > Milliseconds(m_Route.LatencyTarget);
  const bool Refused = Outcome == "refused";
  const bool Plain = Outcome == "answered" && !Late && m_Sends <= 2;
  const LineKind Kind = Refused              ? LineKind::Refused
                        : Plain && !m_EndsIn ? LineKind::Plain
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
       {"service", m_Service},
       {"reader", m_Reader},
       {"runner", m_Runner},
       {"fingerprint", fingerprintText()},
       {"promptTokens", m_Fields.Prompt ? m_Fields.Prompt->Tokens : 0},
       {"plannedFirstMs", m_PlannedFirst},
       {"plannedLagMs", m_PlannedLag},
       {"firstMs", First},
       {"plannedReadMs", m_PlannedRead},
       {"readMs", m_ReadTook},
       {"plannedRunMs", m_PlannedRun},
       {"runFirstMs", RunFirst},
       {"tookMs", Milliseconds(Now - m_Started)},
       {"targetMs", m_Route.LatencyTarget},
       // A request without a route has no deadline.
       {"deadlineMs", m_Deadline == BootTime{}
                          ? Milliseconds(0)
                          : Milliseconds(m_Deadline - m_Started)},
       {"endsInMs", m_EndsIn.value_or(Milliseconds(0))},
       {"maximumOutput", m_Fields.Prompt ? m_Fields.Prompt->MaximumOutput : 0},
       {"events", m_Relay.events()},
       {"sends", m_Sends},
       {"runs", m_Runs},
       {"serversSeenMs", Milliseconds(Now - m_Shared.ServersSeen)},
       {"configuration", m_Configuration ? m_Configuration->Version : 0}});
}

} // namespace figlift::gateway
