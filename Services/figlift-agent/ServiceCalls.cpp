//===- ServiceCalls.cpp - Calls to a plain service ------------------------===//
//
// Calls without a key are sent directly; those with a key are sent when the
// home machine decides so.
//
//===----------------------------------------------------------------------===//

#include "ServiceCalls.h"

namespace figlift::agent {

using timeline::SubjectType;

static idempotency::HomeOptions
homeOptions(const settings::AgentLimits &Limits) {
  idempotency::HomeOptions Options;
  Options.MaximumKeyAhead = Limits.KeyAheadMaximum;
  Options.TakeoverGuard = Limits.KeyTimeMargin;
  Options.Retention = Limits.ClaimRetention;
  Options.MaximumClaims = Limits.Claims;
  return Options;
}

ServiceCalls::ServiceCalls(Context Shared, Dependencies Services,
                           SliceActions PerformSliceAction)
    : m_Shared(Shared), m_Dependencies(Services),
      m_SliceActions(std::move(PerformSliceAction)),
      m_Home(homeOptions(Shared.Settings.Limits)),
      m_Self(std::make_shared<ServiceCalls *>(this)),
      m_Replayed(Shared.Metrics.counter(
          "agent_answers_replayed_total",
          "Calls answered with the answer of an earlier call.")),
      m_Unknown(Shared.Metrics.counter(
          "agent_outcomes_unknown_total",
          "Calls of which nobody knows whether they ran.")) {}

void ServiceCalls::run(StreamId Stream, wire::RunRequest Request) {
  Call &Received = m_Calls[Stream];
  Received.Source = {Stream, Request.request_id(), Request.attempt_id()};
  Received.Request = std::move(Request);
  const std::string Key = Received.Request.idempotency_key();
  if (Key.empty())
    return runWithoutKey(Stream);
  step(idempotency::CallReceived{Stream, Key, Received.Request.fingerprint(),
                                 idempotency::mintTimeOf(Key)});
}

static admission::Work describe(const wire::RunRequest &Request) {
  admission::Work Work;
  Work.Class =
      static_cast<record::ServiceClass>(std::min(Request.service_class(), 2u));
  if (Request.deadline_milliseconds() != 0)
    Work.Deadline = BootClock::now() +
                    std::chrono::milliseconds(Request.deadline_milliseconds());
  return Work;
}

static target::ServiceRequest
toServiceRequest(const wire::RunRequest &Request,
                 std::chrono::milliseconds Timeout) {
  const wire::ServiceCall &Call = Request.service_call();
  target::ServiceRequest Result;
  Result.Method = Call.method();
  Result.Path = Call.path();
  Result.ContentType = Call.content_type();
  Result.Body = Call.body();
  Result.IdempotencyKey = Request.idempotency_key();
  Result.Repeatable = Request.repeatable();
  Result.Timeout = Timeout;
  return Result;
}

void ServiceCalls::sendWhenAdmitted(WorkId Id, const wire::RunRequest &Request,
                                    Done OnDone,
                                    std::function<void(GateRefusal)> Refused) {
  auto Send = [this, Id, OnDone = std::move(OnDone),
               Call =
                   toServiceRequest(Request, m_Shared.Settings.Target.Timeout),
               RequestId = Request.request_id()] {
    m_Shared.Events.record(timeline::kinds::WorkHandedOver,
                           {SubjectType::Request, RequestId});
    auto OnLoop = [this, Self = std::weak_ptr(m_Self), Id, OnDone,
                   &Loop = m_Shared.Loop](
                      target::CallResult<target::ServiceReply> Reply) {
      Loop.post([this, Self, Id, OnDone, Reply = std::move(Reply)] {
        if (Self.expired())
          return;
        m_Dependencies.Gate.leave(Id);
        OnDone(Reply);
      });
    };
    m_Dependencies.Service.call(Call, std::move(OnLoop));
  };
  m_Dependencies.Gate.enter(Id, describe(Request),
                            {std::move(Send), std::move(Refused)});
}

void ServiceCalls::runWithoutKey(StreamId Stream) {
  sendWhenAdmitted(
      Stream, m_Calls.at(Stream).Request,
      [this, Stream](const target::CallResult<target::ServiceReply> &Reply) {
        finishWithoutKey(Stream, Reply);
      },
      [this, Stream](const GateRefusal &Refusal) {
        refuse(Stream, Error{Refusal.Code,
                             "admission control refused the request",
                             {},
                             Refusal.RetryAfter});
      });
}

static idempotency::Answer toAnswer(const target::ServiceReply &Reply) {
  return {Reply.Status, Reply.ContentType, Reply.Body};
}

void ServiceCalls::finishWithoutKey(
    StreamId Stream, const target::CallResult<target::ServiceReply> &Reply) {
  const auto Found = m_Calls.find(Stream);
  if (Found == m_Calls.end())
    return;
  if (Reply)
    return answer(Stream, toAnswer(Reply.value()), false);
  const target::CallError &Fault = Reply.error();
  const bool Repeatable = Found->second.Request.repeatable();
  ResultCode Code = ResultCode::OutcomeUnknown;
  if (Fault.Executed == Execution::NotRun)
    Code = Fault.Cause.Code == ResultCode::InvalidInput
               ? ResultCode::InvalidInput
               : ResultCode::NoTargetAvailable;
  else if (Repeatable)
    Code = ResultCode::TargetFailed;
  refuse(Stream, Error{Code, Fault.Cause.Message, {}, std::nullopt});
}

void ServiceCalls::onKeyedReply(
    const std::string &Key,
    const target::CallResult<target::ServiceReply> &Reply) {
  if (Reply)
    return step(idempotency::TargetAnswered{Key, toAnswer(Reply.value())});
  if (Reply.error().Executed == Execution::NotRun)
    return step(idempotency::TargetFailedBeforeSend{
        Key, ResultCode::NoTargetAvailable});
  step(idempotency::TargetOutcomeUnknown{Key});
}

void ServiceCalls::streamEnded(StreamId Stream) {
  const auto Found = m_Calls.find(Stream);
  if (Found == m_Calls.end())
    return;
  const bool Keyed = !Found->second.Request.idempotency_key().empty();
  m_Calls.erase(Found);
  if (Keyed)
    step(idempotency::CallerDisconnected{Stream});
}

void ServiceCalls::step(const idempotency::Event &Event) {
  auto Perform = [this](const auto &Chosen) {
    if constexpr (requires { perform(Chosen); })
      perform(Chosen);
    else
      m_SliceActions(Chosen);
  };
  const auto Actions = m_Home.step(Event, BootClock::now(), wallNow());
  for (const idempotency::Action &Action : Actions)
    std::visit(Perform, Action);
}

void ServiceCalls::perform(const idempotency::SendToTarget &Action) {
  const std::string Key = Action.Key;
  const StreamId Stream = Action.Token;
  sendWhenAdmitted(
      Stream, m_Calls.at(Stream).Request,
      [this, Key](const target::CallResult<target::ServiceReply> &Reply) {
        onKeyedReply(Key, Reply);
      },
      [this, Key, Stream](const GateRefusal &Refusal) {
        if (const auto Found = m_Calls.find(Stream); Found != m_Calls.end())
          Found->second.RetryAfter = Refusal.RetryAfter;
        step(idempotency::TargetFailedBeforeSend{Key, Refusal.Code});
      });
}

void ServiceCalls::perform(const idempotency::AnswerCaller &Action) {
  answer(Action.Token, Action.Result, Action.Replayed);
}

void ServiceCalls::perform(const idempotency::RefuseCaller &Action) {
  const auto Found = m_Calls.find(Action.Token);
  if (Found == m_Calls.end())
    return;
  refuse(Action.Token, Error{Action.Code,
                             "the home of the idempotency key refused the call",
                             {},
                             Found->second.RetryAfter});
}

void ServiceCalls::perform(const idempotency::ReportUnknownOutcome &Action) {
  m_Unknown.add();
  refuse(Action.Token, Error{ResultCode::OutcomeUnknown,
                             "the call may have run; it is not run again",
                             {},
                             std::nullopt});
}

void ServiceCalls::answer(StreamId Stream, const idempotency::Answer &Result,
                          bool Replayed) {
  const auto Found = m_Calls.find(Stream);
  if (Found == m_Calls.end())
    return;
  if (Replayed)
    m_Replayed.add();
  wire::RunFrame Frame;
  wire::ServiceAnswer &Answer = *Frame.mutable_service_answer();
  Answer.set_status(Result.Status);
  Answer.set_content_type(Result.ContentType);
  Answer.set_body(Result.Body);
  Answer.set_replayed(Replayed);
  const AttemptStream To = Found->second.Source;
  m_Calls.erase(Found);
  m_Shared.Events.record(
      Replayed ? timeline::kinds::ClaimReplayed : timeline::kinds::WorkFinished,
      {SubjectType::Request, To.RequestId}, {{"status", Result.Status}});
  m_Dependencies.Frames.finish(To, std::move(Frame));
}

void ServiceCalls::refuse(StreamId Stream, const Error &Reason) {
  const auto Found = m_Calls.find(Stream);
  if (Found == m_Calls.end())
    return;
  const AttemptStream To = Found->second.Source;
  m_Calls.erase(Found);
  m_Dependencies.Frames.finish(To, Reason);
}

} // namespace figlift::agent
