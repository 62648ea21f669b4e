//===- RequestQueue.cpp - The wait of one request for a plain service -----===//
//
// Puts a request that has not run into the queue of its service while the
// servers are full, and sends or refuses it as the queue decides.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

using dispatch::Milliseconds;

namespace {

/// Share of its deadline that a request may wait if its route allows no second
/// attempt.
constexpr double SingleAttemptShare = 0.8;

} // namespace

/// Whether the request may wait: only one that has not run, so that its caller
/// can be told so at any time.
bool RequestFlow::mayQueue(BootTime Now) const {
  const dispatch::Service *Service = m_Configuration->service(m_Service);
  const bool IsPlainService = Service && !Service->Engine;
  return IsPlainService && !m_ResponseStarted && !m_BoundVersion &&
         m_History.executions() == 0 &&
         m_Shared.Queues.isActive(m_Service, Now);
}

/// How long the request may wait, counted from its arrival and reduced by the
/// expected time for its answer.
BootTime RequestFlow::queueLimit(BootTime Now) const {
  const Milliseconds Work = m_Shared.Queues.expectedAnswerTime(m_Service, Now);
  const Milliseconds Allowed = m_Deadline - m_Started;
  Milliseconds Limit = std::min(Milliseconds(m_Route.LatencyTarget), Allowed);
  if (m_Route.MaximumAttempts == 1)
    Limit = std::max(Limit, Allowed * SingleAttemptShare);
  return m_Started + std::chrono::duration_cast<BootClock::duration>(
                         std::max(Milliseconds(0), Limit - Work));
}

bool RequestFlow::enterQueue() {
  const BootTime Now = BootClock::now();
  if (!mayQueue(Now))
    return false;
  dispatch::QueuedRequest Waiting;
  Waiting.Priority = m_Route.Priority;
  Waiting.Deadline = m_Deadline;
  Waiting.WaitUntil = queueLimit(Now);
  Waiting.Bytes = m_Request.Body.size() + m_Request.Head.Target.size();
  Waiting.Excluded = m_Excluded;
  // The queue grants servers without regard to their software versions.
  if (beginsResumable())
    for (const dispatch::Target *Candidate : m_Shared.Open.all(m_Service))
      if (!mayUseVersionOf(Candidate->Id))
        Waiting.Excluded.push_back(Candidate->Id);
  const size_t Before = m_Shared.Queues.waitingFor(m_Service);
  m_QueueId = 0;
  const uint64_t Id =
      m_Shared.Queues.arrive(m_Service, Waiting, shared_from_this());
  if (!m_Shared.Queues.isWaiting(Id))
    // Sent or refused, or there is nothing to wait for.
    return Id != 0;
  m_QueueId = Id;
  m_QueuedAt = Now;
  if (m_Traced || m_Shared.Log.allows(LineKind::Notable, Now))
    log::logRequest(log::Level::Info, "request-queued", m_Fields.AttemptId, {},
                    {{"service", m_Service},
                     {"route", m_Route.Name},
                     {"priority", m_Route.Priority},
                     {"before", Before},
                     {"waiting", m_Shared.Queues.waitingFor(m_Service)},
                     {"freeSlots", m_Shared.Queues.freeSlots(m_Service, Now)},
                     {"mayWaitMs", Milliseconds(Waiting.WaitUntil - Now)},
                     {"sends", m_History.sends()}});
  return true;
}

void RequestFlow::logDequeued(std::string_view Outcome, Milliseconds Waited,
                              size_t Ahead) {
  const BootTime Now = BootClock::now();
  if (!m_Traced && !m_Shared.Log.allows(LineKind::Notable, Now))
    return;
  log::logRequest(log::Level::Info, "request-dequeued", m_Fields.AttemptId, {},
                  {{"service", m_Service},
                   {"outcome", Outcome},
                   {"waitedMs", Waited},
                   {"position", Ahead},
                   {"waiting", m_Shared.Queues.waitingFor(m_Service)},
                   {"freeSlots", m_Shared.Queues.freeSlots(m_Service, Now)},
                   {"timeLeftMs", timeLeft(Now)}});
}

void RequestFlow::queueGranted(const dispatch::QueueSend &Grant) {
  guard([&] { granted(Grant); });
}

void RequestFlow::granted(const dispatch::QueueSend &Grant) {
  const bool HasWaited = std::exchange(m_QueueId, 0) != 0;
  if (m_Done)
    return;
  const BootTime Now = BootClock::now();
  if (HasWaited) {
    // After a delay of the process the caller may have left, or the deadline
    // may have passed, before the loop handles either.
    if (m_Caller->hasCallerLeft()) {
      logDequeued("caller-gone", Grant.Waited, Grant.Ahead);
      m_Shared.Queues.wake();
      return callerDisconnected();
    }
    logDequeued("sent", Grant.Waited, Grant.Ahead);
  }
  // Others may have used up the retry budget during the wait.
  const bool IsRepeatedArrival = hasArrived(SendPurpose::Execute);
  if (IsRepeatedArrival &&
      (timeLeft(Now) < m_Shared.Retries.MinimumTimeLeft ||
       m_Shared.Budget.remaining(m_Service, Now) < retryCost())) {
    m_Shared.Queues.wake();
    return respondWithError(m_History.errorStatus(), "rejected, not run",
                            FailureRetryAfter);
  }
  OpenTargets::List Only;
  if (const dispatch::Target *Server = m_Shared.Targets.find(Grant.TargetId))
    Only.push_back(Server);
  startPlanned(
      m_Shared.Services.plan({timeLeft(Now), {}, m_Shared.draw()}, Only, Now),
      Now);
}

void RequestFlow::queueRefused(const dispatch::QueueRefusal &Refusal) {
  const bool HasWaited = std::exchange(m_QueueId, 0) != 0;
  if (m_Done)
    return;
  guard([&] {
    if (HasWaited)
      logDequeued("refused", Refusal.Waited, Refusal.Ahead);
    respondWithError(m_History.errorStatus(), Refusal.Reason,
                     Refusal.RetryAfter);
  });
}

void RequestFlow::leaveQueue() {
  if (const uint64_t Id = std::exchange(m_QueueId, 0)) {
    const size_t Ahead = m_Shared.Queues.leave(Id);
    logDequeued("left", BootClock::now() - m_QueuedAt, Ahead);
  }
}

/// The slot of an ended send may be free for a request that waits.
void RequestFlow::recordSlotFreed(const ServerSend &Send,
                                  std::optional<dispatch::SendOutcome> End) {
  m_Shared.Queues.wake();
  m_RejectedByFullServer = false;
  const dispatch::Service *Service = m_Configuration->service(m_Service);
  if (!Service || Service->Engine || !Send.target())
    return;
  const BootTime Now = BootClock::now();
  if (!End)
    m_Shared.Queues.recordAnswer(*Send.target(), Now - Send.started(), Now);
  else if (std::holds_alternative<dispatch::Rejected>(*End) &&
           Send.head().Status == dispatch::NotRunStatus &&
           !Send.targetRestarted())
    m_RejectedByFullServer =
        m_Shared.Queues.recordRejection(*Send.target(), Now);
}

} // namespace figlift::gateway
