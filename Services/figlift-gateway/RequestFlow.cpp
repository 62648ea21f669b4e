//===- RequestFlow.cpp - Processing of one request ------------------------===//
//
// Plans and sends. Each event leads to exactly one of: another attempt, a part
// of the response, or finish(); see RequestAnswer.cpp for the latter two.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "EngineHousekeeping.h"
#include "LibLog/HandledMessage.h"
#include "platform/EngineCalls.h"

#include <charconv>

namespace figlift::gateway {

using dispatch::Milliseconds;
using dispatch::SendOutcome;
using std::chrono::milliseconds;

namespace {

/// A request without its own deadline ends at its route's timeout. The final
/// response is sent this much earlier, so that it arrives in time.
constexpr milliseconds ResponseMargin{15};
/// A process without a configuration gets one with the next read of the store.
constexpr milliseconds NotReadyRetryAfter{500};
/// Another gateway can accept the request at once.
constexpr milliseconds StoppingRetryAfter{50};

std::optional<uint64_t> eventNumber(const std::optional<std::string> &Text) {
  uint64_t Number = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Number).ec !=
          std::errc{})
    return std::nullopt;
  return Number;
}

} // namespace

RequestFlow::RequestFlow(Context &Shared, proxy::Request Request,
                         std::shared_ptr<proxy::CallerConnection> Caller)
    : m_Shared(Shared), m_Request(std::move(Request)),
      m_Caller(std::move(Caller)), m_DeadlineTimer(Shared.Loop),
      m_SilenceTimer(Shared.Loop), m_Started(BootClock::now()) {}

void RequestFlow::start() {
  if (!m_Done)
    guard([this] { process(); });
}

void RequestFlow::process() {
  auto Fields = slopes::decodeCallerFields(m_Request.Head.Headers);
  if (!Fields) {
    respondWithError(dispatch::RequestError::Invalid, Fields.error().Message,
                     milliseconds(0));
    return;
  }
  m_Fields = std::move(Fields.value());
  const log::HandledMessage Scope("request", m_Fields.AttemptId);
  m_Configuration = m_Shared.Configuration;
  if (!m_Configuration)
    return respondWithError(m_History.errorStatus(), "no configuration yet",
                            NotReadyRetryAfter);
  const auto Host = m_Request.Head.Headers.find("Host").value_or("");
  const dispatch::Route *Route =
      m_Configuration->match(Host, m_Request.Head.path());
  if (!Route)
    return respondWithError(dispatch::RequestError::NoRoute, "no route",
                            milliseconds(0));
  m_Route = *Route;
  if (!authenticate())
    return;
  m_Relay = dispatch::EventRelay(eventNumber(m_Fields.LastEventId));
  m_Service = dispatch::pickService(m_Route, m_Shared.draw());
  milliseconds Allowed = m_Route.Timeout;
  if (m_Fields.Deadline)
    Allowed = std::min(Allowed, *m_Fields.Deadline);
  m_Deadline = m_Started + Allowed;
  m_TimeUntilStop = m_Shared.Stop.timeLeft(m_Started);
  if (!mayStart(Milliseconds(0), m_Started))
    return rejectStopping();
  armDeadline();
  if (streaming() && m_Fields.LastEventId)
    return findOrigin();
  begin();
}

/// The service is known, and the version of a stream that is resumed.
void RequestFlow::begin() {
  m_Shared.Budget.recordRequest(m_Service, m_Started);
  m_Traced = m_Shared.Log.allows(LineKind::Plain, m_Started);
  if (m_Traced)
    logAccepted();
  plan();
}

/// Whether work that starts now ends before the process stops. A stream that
/// has started and has no server any more continues in any case, as there is no
/// better alternative.
bool RequestFlow::mayStart(Milliseconds Expected, BootTime Now) const {
  return m_ResponseStarted || endsBeforeStop(Expected, Now);
}

bool RequestFlow::endsBeforeStop(Milliseconds Expected, BootTime Now) const {
  dispatch::NewWork Work;
  Work.Answer =
      streaming() ? dispatch::AnswerForm::Stream : dispatch::AnswerForm::Whole;
  Work.MayRepeat = m_Route.repeatable() ? dispatch::Repetition::Allowed
                                        : dispatch::Repetition::Forbidden;
  Work.TimeLeft = timeLeft(Now);
  Work.Expected = Expected;
  if (const auto Times = m_Shared.AnswerTimes.find(m_Route.Name);
      Times != m_Shared.AnswerTimes.end())
    Work.Longest = Times->second.longest(Now);
  return m_Shared.Stop.accepts(Work, Now);
}

/// Rejects a request that would not end before the process stops.
void RequestFlow::rejectStopping() {
  releaseHandle();
  respondWithError(m_History.errorStatus(), "the process ends",
                   StoppingRetryAfter);
}

Milliseconds RequestFlow::timeLeft(BootTime Now) const {
  return std::max(Milliseconds(0), Milliseconds(m_Deadline - Now));
}

void RequestFlow::armDeadline() {
  const auto Left = m_Deadline - BootClock::now() - ResponseMargin;
  m_DeadlineTimer.expires_after(Left);
  m_DeadlineTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Stopped) {
        if (!Stopped)
          Self->guard([&] { Self->endWithoutResponse("the deadline passed"); });
      });
}

const dispatch::Service *RequestFlow::engineService() const {
  const dispatch::Service *Service = m_Configuration->service(m_Service);
  return Service && Service->Engine && m_Fields.Prompt ? Service : nullptr;
}

void RequestFlow::plan() {
  if (rejectIfSuspected() || rejectIfVersionLeft() || rejectIfUnrecorded())
    return;
  if (const dispatch::Service *Service = engineService())
    return planPrompt(*Service);
  planService();
}

void RequestFlow::planPrompt(const dispatch::Service &Service) {
  const BootTime Now = BootClock::now();
  if (m_History.sends() == 0)
    recordDemand(m_Shared.costsOf(Service, Now), usableTargets(), Now);
  dispatch::PromptRequest Request = promptRequest(Now);
  Request.HasBegun = m_ResponseStarted;
  const auto Plan = promptPlan(Service, std::move(Request), Now);
  m_PlannedAt = Now;
  m_PlannedLag = m_Shared.StartLags.of(m_Service, m_Route.Name).current(Now);
  if (const auto *Read = std::get_if<dispatch::PrefillThenDecode>(&Plan)) {
    m_PlannedFirst = Read->FirstEvent;
    return startPrefill(*Read);
  }
  if (const auto *Run = std::get_if<dispatch::DecodePlan>(&Plan)) {
    m_PlannedFirst = Run->Expected;
    return startExecution(*Run);
  }
  const auto &Refusal = std::get<dispatch::Rejection>(Plan);
  m_PlannedFirst = Refusal.FirstEvent;
  if (m_ResponseStarted)
    return abortStream(Refusal.Reason);
  respondWithError(m_History.errorStatus(), Refusal.Reason,
                   Refusal.NoneAvailable
                       ? retryAfterBackoff(Refusal.RetryAfter, Now)
                       : Refusal.RetryAfter);
}

void RequestFlow::planService() {
  if (enterQueue())
    return;
  const BootTime Now = BootClock::now();
  startPlanned(servicePlan(Now), Now);
}

void RequestFlow::startPlanned(const dispatch::ServicePlan &Plan,
                               BootTime Now) {
  if (const auto *Chosen = std::get_if<dispatch::ServiceAssignment>(&Plan)) {
    m_PlannedFirst = Chosen->Expected;
    if (m_History.sends() == 0 && !mayStart(Chosen->Expected, Now))
      return rejectStopping();
    return startExecution(
        {Chosen->TargetId, {}, Chosen->Cost, Chosen->Expected, {}});
  }
  const auto &Refusal = std::get<dispatch::ServiceRejection>(Plan);
  if (m_ResponseStarted)
    return abortStream(Refusal.Reason);
  respondWithError(m_History.errorStatus(), Refusal.Reason,
                   Refusal.NoneAvailable
                       ? retryAfterBackoff(Refusal.RetryAfter, Now)
                       : Refusal.RetryAfter);
}

void RequestFlow::startPrefill(const dispatch::PrefillThenDecode &Plan) {
  m_PrefillTarget = Plan.PrefillTarget;
  m_PlannedPrefill = Plan.Expected;
  m_PrefillPlan = Plan.Prefill;
  m_CacheKnown = m_Shared.Loads.cacheReported(Plan.PrefillTarget);
  send(Plan.PrefillTarget, Plan.FetchFrom, SendPurpose::Prefill,
       {Plan.Cost, Plan.Expected, Plan.Prefill.Compute, {}});
}

void RequestFlow::startExecution(const dispatch::DecodePlan &Plan) {
  // Another attempt may have crashed a server during the prefill.
  if (rejectIfSuspected())
    return;
  m_ExecutionTarget = Plan.DecodeTarget;
  m_PlannedExecution = Plan.Expected;
  m_PlannedPause =
      m_Shared.Paces
          .expectedLongestPause(m_Service, Plan.DecodeTarget, BootClock::now())
          .value_or(Milliseconds(0));
  m_ExecutionSent = BootClock::now();
  m_ExecutionPlan = Plan.Prefill;
  m_Spilled = Plan.Spilled;
  if (m_Spilled)
    m_Shared.PrefillSpills[m_Service].recordPlaced(BootClock::now());
  m_CacheKnown = m_Shared.Loads.cacheReported(Plan.DecodeTarget);
  send(Plan.DecodeTarget, Plan.FetchFrom, SendPurpose::Execute,
       {Plan.Cost, Plan.Expected, Plan.Prefill.Compute, {}});
}

void RequestFlow::send(const std::string &TargetId,
                       const std::string &FetchFrom, SendPurpose Purpose,
                       dispatch::Work Work) {
  const BootTime Now = BootClock::now();
  const Milliseconds Expected = Work.Expected;
  slopes::SendFields Fields;
  Fields.TimeLeft = std::chrono::duration_cast<milliseconds>(timeLeft(Now));
  Fields.ExpectedTarget = TargetId;
  Fields.PrefillOnly = Purpose == SendPurpose::Prefill;
  if (Purpose == SendPurpose::Execute)
    Fields.Source = m_Handle;
  Fields.Tenant = m_Tenant;
  Fields.EnginePriority = Work.EnginePriority = enginePriority(Now);
  if (const dispatch::Target *Source = m_Shared.Targets.find(FetchFrom))
    Fields.FetchFrom = Source->Address.toString();
  if (const auto LastEvent = m_Relay.lastEvent();
      LastEvent && m_Relay.events() > 0)
    Fields.LastEventId = std::to_string(*LastEvent);
  proxy::HeaderList Headers = slopes::forwardedFields(m_Request.Head.Headers);
  slopes::applySendFields(Headers, Fields);
  m_EventsBefore = m_Relay.events();
  m_Relay.restart();
  m_Progress.serverChanged();
  m_WritingSince.reset();
  m_HasSurvived = false;
  // The run of an earlier send stays counted however this one ends.
  m_UsageWindow.reset();
  m_Send = std::make_shared<ServerSend>(m_Shared, *this, TargetId, Purpose,
                                        m_Fields.AttemptId,
                                        m_History.begin(Purpose, TargetId));
  if (!engineCostsKnown(Now))
    Work.Expected = Milliseconds(0);
  if (mayUseVersionOf(TargetId) &&
      m_Send->start(proxy::serializeRequestHead(m_Request.Head, Headers,
                                                m_Request.Body.size()),
                    sharedBody(), Work, m_History)) {
    chargeRetry(Purpose, Now);
    expectCached(TargetId, Expected);
    if (Purpose == SendPurpose::Execute && !streaming())
      recordUsage();
    logSent(TargetId, FetchFrom, Purpose, Fields, Expected);
    recordSuspectSend(Now);
    return armSendTimeout(Expected + m_PlannedLag);
  }
  const auto Unsent = m_Send;
  sendEnded(*Unsent, dispatch::NotSent{});
}

/// The first prefill and the first execution of a request are free. Each
/// further one that reaches a server is charged as a retry, also when both are
/// repeated after a rejected execution. The second one is sent much later then;
/// other requests must not use up the budget for it meanwhile.
void RequestFlow::chargeRetry(SendPurpose Purpose, BootTime Now) {
  const bool IsPrefill = Purpose == SendPurpose::Prefill;
  unsigned &Charged = IsPrefill ? m_ChargedPrefills : m_ChargedExecutions;
  if (m_History.arrivals(Purpose) > Charged + 1) {
    ++Charged;
    m_Shared.Budget.recordRetry(m_Service, Now);
  }
  if (!IsPrefill)
    return cancelReservedRetry();
  if (hasArrived(SendPurpose::Execute) &&
      !std::exchange(m_ExecutionReserved, true))
    m_Shared.Budget.reserveRetry(m_Service);
}

void RequestFlow::cancelReservedRetry() {
  if (std::exchange(m_ExecutionReserved, false))
    m_Shared.Budget.cancelReservation(m_Service);
}

/// Retries that the next attempt may be charged with and that are not reserved
/// yet.
double RequestFlow::retryCost() const {
  const bool RepeatsExecution =
      hasArrived(SendPurpose::Execute) && !m_ExecutionReserved;
  return hasArrived(SendPurpose::Prefill) && RepeatsExecution ? 2 : 1;
}

void RequestFlow::sendCompleted(ServerSend &Send) {
  guard([&] { completed(Send); });
}

void RequestFlow::completed(ServerSend &Send) {
  m_SilenceTimer.cancel();
  m_Send = nullptr;
  if (Send.purpose() == SendPurpose::Prefill)
    return prefillCompleted(Send);
  recordAnswerEnd(Send);
  recordSlotFreed(Send, std::nullopt);
  if (m_Handle && m_HandleRejected)
    m_Shared.KvReuses[m_Service].recordRetry(true, BootClock::now());
  m_Handle.reset();
  recordCompletion(Send);
  if (m_Fields.Prompt && !Send.targetRestarted())
    recordCached(Send.targetId());
  if (streaming())
    return streamEnded(Send);
  forwardBuffered(Send);
}

void RequestFlow::prefillCompleted(ServerSend &Send) {
  const auto Read = slopes::decodePrefillResult(Send.takeBody());
  const dispatch::Target *PrefillTarget =
      m_Shared.Targets.find(Send.targetId());
  if (!Read || !PrefillTarget || Send.targetRestarted())
    return sendEnded(Send, dispatch::ConnectionLost{});
  recordCached(Send.targetId());
  m_PrefillTime = BootClock::now() - Send.started();
  learnPrefill();
  m_Handle =
      slopes::KvSource{PrefillTarget->Address.toString(), Read.value().Handle};
  m_HandleRejected = false;
  const BootTime Now = BootClock::now();
  // SIGTERM may have arrived during the prefill.
  if (!mayStart(Milliseconds(0), Now))
    return rejectStopping();
  const auto Decode = chooseDecodeTarget(Now);
  if (!Decode) {
    releaseHandle();
    if (m_ResponseStarted)
      return abortStream("no decode engine available");
    return respondWithError(m_History.errorStatus(),
                            "no decode engine available",
                            retryAfterBackoff(FailureRetryAfter, Now));
  }
  startExecution(*Decode);
}

/// Chooses the target that decodes after the prefill at m_PrefillTarget.
std::optional<dispatch::DecodePlan>
RequestFlow::chooseDecodeTarget(BootTime Now) {
  return m_Shared.Prompts.chooseDecodeTarget(
      promptRequest(Now), m_Shared.Targets.find(m_PrefillTarget),
      usableTargets(), m_Shared.costsOf(*engineService(), Now), Now);
}

/// An execution that reached no engine, or was rejected, has not consumed the
/// KV cache of its prefill. After a rejection the cache is reused once.
bool RequestFlow::mayReuseHandle(const SendOutcome &End, BootTime Now) {
  if (!m_Handle)
    return false;
  if (std::holds_alternative<dispatch::NotSent>(End))
    return true;
  if (!std::holds_alternative<dispatch::Rejected>(End))
    return false;
  dispatch::KvReuse &Reuse = m_Shared.KvReuses[m_Service];
  if (std::exchange(m_HandleRejected, true)) {
    Reuse.recordRetry(false, Now);
    return false;
  }
  return Reuse.shouldRetry(Now) &&
         timeLeft(Now) >= m_Shared.Retries.MinimumTimeLeft &&
         m_Shared.Budget.remaining(m_Service, Now) >= 1;
}

/// Decodes at another engine from the existing KV cache, as the first
/// execution of the request. A new plan would repeat the prefill: two arrivals
/// instead of one, and the retry budget is not consulted for an execution that
/// was not sent.
bool RequestFlow::decodeElsewhere(const ServerSend &Failed, BootTime Now) {
  if (m_History.countedSends() >= m_Shared.Retries.MaximumSends ||
      !mayStart(Milliseconds(0), Now))
    return false;
  m_Excluded.push_back(Failed.targetId());
  const auto Decode = chooseDecodeTarget(Now);
  if (Decode)
    startExecution(*Decode);
  return Decode.has_value();
}

void RequestFlow::sendEnded(ServerSend &Send, SendOutcome End) {
  guard([&] { ended(Send, End); });
}

void RequestFlow::ended(ServerSend &Send, const SendOutcome &End) {
  m_History.end(Send.number(), End);
  m_SilenceTimer.cancel();
  m_Send = nullptr;
  if (!dispatch::mayHaveRun(End))
    undoUsage();
  abandonExpectedCache(Send.targetId());
  if (std::holds_alternative<dispatch::ConnectionLost>(End))
    recordConnectionLost(Send);
  if (const auto *Failed = std::get_if<dispatch::ServerFailed>(&End);
      Failed && dispatch::promisesNotRun(Failed->Status))
    recordUnprovenRejection(m_Shared, Failed->Status);
  recordAnswerEnd(Send);
  logSendEnded(Send, End);
  recordServerStream(Send, "broken-off");
  recordSlotFreed(Send, End);
  handleFailedSend(End, Send);
}

dispatch::NextStep RequestFlow::nextStep(const SendOutcome &End,
                                         const ServerSend &Send) {
  const BootTime Now = BootClock::now();
  dispatch::RequestProgress Progress;
  Progress.AnswerBegun = m_ResponseStarted;
  Progress.TimeLeft = timeLeft(Now);
  Progress.MaximumRuns = m_Route.MaximumAttempts;
  Progress.Repeatable = m_Route.repeatable() && mayRetryIfSuspected();
  Progress.EndsBeforeStop = mayStart(m_PlannedFirst, Now);
  if (Send.purpose() == SendPurpose::Prefill && m_History.executions() == 0) {
    // A prefill does not execute the request.
    Progress.Repeatable = !m_IsTrial;
    Progress.MaximumRuns = m_Shared.Retries.MaximumSends;
  }
  return dispatch::decideNext(m_Shared.Retries, Progress, m_History, End, [&] {
    // An attempt that reached no server has not used any time of the service.
    // Once a part of the request has reached a server, the next attempt may
    // count as a retry.
    const bool NothingArrived =
        std::holds_alternative<dispatch::NotSent>(End) &&
        !hasArrived(SendPurpose::Prefill) && !hasArrived(SendPurpose::Execute);
    return NothingArrived ||
           m_Shared.Budget.remaining(m_Service, Now) >= retryCost();
  });
}

void RequestFlow::handleFailedSend(const SendOutcome &End, ServerSend &Send) {
  const BootTime Now = BootClock::now();
  if (std::holds_alternative<dispatch::Rejected>(End) && engineService())
    m_Shared.StartLags.of(m_Service, m_Route.Name)
        .recordRejection(m_Route.LatencyTarget, Now);
  // The engine that the stream was moved away from would have gone on.
  if (const std::string Source = std::exchange(m_MovedFrom, {});
      !Source.empty() && !dispatch::mayHaveRun(End))
    std::erase(m_Excluded, Source);
  if (mayReuseHandle(End, Now) && decodeElsewhere(Send, Now))
    return;
  const auto Next = nextStep(End, Send);
  if (std::holds_alternative<dispatch::Retry>(Next))
    return retry(Send);
  releaseHandle();
  if (std::holds_alternative<dispatch::ServerFailed>(End))
    recordFailure();
  if (std::holds_alternative<dispatch::ForwardFailure>(Next))
    return forwardFailure(Send);
  if (const auto *Final = std::get_if<dispatch::GiveUp>(&Next))
    return respondWithError(Final->Status, dispatch::describe(End),
                            FailureRetryAfter);
  abortStream(dispatch::describe(End));
}

void RequestFlow::retry(const ServerSend &Failed) {
  if (m_HasInputEnded)
    return endWithoutCaller();
  // A request that a full server rejected may wait for a slot of that server.
  if (!std::exchange(m_RejectedByFullServer, false))
    m_Excluded.push_back(Failed.targetId());
  releaseHandle();
  plan();
}

} // namespace figlift::gateway
