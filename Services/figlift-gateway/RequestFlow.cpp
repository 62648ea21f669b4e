//===- RequestFlow.cpp - One request from its caller to its answer --------===//
//
// Plans and sends. Each event ends in exactly one of: another send, a part of
// the answer, or finish(); see RequestAnswer.cpp for the latter two.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "platform/EngineCalls.h"

#include <charconv>

namespace figlift::gateway {

using dispatch::Milliseconds;
using dispatch::SendEnd;
using std::chrono::milliseconds;

namespace {

/// A request without a deadline of its own ends at its route's timeout; the
/// final answer leaves this much earlier, so that it arrives in time.
constexpr milliseconds AnswerMargin{15};
/// A process without a configuration gets one within a read of the store.
constexpr milliseconds NotReadyRetryAfter{500};
/// Another gateway takes it at once.
constexpr milliseconds EndingRetryAfter{50};

std::optional<uint64_t> eventNumber(const std::optional<std::string> &Text) {
  uint64_t Number = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Number).ec !=
          std::errc{})
    return std::nullopt;
  return Number;
}

} // namespace

RequestFlow::RequestFlow(Context &Shared, proxy::Request What,
                         std::shared_ptr<proxy::CallerConnection> Caller)
    : m_Shared(Shared), m_Request(std::move(What)), m_Caller(std::move(Caller)),
      m_DeadlineTimer(Shared.Loop), m_WatchTimer(Shared.Loop),
      m_Started(BootClock::now()) {}

void RequestFlow::start() {
  auto Fields = slopes::decodeCallerFields(m_Request.Head.Headers);
  if (!Fields) {
    giveUp(400, Fields.error().Message, milliseconds(0));
    return;
  }
  m_Fields = std::move(Fields.value());
  m_Configuration = m_Shared.Configuration;
  if (!m_Configuration)
    return giveUp(dispatch::NotRunStatus, "no configuration yet",
                  NotReadyRetryAfter);
  const auto Host = m_Request.Head.Headers.find("Host").value_or("");
  const dispatch::Route *Found =
      m_Configuration->match(Host, m_Request.Head.path());
  if (!Found)
    return giveUp(404, "no route", milliseconds(0));
  m_Route = *Found;
  m_Relay = dispatch::EventRelay(eventNumber(m_Fields.LastEventId));
  m_Service = dispatch::pickService(m_Route, m_Shared.draw());
  milliseconds Allowed = m_Route.Timeout;
  if (m_Fields.Deadline)
    Allowed = std::min(Allowed, *m_Fields.Deadline);
  m_Deadline = m_Started + Allowed;
  m_EndsIn = m_Shared.Stop.timeLeft(m_Started);
  if (!mayBegin(Milliseconds(0), m_Started))
    return turnAway();
  m_Shared.Budget.requestSent(m_Service, m_Started);
  m_Traced = m_Shared.Log.allows(LineKind::Plain, m_Started);
  if (m_Traced)
    logTaken();
  armDeadline();
  plan();
}

/// Whether what begins now ends before a process that is stopping does. A
/// stream that has begun goes on in any case: nothing better is left for it.
bool RequestFlow::mayBegin(Milliseconds Expected, BootTime Now) const {
  const auto Form =
      streaming() ? dispatch::AnswerForm::Stream : dispatch::AnswerForm::Whole;
  return m_AnswerBegun ||
         m_Shared.Stop.takes({Form, timeLeft(Now), Expected}, Now);
}

/// The process ends too soon for it.
void RequestFlow::turnAway() {
  releaseHandle();
  giveUp(m_Runs == 0 ? dispatch::NotRunStatus : dispatch::OutcomeUnknownStatus,
         "the process ends", EndingRetryAfter);
}

Milliseconds RequestFlow::timeLeft(BootTime Now) const {
  return std::max(Milliseconds(0), Milliseconds(m_Deadline - Now));
}

void RequestFlow::armDeadline() {
  const auto Left = m_Deadline - BootClock::now() - AnswerMargin;
  m_DeadlineTimer.expires_after(Left);
  m_DeadlineTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Stopped) {
        if (!Stopped)
          Self->endUnanswered("the deadline passed");
      });
}

const dispatch::Service *RequestFlow::engineService() const {
  const dispatch::Service *Which = m_Configuration->service(m_Service);
  return Which && Which->Engine && m_Fields.Prompt ? Which : nullptr;
}

void RequestFlow::plan() {
  if (heldBack())
    return;
  if (const dispatch::Service *Which = engineService())
    return planPrompt(*Which);
  planPlain();
}

dispatch::PromptPlan RequestFlow::promptPlan(const dispatch::Service &Which,
                                             BootTime Now) {
  return m_Shared.Prompts.plan(promptRequest(Now),
                               m_Shared.openTargets(m_Service),
                               m_Shared.costsOf(Which, Now), Now);
}

/// Those that failed it, and those whose limit is used up for this moment.
std::vector<std::string> RequestFlow::excluded(BootTime Now) const {
  std::vector<std::string> All = m_Shared.Limits.exhausted(Now);
  All.insert(All.end(), m_Excluded.begin(), m_Excluded.end());
  return All;
}

dispatch::ServicePlan RequestFlow::servicePlan(BootTime Now) {
  return m_Shared.Services.plan({timeLeft(Now), excluded(Now), m_Shared.draw()},
                                m_Shared.openTargets(m_Service), Now);
}

/// Whether the request would be planned at a target other than this one.
bool RequestFlow::findsAnother(const std::string &ThanTargetId, BootTime Now) {
  m_Excluded.push_back(ThanTargetId);
  const dispatch::Service *Which = engineService();
  const bool Found = Which
                         ? !std::holds_alternative<dispatch::Rejection>(
                               promptPlan(*Which, Now))
                         : !std::holds_alternative<dispatch::ServiceRejection>(
                               servicePlan(Now));
  m_Excluded.pop_back();
  return Found;
}

dispatch::PromptRequest RequestFlow::promptRequest(BootTime Now) {
  dispatch::PromptRequest Request;
  Request.Input = *m_Fields.Prompt;
  Request.GenerationTime = generationTime();
  Request.LatencyTarget = m_Route.LatencyTarget;
  Request.TimeToLatencyTarget =
      std::max(Milliseconds(0), Milliseconds(m_Route.LatencyTarget) -
                                    Milliseconds(Now - m_Started));
  Request.TimeLeft = timeLeft(Now);
  if (const auto *Which = m_Configuration->service(m_Service))
    Request.EventGap = Which->ShortestEventGap;
  Request.ExpectedStartLag = m_Shared.StartLags[m_Service].current(Now);
  Request.Excluded = excluded(Now);
  Request.Draw = m_Shared.draw();
  return Request;
}

Milliseconds RequestFlow::generationTime() const {
  const auto Known = m_Shared.StreamTimes.find(m_Route.Name);
  return Known == m_Shared.StreamTimes.end()
             ? Milliseconds(0)
             : Known->second.mean(BootClock::now());
}

void RequestFlow::planPrompt(const dispatch::Service &Which) {
  const BootTime Now = BootClock::now();
  if (m_Sends == 0)
    noteDemand(m_Shared.costsOf(Which, Now), m_Shared.openTargets(m_Service),
               Now);
  const auto Plan = promptPlan(Which, Now);
  m_PlannedAt = Now;
  m_PlannedLag = m_Shared.StartLags[m_Service].current(Now);
  if (const auto *Read = std::get_if<dispatch::PrefillThenDecode>(&Plan)) {
    m_PlannedFirst = Read->FirstEvent;
    return startRead(*Read);
  }
  if (const auto *Run = std::get_if<dispatch::DecodePlan>(&Plan)) {
    m_PlannedFirst = Run->Expected;
    return startRun(*Run);
  }
  const auto &Refusal = std::get<dispatch::Rejection>(Plan);
  m_PlannedFirst = Refusal.FirstEvent;
  if (m_AnswerBegun)
    return cutOff(Refusal.Reason);
  giveUp(m_Runs == 0 ? dispatch::NotRunStatus : dispatch::OutcomeUnknownStatus,
         Refusal.Reason, Refusal.RetryAfter);
}

void RequestFlow::planPlain() {
  const BootTime Now = BootClock::now();
  const auto Plan = servicePlan(Now);
  if (const auto *Chosen = std::get_if<dispatch::ServiceAssignment>(&Plan)) {
    m_PlannedFirst = Chosen->Expected;
    if (m_Sends == 0 && !mayBegin(Chosen->Expected, Now))
      return turnAway();
    return startRun({Chosen->TargetId, {}, Chosen->Cost, Chosen->Expected, {}});
  }
  const auto &Refusal = std::get<dispatch::ServiceRejection>(Plan);
  if (m_AnswerBegun)
    return cutOff(Refusal.Reason);
  giveUp(m_Runs == 0 ? dispatch::NotRunStatus : dispatch::OutcomeUnknownStatus,
         Refusal.Reason, Refusal.RetryAfter);
}

void RequestFlow::startRead(const dispatch::PrefillThenDecode &Plan) {
  m_Reader = Plan.PrefillTarget;
  m_PlannedRead = Plan.Expected;
  m_ReadPlan = Plan.Prefill;
  m_CacheKnown = m_Shared.Loads.cacheReported(Plan.PrefillTarget);
  send(Plan.PrefillTarget, Plan.FetchFrom, SendPurpose::ReadPrompt,
       {Plan.Cost, Plan.Expected, Plan.Prefill.Compute, {}});
}

void RequestFlow::startRun(const dispatch::DecodePlan &Plan) {
  // Another attempt may have ended a server while the prompt was read.
  if (heldBack())
    return;
  m_Runner = Plan.DecodeTarget;
  m_PlannedRun = Plan.Expected;
  m_RunSent = BootClock::now();
  m_RunPlan = Plan.Prefill;
  m_CacheKnown = m_Shared.Loads.cacheReported(Plan.DecodeTarget);
  send(Plan.DecodeTarget, Plan.FetchFrom, SendPurpose::Run,
       {Plan.Cost, Plan.Expected, Plan.Prefill.Compute, {}});
}

void RequestFlow::send(const std::string &TargetId,
                       const std::string &FetchFrom, SendPurpose Purpose,
                       dispatch::Work What) {
  const BootTime Now = BootClock::now();
  const Milliseconds Expected = What.Expected;
  slopes::SendFields Fields;
  Fields.TimeLeft = std::chrono::duration_cast<milliseconds>(timeLeft(Now));
  Fields.ExpectedTarget = TargetId;
  Fields.ReadOnly = Purpose == SendPurpose::ReadPrompt;
  if (Purpose == SendPurpose::Run)
    Fields.Source = m_Handle;
  if (const dispatch::Target *From = m_Shared.Targets.find(FetchFrom))
    Fields.FetchFrom = From->Address.toString();
  if (const auto Last = m_Relay.lastEvent(); Last && m_Relay.events() > 0)
    Fields.LastEventId = std::to_string(*Last);
  proxy::HeaderList Headers = slopes::forwardedFields(m_Request.Head.Headers);
  slopes::applySendFields(Headers, Fields);
  m_Relay.restart();
  ++m_Sends;
  m_Send = std::make_shared<ServerSend>(m_Shared, *this, TargetId, Purpose,
                                        m_Fields.AttemptId);
  if (!enginesKnown(Now))
    What.Expected = Milliseconds(0);
  if (m_Send->start(proxy::requestText(m_Request.Head, Headers, m_Request.Body),
                    What)) {
    chargeRepeat(Purpose, Now);
    expectComputed(TargetId, Expected);
    logSent(TargetId, FetchFrom, Purpose, Expected);
    if (Purpose == SendPurpose::Run)
      ++m_Runs;
    if (isSuspected())
      m_Shared.Crashes.sent(*m_Fingerprint, Now);
    return watchSend(Expected + m_PlannedLag);
  }
  const auto Unsent = m_Send;
  sendEnded(*Unsent, dispatch::NotSent{});
}

/// The first read and the first run of a request are its own; each further
/// arrival is a repeat, also where one cycle of both follows a rejected run.
void RequestFlow::chargeRepeat(SendPurpose Purpose, BootTime Now) {
  bool &Sent =
      Purpose == SendPurpose::ReadPrompt ? m_ReadArrived : m_RunArrived;
  if (std::exchange(Sent, true))
    m_Shared.Budget.charge(m_Service, Now);
}

void RequestFlow::watchSend(Milliseconds Expected) {
  armWatch(std::chrono::duration_cast<BootClock::duration>(
      Expected * OverdueFactor + OverdueBase));
}

void RequestFlow::armWatch(BootClock::duration After) {
  m_WatchFor = After;
  waitForWatch();
}

void RequestFlow::waitForWatch() {
  m_WatchTimer.expires_after(m_WatchFor);
  m_WatchTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Stopped) {
        if (!Stopped)
          Self->sendOverdue();
      });
}

void RequestFlow::sendOverdue() {
  if (m_Done || !m_Send)
    return;
  // Silence alone ends nothing: only when the request may go elsewhere, and
  // there is a server for it, is the wait given up. Given up before one was
  // looked for, requests were failed, and streams cut, that the silent server
  // answered a moment later.
  const auto Late = m_Send;
  const SendEnd How = dispatch::TookTooLong{};
  if (!std::holds_alternative<dispatch::SendAgain>(nextStep(How, *Late)) ||
      !findsAnother(Late->targetId(), BootClock::now()))
    return waitForWatch();
  logSendEnded(*Late, How);
  abandonExpected(Late->targetId());
  Late->cancel();
  sendAgain(*Late);
}

void RequestFlow::sendCompleted(ServerSend &Which) {
  m_WatchTimer.cancel();
  m_Send = nullptr;
  if (Which.purpose() == SendPurpose::ReadPrompt)
    return readCompleted(Which);
  if (m_Handle && m_HandleRejected)
    m_Shared.KvReuses[m_Service].recordRetry(true, BootClock::now());
  m_Handle.reset();
  noteCompleted();
  if (m_Fields.Prompt && !Which.targetStartedAgain())
    noteComputed(Which.targetId());
  if (streaming())
    return streamEnded(Which);
  forwardWhole(Which);
}

void RequestFlow::readCompleted(ServerSend &Which) {
  const auto Read = slopes::decodePromptRead(Which.body());
  const dispatch::Target *Reader = m_Shared.Targets.find(Which.targetId());
  if (!Read || !Reader || Which.targetStartedAgain())
    return sendEnded(Which, dispatch::BrokeOff{});
  noteComputed(Which.targetId());
  m_ReadTook = BootClock::now() - Which.started();
  learnRead();
  m_Handle = slopes::KvSource{Reader->Address.toString(), Read.value().Handle};
  m_HandleRejected = false;
  const BootTime Now = BootClock::now();
  // SIGTERM may have come while the prompt was read.
  if (!mayBegin(Milliseconds(0), Now))
    return turnAway();
  const auto Runner = chooseRunner(Now);
  if (!Runner) {
    releaseHandle();
    if (m_AnswerBegun)
      return cutOff("no engine to run at");
    return giveUp(m_Runs == 0 ? dispatch::NotRunStatus
                              : dispatch::OutcomeUnknownStatus,
                  "no engine to run at", FailureRetryAfter);
  }
  startRun(*Runner);
}

/// Where the prompt runs that m_Reader has read.
std::optional<dispatch::DecodePlan> RequestFlow::chooseRunner(BootTime Now) {
  return m_Shared.Prompts.chooseDecodeTarget(
      promptRequest(Now), m_Shared.Targets.find(m_Reader),
      m_Shared.openTargets(m_Service), m_Shared.costsOf(*engineService(), Now),
      Now);
}

/// A run that reached no engine, or a full one, has not used up the KV cache
/// that was read for it. After a rejection that is tried once.
bool RequestFlow::mayUseHandleAgain(const SendEnd &How, BootTime Now) {
  if (!m_Handle)
    return false;
  if (std::holds_alternative<dispatch::NotSent>(How))
    return true;
  if (!std::holds_alternative<dispatch::Rejected>(How))
    return false;
  dispatch::KvReuse &Reuse = m_Shared.KvReuses[m_Service];
  if (std::exchange(m_HandleRejected, true)) {
    Reuse.recordRetry(false, Now);
    return false;
  }
  return Reuse.shouldRetry(Now) &&
         timeLeft(Now) >= m_Shared.Repeats.MinimumTimeLeft &&
         m_Shared.Budget.left(m_Service, Now) >= 1;
}

/// Another engine runs what was read, as the request's first run. Planned anew,
/// the prompt would be read once more: two arrivals where one is enough, and of
/// a run that was not sent nobody had asked the budget for them.
bool RequestFlow::runsAtAnother(const ServerSend &Than, BootTime Now) {
  if (m_Sends >= m_Shared.Repeats.MaximumSends ||
      !mayBegin(Milliseconds(0), Now))
    return false;
  m_Excluded.push_back(Than.targetId());
  const auto Runner = chooseRunner(Now);
  if (Runner)
    startRun(*Runner);
  return Runner.has_value();
}

void RequestFlow::sendEnded(ServerSend &Which, SendEnd How) {
  m_WatchTimer.cancel();
  m_Send = nullptr;
  if (std::holds_alternative<dispatch::NotSent>(How))
    (Which.purpose() == SendPurpose::ReadPrompt ? m_ReadArrived
                                                : m_RunArrived) = false;
  if (Which.purpose() == SendPurpose::Run && !dispatch::mayHaveRun(How) &&
      m_Runs > 0 && Which.started() != BootTime{})
    --m_Runs;
  abandonExpected(Which.targetId());
  if (std::holds_alternative<dispatch::BrokeOff>(How))
    noteBrokenOff(Which);
  logSendEnded(Which, How);
  settle(How, Which);
}

dispatch::NextStep RequestFlow::nextStep(const SendEnd &How,
                                         const ServerSend &Which) {
  const BootTime Now = BootClock::now();
  dispatch::RequestProgress Progress;
  Progress.Sends = m_Sends;
  Progress.AnswerBegun = m_AnswerBegun;
  Progress.TimeLeft = timeLeft(Now);
  Progress.Runs = m_Runs;
  Progress.MaximumRuns = m_Route.MaximumAttempts;
  Progress.Repeatable =
      m_Route.repeatable() &&
      (!isSuspected() || m_Shared.Crashes.suspects().mayRepeat(*m_Fingerprint));
  Progress.EndsInTime = mayBegin(m_PlannedFirst, Now);
  if (Which.purpose() == SendPurpose::ReadPrompt && m_Runs == 0) {
    // Reading a prompt runs nothing.
    Progress.Repeatable = true;
    Progress.MaximumRuns = m_Shared.Repeats.MaximumSends;
  }
  return dispatch::decideNext(m_Shared.Repeats, Progress, How, [&] {
    // What reached no server has not used any of the service's time. Once a
    // part of the request has, what follows may arrive as a repeat.
    const bool NothingArrived =
        std::holds_alternative<dispatch::NotSent>(How) && !m_ReadArrived &&
        !m_RunArrived;
    return NothingArrived || m_Shared.Budget.left(m_Service, Now) >= 1;
  });
}

void RequestFlow::settle(const SendEnd &How, ServerSend &Which) {
  const BootTime Now = BootClock::now();
  if (std::holds_alternative<dispatch::Rejected>(How) && engineService())
    m_Shared.StartLags[m_Service].recordRejection(m_Route.LatencyTarget, Now);
  if (mayUseHandleAgain(How, Now) && runsAtAnother(Which, Now))
    return;
  const auto Next = nextStep(How, Which);
  if (std::holds_alternative<dispatch::SendAgain>(Next))
    return sendAgain(Which);
  releaseHandle();
  if (std::holds_alternative<dispatch::PassOn>(Next)) {
    noteCompleted();
    return passOn(Which);
  }
  if (const auto *Final = std::get_if<dispatch::GiveUp>(&Next))
    return giveUp(Final->Status, dispatch::describe(How), FailureRetryAfter);
  cutOff(dispatch::describe(How));
}

void RequestFlow::sendAgain(const ServerSend &After) {
  m_Excluded.push_back(After.targetId());
  releaseHandle();
  plan();
}

} // namespace figlift::gateway
