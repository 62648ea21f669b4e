//===- RequestSuspicion.cpp - Requests that crash servers -----------------===//
//
// Reports the outcome of a request to CrashWatch, and rejects suspected
// requests.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

const std::optional<dispatch::RequestFingerprint> &RequestFlow::fingerprint() {
  if (!m_Fingerprint)
    m_Fingerprint = m_Shared.Crashes.fingerprintOf(m_Request, m_Tenant);
  return m_Fingerprint;
}

/// The server may have crashed, and this request may be the cause.
void RequestFlow::recordConnectionLost(const ServerSend &Send) {
  if (Send.target() && fingerprint())
    m_Shared.Crashes.connectionLost(*m_Fingerprint, *Send.target(),
                                    Send.started(), BootClock::now());
}

/// A server completed the request, successfully or not, and is still running.
void RequestFlow::recordCompletion(const ServerSend &Send) {
  if (!m_Shared.Crashes.needsCompletions() || !fingerprint())
    return;
  const BootTime Now = BootClock::now();
  if (isSuspected() && m_Shared.Log.allows(LineKind::Notable, Now))
    log::logRequest(
        log::Level::Info, "suspicion-cleared", m_Fields.AttemptId, {},
        {{"fingerprint", fingerprintText()},
         {"crashes", m_Shared.Crashes.suspects().crashes(*m_Fingerprint)},
         {"target", m_ExecutionTarget},
         {"framing", proxy::describe(Send.head().Framing)},
         {"status", Send.head().Status}});
  m_Shared.Crashes.completed(*m_Fingerprint, Now);
}

/// Without any suspicion no fingerprint is computed.
bool RequestFlow::isSuspected() {
  const dispatch::CrashSuspects &Suspects = m_Shared.Crashes.suspects();
  return !Suspects.empty() && fingerprint() &&
         Suspects.crashes(*m_Fingerprint) > 0;
}

/// Rejects the request if servers crashed while executing it, and returns
/// whether it did.
bool RequestFlow::rejectIfSuspected() {
  if (!isSuspected())
    return false;
  const dispatch::CrashSuspects &Suspects = m_Shared.Crashes.suspects();
  const BootTime Now = BootClock::now();
  const auto Rejection = m_Sends == 0
                             ? Suspects.rejectsNewAttempt(*m_Fingerprint, Now)
                             : Suspects.rejectsAttempt(*m_Fingerprint, Now);
  if (!Rejection)
    return false;
  m_Shared.Crashes.recordRejected();
  m_Code = ResultCode::CrashesTargets;
  releaseHandle();
  if (m_ResponseStarted)
    abortStream(Rejection->Reason);
  else
    respondWithError(m_Executions == 0 ? dispatch::NotRunStatus
                                       : dispatch::OutcomeUnknownStatus,
                     Rejection->Reason, Rejection->RetryAfter);
  return true;
}

} // namespace figlift::gateway
