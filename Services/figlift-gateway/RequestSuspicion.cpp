//===- RequestSuspicion.cpp - Requests that crash servers -----------------===//
//
// Reports the outcome of a request to CrashWatch, and rejects requests that are
// suspected, or a part of whose prompt is.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

namespace figlift::gateway {

namespace {

/// Several times as long as servers take to crash once they begin to write.
constexpr std::chrono::milliseconds SurvivalTime{500};

} // namespace

const std::optional<dispatch::RequestCauses> &RequestFlow::causes() {
  if (!m_Causes)
    m_Causes = m_Shared.Crashes.causesOf(m_Request, m_Tenant, m_Service,
                                         m_Fields.Prompt);
  return m_Causes;
}

/// The server may have crashed, and this request may be the cause.
void RequestFlow::recordConnectionLost(const ServerSend &Send) {
  if (Send.target() && causes())
    m_Shared.Crashes.connectionLost(
        *Send.target(),
        {*m_Causes, Send.started(), BootClock::now(), m_HasSurvived});
}

/// A server completed the request. It may have crashed all the same.
void RequestFlow::recordCompletion(const ServerSend &Send) {
  // An answer that only looks complete may be the first sign of a crash.
  const bool EndedWithConnection =
      Send.head().Framing == proxy::BodyFraming::ConnectionEnd;
  const bool IsNeeded =
      EndedWithConnection || m_Shared.Crashes.needsCompletions();
  if (!IsNeeded || !Send.target() || !causes())
    return;
  const BootTime Now = BootClock::now();
  m_Shared.Crashes.completed(Send.target()->start(),
                             {*m_Causes, Send.started(),
                              m_WritingSince.value_or(Send.started()), Now,
                              EndedWithConnection},
                             Now);
}

/// A server failed the request and is still running.
void RequestFlow::recordFailure() {
  if (m_Shared.Crashes.needsCompletions() && causes())
    m_Shared.Crashes.failed(*m_Causes, BootClock::now());
}

/// A server writes an answer. Once it has been writing for long, this request
/// does not crash it.
void RequestFlow::recordWriting() {
  if (m_HasSurvived)
    return;
  const BootTime Now = BootClock::now();
  if (!m_WritingSince)
    m_WritingSince = Now;
  m_HasSurvived = Now - *m_WritingSince >= SurvivalTime;
  if (m_HasSurvived && m_Shared.Crashes.needsCompletions() && causes())
    m_Shared.Crashes.survived(*m_Causes, *m_WritingSince, Now);
}

/// The prefill and the execution of a request are one trial.
void RequestFlow::recordSuspectSend(BootTime Now) {
  if (!isSuspected())
    return;
  if (m_TrialId == 0)
    m_TrialId = m_Shared.Random();
  if (m_Shared.Crashes.sent(*m_Causes, m_TrialId, Now))
    m_IsTrial = true;
}

/// Without any suspicion no fingerprint is computed.
bool RequestFlow::isSuspected() {
  return m_Shared.Crashes.hasSuspects() && causes() &&
         m_Shared.Crashes.isSuspected(*m_Causes);
}

bool RequestFlow::mayRetryIfSuspected() {
  return !m_IsTrial && (!isSuspected() || m_Shared.Crashes.mayRetry(*m_Causes));
}

/// Rejects the request if servers crashed while executing it, and returns
/// whether it did.
bool RequestFlow::rejectIfSuspected() {
  // A trial goes on to its execution.
  if (m_IsTrial && m_History.executions() == 0 && m_Handle)
    return false;
  if (!isSuspected())
    return false;
  const BootTime Now = BootClock::now();
  const auto Rejection = m_Shared.Crashes.rejects(
      *m_Causes,
      m_History.sends() == 0 ? AttemptStage::New : AttemptStage::Begun, Now);
  if (!Rejection)
    return false;
  m_Shared.Crashes.recordRejected();
  m_Code = ResultCode::CrashesTargets;
  m_CrashCause = Rejection->Cause;
  releaseHandle();
  if (m_ResponseStarted)
    abortStream(Rejection->Reason);
  else
    respondWithError(m_History.errorStatus(), Rejection->Reason,
                     Rejection->RetryAfter);
  return true;
}

} // namespace figlift::gateway
