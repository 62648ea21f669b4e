//===- RequestAnswer.cpp - The answer to one request ----------------------===//
//
// Forwards a server's answer, gives one of our own, and ends the request.
//
//===----------------------------------------------------------------------===//

#include "EngineHousekeeping.h"
#include "RequestFlow.h"

namespace figlift::gateway {

using dispatch::Milliseconds;
using std::chrono::milliseconds;

namespace {

/// Held back for a caller that does not read; more stays at the server.
constexpr size_t MaximumUnsentBytes = 256 << 10;
/// A stream that pauses this many times as long as its route allows for an
/// event on time is late already; callers leave after eight times.
constexpr int EventGapFactor = 3;
constexpr milliseconds MinimumEventSilence{400};

} // namespace

void RequestFlow::sendAnswered(ServerSend &Which) {
  if (streaming())
    Which.streamBody();
}

void RequestFlow::sendBody(ServerSend &Which, std::string Bytes) {
  const std::string Events = m_Relay.feed(Bytes);
  if (Events.empty())
    return;
  if (!m_AnswerBegun) {
    Which.noteSpeed();
    learnRun();
    learnLateness();
    proxy::ResponseHead Head = Which.head();
    Head.Headers = proxy::endToEndHeaders(Head.Headers);
    m_AnswerBegun = true;
    m_FirstEvent = BootClock::now();
    m_Shared.StreamTimes[m_Route.Name].recordStart(*m_FirstEvent);
    m_Caller->beginStream(Head);
  }
  forwardEvents(Events);
}

void RequestFlow::forwardEvents(const std::string &Events) {
  m_Caller->writeStream(Events);
  if (m_Route.Resumable)
    watchNextEvent();
}

/// A server that loses its power or its network sends no reset; its streams
/// stand still until the caller leaves. A stream that can go on elsewhere is
/// watched from event to event.
void RequestFlow::watchNextEvent() {
  const milliseconds Gap =
      m_Route.EventGapTarget.value_or(dispatch::DefaultEventGap);
  armWatch(
      std::max<BootClock::duration>(Gap * EventGapFactor, MinimumEventSilence));
}

bool RequestFlow::wantsMore() const {
  return m_Done || m_Caller->unsent() < MaximumUnsentBytes;
}

void RequestFlow::callerReady() {
  if (m_Send)
    m_Send->resumeReading();
}

void RequestFlow::streamEnded(ServerSend &Which) {
  if (!m_AnswerBegun) {
    proxy::ResponseHead Head = Which.head();
    Head.Headers = proxy::endToEndHeaders(Head.Headers);
    m_Caller->beginStream(Head);
  }
  m_Caller->writeStream(m_Relay.finish());
  m_Caller->endStream();
  finish("answered", Which.head().Status, "");
}

void RequestFlow::forwardWhole(ServerSend &Which) {
  proxy::ResponseHead Head = Which.head();
  Head.Headers = proxy::endToEndHeaders(Head.Headers);
  m_Caller->respond(Head, Which.body());
  finish("answered", Head.Status, "");
}

void RequestFlow::passOn(ServerSend &Which) {
  proxy::ResponseHead Head = Which.head();
  Head.Headers = proxy::endToEndHeaders(Head.Headers);
  // These statuses promise that nothing ran, which this server has not said.
  const bool Promise = Head.Status == 408 || Head.Status == 421 ||
                       Head.Status == 429 || Head.Status == 503;
  if (Promise && !Which.fields().Signed)
    return giveUp(dispatch::OutcomeUnknownStatus, "server failed",
                  milliseconds(0));
  m_Caller->respond(Head, Which.body());
  finish("server-failed", Head.Status, "");
}

void RequestFlow::releaseHandle() {
  if (const auto Held = std::exchange(m_Handle, std::nullopt))
    releaseKvCache(m_Shared, m_Reader, Held->Handle);
}

void RequestFlow::giveUp(unsigned Status, std::string_view Reason,
                         milliseconds RetryAfter) {
  proxy::ResponseHead Head;
  Head.Status = Status;
  slopes::addAttemptId(Head.Headers, m_Fields.AttemptId);
  if (Status == dispatch::NotRunStatus)
    slopes::addRetryAfter(Head.Headers, RetryAfter);
  m_Caller->respond(Head, {});
  finish(Status == dispatch::NotRunStatus ? "refused" : "failed", Status,
         Reason);
}

void RequestFlow::cutOff(std::string_view Reason) {
  const auto Caller = m_Caller;
  finish("cut-off", 0, Reason);
  Caller->abort();
}

/// Ends what no server will answer in time.
void RequestFlow::endUnanswered(std::string_view Reason) {
  if (m_Done)
    return;
  dropSend();
  if (m_AnswerBegun)
    return cutOff(Reason);
  giveUp(m_Runs == 0 ? dispatch::NotRunStatus : dispatch::TimedOutStatus,
         Reason, FailureRetryAfter);
}

void RequestFlow::processEndsSoon() {
  // An answer that has begun may still end by itself.
  if (!m_AnswerBegun)
    endUnanswered("the process ends");
}

void RequestFlow::processEndsNow() { endUnanswered("the process ended"); }

void RequestFlow::dropSend() {
  if (const auto Send = std::exchange(m_Send, nullptr)) {
    abandonExpected(Send->targetId());
    Send->cancel();
  }
  releaseHandle();
}

void RequestFlow::callerGone() {
  if (m_Done)
    return;
  dropSend();
  finish("caller-gone", 0, "");
}

void RequestFlow::finish(std::string_view Outcome, unsigned Status,
                         std::string_view Reason) {
  if (std::exchange(m_Done, true))
    return;
  m_DeadlineTimer.cancel();
  m_WatchTimer.cancel();
  const BootTime Now = BootClock::now();
  if (m_FirstEvent)
    m_Shared.StreamTimes[m_Route.Name].recordEnd(Now);
  noteRequestEnd(m_Shared, m_Route, Outcome, firstAfter(Now));
  logEnded(Outcome, Status, Reason);
}

} // namespace figlift::gateway
