//===- RequestLines.cpp - Lines of one request on its way -----------------===//
//
// What was decided and by which inputs; the line of the end is written by
// finish().
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
                               const dispatch::SendEnd &How) {
  const BootTime Now = BootClock::now();
  if (!m_Shared.Log.allows(LineKind::Notable, Now))
    return;
  log::logRequest(
      log::Level::Info, "send-ended", m_Fields.AttemptId, {},
      {{"how", dispatch::describe(How)},
       {"purpose", Which.purpose() == SendPurpose::Run ? "run" : "read-prompt"},
       {"target", Which.targetId()},
       {"status", Which.head().Status},
       {"tookMs", Milliseconds(Now - Which.started())},
       {"sends", m_Sends},
       {"runs", m_Runs},
       {"budgetLeft", m_Shared.Budget.left(m_Service, Now)}});
}

} // namespace figlift::gateway
