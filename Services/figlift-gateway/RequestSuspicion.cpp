//===- RequestSuspicion.cpp - Whether servers end under a request ---------===//
//
// What one request tells CrashWatch, and whether it is held back.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

namespace figlift::gateway {

const std::optional<dispatch::RequestFingerprint> &RequestFlow::fingerprint() {
  if (!m_Fingerprint)
    m_Fingerprint = m_Shared.Crashes.fingerprintOf(m_Request);
  return m_Fingerprint;
}

/// The server may have ended, and this request may be why.
void RequestFlow::noteBrokenOff(const ServerSend &Which) {
  if (Which.target() && fingerprint())
    m_Shared.Crashes.brokeOff(*m_Fingerprint, *Which.target(), Which.started(),
                              BootClock::now());
}

/// A server ran the request to an end, well or badly, and goes on.
void RequestFlow::noteCompleted() {
  if (m_Shared.Crashes.wantsCompletions() && fingerprint())
    m_Shared.Crashes.completed(*m_Fingerprint, BootClock::now());
}

/// Calm days cost no fingerprints.
bool RequestFlow::isSuspected() {
  const dispatch::CrashSuspects &Suspects = m_Shared.Crashes.suspects();
  return !Suspects.empty() && fingerprint() &&
         Suspects.crashes(*m_Fingerprint) > 0;
}

/// Whether the request may not be sent, as servers ended under it; ends it
/// then.
bool RequestFlow::heldBack() {
  if (!isSuspected())
    return false;
  const dispatch::CrashSuspects &Suspects = m_Shared.Crashes.suspects();
  const BootTime Now = BootClock::now();
  const auto Held = m_Sends == 0
                        ? Suspects.rejectsNewAttempt(*m_Fingerprint, Now)
                        : Suspects.rejectsAttempt(*m_Fingerprint, Now);
  if (!Held)
    return false;
  m_Shared.Crashes.countHeldBack();
  m_Code = ResultCode::CrashesTargets;
  releaseHandle();
  if (m_AnswerBegun)
    cutOff(Held->Reason);
  else
    giveUp(m_Runs == 0 ? dispatch::NotRunStatus
                       : dispatch::OutcomeUnknownStatus,
           Held->Reason, Held->RetryAfter);
  return true;
}

} // namespace figlift::gateway
