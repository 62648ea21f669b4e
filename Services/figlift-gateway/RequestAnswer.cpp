//===- RequestAnswer.cpp - The response to one request --------------------===//
//
// Forwards a server's response, generates one in the gateway, and ends the
// request.
//
//===----------------------------------------------------------------------===//

#include "BrokenOffAnswer.h"
#include "EngineHousekeeping.h"
#include "RequestFlow.h"
#include "WholeStream.h"

namespace figlift::gateway {

using dispatch::Milliseconds;
using std::chrono::milliseconds;

namespace {

/// Limit of bytes buffered for a slow caller; further bytes stay at the
/// server.
constexpr size_t MaximumUnsentBytes = 256 << 10;
/// The same while callers and servers use up the memory.
constexpr size_t MaximumUnsentWhenScarce = 32 << 10;
/// A stream that is silent for this multiple of the event gap that its route
/// targets is late already; callers disconnect after eight times the gap.
constexpr int EventTimeoutFactor = 3;
constexpr milliseconds MinimumEventTimeout{400};
/// An event has some tokens, of some bytes each.
constexpr size_t MaximumEventBytes = 256 << 10;

} // namespace

void RequestFlow::sendAnswered(ServerSend &Send) {
  if (streaming())
    Send.streamBody();
}

void RequestFlow::prefillRuns(ServerSend &Send) {
  m_History.recordRun(Send.number());
  m_ExecutionTarget = Send.targetId();
  m_ExecutionSent = Send.started();
  m_ExecutionPlan = m_PrefillPlan;
  m_PlannedExecution = m_PlannedPrefill;
}

bool RequestFlow::isWholeBody(ServerSend &Send) {
  return isWholeStream(m_Relay.end(), Send.head().Framing);
}

/// A stream must not go on elsewhere after m_Relay has read events that its
/// caller has not been sent.
void RequestFlow::sendBody(ServerSend &Send, std::string Bytes) {
  guard([&] { received(Send, Bytes); });
}

void RequestFlow::received(ServerSend &Send, const std::string &Bytes) {
  recordWriting();
  const std::string Events = m_Relay.feed(Bytes);
  if (m_Relay.incompleteBytes() > MaximumEventBytes)
    return Send.breakOff("longer than any event");
  if (!Send.holdBytes(m_Relay.incompleteBytes()))
    return Send.breakOff(BrokenOffAnswer::NoMemory);
  if (Events.empty())
    return;
  recordUsage();
  if (!m_ResponseStarted) {
    Send.recordLatency();
    learnExecutionStart();
    learnStartLag();
    learnSpill();
    proxy::ResponseHead Head = Send.head();
    Head.Headers = proxy::endToEndHeaders(Head.Headers);
    m_ResponseStarted = true;
    bindToVersionOf(Send);
    m_FirstEvent = BootClock::now();
    m_Shared.StreamTimes[m_Route.Name].recordStart(*m_FirstEvent);
    m_Caller->beginStream(Head);
  }
  learnPace();
  forwardEvents(Events);
  moveIfBetter();
}

void RequestFlow::forwardEvents(const std::string &Events) {
  m_Caller->writeStream(Events);
  if (m_Route.Resumable)
    armEventTimeout();
}

/// A server that loses power or network sends no reset, and its streams stall
/// until the caller disconnects. Resumable streams are therefore monitored
/// with a timeout for each event.
void RequestFlow::armEventTimeout() {
  const milliseconds Gap =
      m_Route.EventGapTarget.value_or(dispatch::DefaultEventGap);
  armSilenceTimeout(std::max<BootClock::duration>(Gap * EventTimeoutFactor,
                                                  MinimumEventTimeout));
}

bool RequestFlow::wantsMore() const {
  const MemoryBudget &Memory = m_Shared.Memory;
  const bool IsMemoryScarce = Memory.used() > Memory.maximum() / 2;
  const size_t Maximum =
      IsMemoryScarce ? MaximumUnsentWhenScarce : MaximumUnsentBytes;
  return m_Done || m_Caller->unsentBytes() < Maximum;
}

void RequestFlow::callerWritable() {
  if (m_Send)
    m_Send->resumeReading();
}

/// Counts how the event streams of servers end, and where.
void RequestFlow::recordServerStream(const ServerSend &Send,
                                     std::string_view Outcome) {
  const bool IsStream = streaming() && Send.head().Status / 100 == 2 &&
                        Send.purpose() == SendPurpose::Execute;
  if (!IsStream)
    return;
  const bool IsInsideEvent = m_Relay.incompleteBytes() > 0;
  m_Shared.Metrics
      .counter("figlift_gateway_server_streams_total",
               "Event streams of servers that ended",
               {{"framing", std::string(describe(Send.head().Framing))},
                {"outcome", std::string(Outcome)},
                {"at", IsInsideEvent ? "inside-event" : "event"}})
      .add();
}

void RequestFlow::streamEnded(ServerSend &Send) {
  recordServerStream(Send, "complete");
  if (!m_ResponseStarted) {
    proxy::ResponseHead Head = Send.head();
    Head.Headers = proxy::endToEndHeaders(Head.Headers);
    m_Caller->beginStream(Head);
  }
  m_Caller->endStream();
  learnPauseRatio();
  finish("answered", Send.head().Status, "");
}

void RequestFlow::forwardBuffered(ServerSend &Send) {
  proxy::ResponseHead Head = Send.head();
  Head.Headers = proxy::endToEndHeaders(Head.Headers);
  m_Caller->respond(Head, Send.takeBody());
  finish("answered", Head.Status, "");
}

void RequestFlow::forwardFailure(ServerSend &Send) {
  proxy::ResponseHead Head = Send.head();
  Head.Headers = proxy::endToEndHeaders(Head.Headers);
  m_Caller->respond(Head, Send.takeBody());
  finish("server-failed", Head.Status, "");
}

void RequestFlow::releaseHandle() {
  if (const auto Handle = std::exchange(m_Handle, std::nullopt))
    releaseKvCache(m_Shared, m_PrefillTarget, Handle->Handle);
}

void RequestFlow::respondWithError(dispatch::ErrorStatus Status,
                                   std::string_view Reason,
                                   milliseconds RetryAfter) {
  proxy::ResponseHead Head;
  Head.Status = Status.code();
  slopes::addAttemptId(Head.Headers, m_Fields.AttemptId);
  if (Status.promisesNotRun()) {
    slopes::addRetryAfter(Head.Headers, RetryAfter);
    recordRefusal(m_Shared, m_History.notRunBasis());
  }
  m_Caller->respond(Head, {});
  finish(Status.promisesNotRun() ? "refused" : "failed", Status.code(), Reason);
}

void RequestFlow::abortStream(std::string_view Reason) {
  const auto Caller = m_Caller;
  finish("cut-off", 0, Reason);
  Caller->abort();
}

/// Ends a request that no server will answer in time.
void RequestFlow::endWithoutResponse(std::string_view Reason) {
  if (m_Done)
    return;
  cancelSend();
  if (m_ResponseStarted)
    return abortStream(Reason);
  respondWithError(m_History.errorStatus(dispatch::MissingAnswer::TimedOut),
                   Reason, FailureRetryAfter);
}

void RequestFlow::drop() {
  // The end may throw as well.
  const bool HasEnded =
      log::guarded("end of a request", m_Fields.AttemptId, [this] {
        if (m_Done)
          return;
        cancelSend();
        // A second answer would be taken for the one to the next request.
        if (m_ResponseStarted || m_Caller->hasAnswerBegun())
          return abortStream("an unexpected error");
        respondWithError(m_History.errorStatus(), "an unexpected error",
                         FailureRetryAfter);
      });
  if (!HasEnded)
    log::guarded("end of a request", m_Fields.AttemptId,
                 [this] { m_Caller->abort(); });
}

void RequestFlow::processStopping() {
  // A response that has started may still complete in time.
  if (m_ResponseStarted)
    return;
  m_IsGivenUp = true;
  guard([this] { endWithoutResponse("the process ends"); });
}

void RequestFlow::processExiting() {
  m_IsGivenUp = true;
  guard([this] { endWithoutResponse("the process ended"); });
}

void RequestFlow::cancelSend() {
  if (const auto Send = std::exchange(m_Send, nullptr)) {
    abandonExpectedCache(Send->targetId());
    Send->cancel();
    m_Shared.Queues.wake();
  }
  releaseHandle();
}

void RequestFlow::callerDisconnected() {
  if (m_Done)
    return;
  cancelSend();
  finish("caller-gone", 0, "");
}

/// Callers that have left look like callers that have ended their input and
/// wait. The work on what may be repeated, and on streams, ends with the input,
/// and the caller is told so. Other requests that have been passed on are
/// answered: their callers could not send them again.
bool RequestFlow::callerEndedInput() {
  if (m_Done)
    return true;
  if (m_ResponseStarted)
    return false;
  m_HasInputEnded = true;
  if (goesOnWithoutInput())
    return true;
  endWithoutCaller();
  return true;
}

bool RequestFlow::goesOnWithoutInput() const {
  return m_Send && m_Send->purpose() == SendPurpose::Execute && !streaming() &&
         !m_Route.repeatable();
}

void RequestFlow::endWithoutCaller() {
  cancelSend();
  const dispatch::ErrorStatus Status = m_History.errorStatus();
  proxy::ResponseHead Head;
  Head.Status = Status.code();
  slopes::addAttemptId(Head.Headers, m_Fields.AttemptId);
  if (Status.promisesNotRun())
    slopes::addRetryAfter(Head.Headers, FailureRetryAfter);
  m_Caller->closeAfterResponse();
  m_Caller->respond(Head, {});
  finish("caller-gone", Status.code(), "the caller ended its input");
}

void RequestFlow::finish(std::string_view Outcome, unsigned Status,
                         std::string_view Reason) {
  if (std::exchange(m_Done, true))
    return;
  m_DeadlineTimer.cancel();
  m_SilenceTimer.cancel();
  cancelReservedRetry();
  // The request has ended: what throws from here on is left out.
  log::guarded("end of a request", m_Fields.AttemptId,
               [this] { leaveQueue(); });
  log::guarded("end of a request", m_Fields.AttemptId, [&] {
    recordStreamEnd();
    const BootTime Now = BootClock::now();
    if (m_FirstEvent)
      m_Shared.StreamTimes[m_Route.Name].recordEnd(Now);
    if (!streaming() && m_History.sends() > 0)
      m_Shared.AnswerTimes[m_Route.Name].record(Now - m_Started, Now);
    recordRequestEnd(m_Shared, m_Route, Outcome, firstAfter(Now));
    recordEndWhileStopping(Outcome);
    logEnded(Outcome, Status, Reason);
  });
}

void RequestFlow::recordEndWhileStopping(std::string_view Outcome) {
  if (m_Shared.Stop.begun())
    m_Shared.Stops.record({m_IsGivenUp ? StopMetrics::GivenUp : Outcome,
                           m_TimeUntilStop.has_value(), m_Route.repeatable()});
}

} // namespace figlift::gateway
