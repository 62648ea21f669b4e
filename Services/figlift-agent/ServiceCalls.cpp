//===- ServiceCalls.cpp - Calls to a plain service ------------------------===//
//
// A call without a key is sent once; one with a key by order of its home.
//
//===----------------------------------------------------------------------===//

#include "ServiceCalls.h"

namespace figlift::agent {

using timeline::SubjectType;

static idempotency::HomeOptions
makeOptions(const settings::AgentLimits &Limits) {
  idempotency::HomeOptions Options;
  Options.MaximumAhead = Limits.KeyAheadMaximum;
  Options.TakeoverGuard = Limits.KeyTimeMargin;
  Options.Retention = Limits.ClaimRetention;
  Options.MaximumClaims = Limits.Claims;
  return Options;
}

ServiceCalls::ServiceCalls(Context Shared, Parts Of, SliceActions Slices)
    : m_Shared(Shared), m_Parts(Of), m_Slices(std::move(Slices)),
      m_Home(makeOptions(Shared.Settings.Limits)),
      m_Self(std::make_shared<ServiceCalls *>(this)),
      m_Replayed(Shared.Metrics.counter(
          "agent_answers_replayed_total",
          "Calls answered with the answer of an earlier call.")),
      m_Unknown(Shared.Metrics.counter(
          "agent_outcomes_unknown_total",
          "Calls of which nobody knows whether they ran.")) {}

void ServiceCalls::run(StreamId Stream, wire::RunRequest Request) {
  Call &New = m_Calls[Stream];
  New.From = {Stream, Request.request_id(), Request.attempt_id()};
  New.Request = std::move(Request);
  const std::string Key = New.Request.idempotency_key();
  if (Key.empty())
    return runOnce(Stream);
  step(idempotency::CallReceived{Stream, Key, New.Request.fingerprint(),
                                 idempotency::mintTimeOf(Key)});
}

static admission::Work describe(const wire::RunRequest &Request) {
  admission::Work Out;
  Out.Class =
      static_cast<record::ServiceClass>(std::min(Request.service_class(), 2u));
  if (Request.deadline_milliseconds() != 0)
    Out.Deadline = BootClock::now() +
                   std::chrono::milliseconds(Request.deadline_milliseconds());
  return Out;
}

static target::ServiceRequest
makeRequest(const wire::RunRequest &From,
            std::chrono::milliseconds LongestTime) {
  const wire::ServiceCall &Call = From.service_call();
  target::ServiceRequest Out;
  Out.Method = Call.method();
  Out.Path = Call.path();
  Out.ContentType = Call.content_type();
  Out.Body = Call.body();
  Out.IdempotencyKey = From.idempotency_key();
  Out.Repeatable = From.repeatable();
  Out.Timeout = LongestTime;
  return Out;
}

void ServiceCalls::hand(WorkId Id, const wire::RunRequest &Request, Done Then,
                        std::function<void(GateRefusal)> Refused) {
  auto Send = [this, Id, Then = std::move(Then),
               Out = makeRequest(Request, m_Shared.Settings.Target.Timeout),
               RequestId = Request.request_id()] {
    m_Shared.Events.record(timeline::kinds::WorkHandedOver,
                           {SubjectType::Request, RequestId});
    auto OnLoop = [this, Self = std::weak_ptr(m_Self), Id, Then,
                   &Decisions = m_Shared.Decisions](
                      target::CallResult<target::ServiceReply> Reply) {
      Decisions.post([this, Self, Id, Then, Reply = std::move(Reply)] {
        if (Self.expired())
          return;
        m_Parts.Way.leave(Id);
        Then(Reply);
      });
    };
    m_Parts.Service.call(Out, std::move(OnLoop));
  };
  m_Parts.Way.enter(Id, describe(Request),
                    {std::move(Send), std::move(Refused)});
}

void ServiceCalls::runOnce(StreamId Stream) {
  hand(
      Stream, m_Calls.at(Stream).Request,
      [this, Stream](const target::CallResult<target::ServiceReply> &Reply) {
        finishOnce(Stream, Reply);
      },
      [this, Stream](const GateRefusal &Why) {
        refuse(Stream, Error{Why.Code, "not admitted", {}, Why.RetryAfter});
      });
}

static idempotency::Answer toAnswer(const target::ServiceReply &Reply) {
  return {Reply.Status, Reply.ContentType, Reply.Body};
}

void ServiceCalls::finishOnce(
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

void ServiceCalls::settle(
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
    step(idempotency::CallerGone{Stream});
}

void ServiceCalls::step(const idempotency::Event &What) {
  auto Carry = [this](const auto &Which) {
    if constexpr (requires { act(Which); })
      act(Which);
    else
      m_Slices(Which);
  };
  const auto Actions = m_Home.step(What, BootClock::now(), wallNow());
  for (const idempotency::Action &Next : Actions)
    std::visit(Carry, Next);
}

void ServiceCalls::act(const idempotency::SendToTarget &What) {
  const std::string Key = What.Key;
  const StreamId Stream = What.Token;
  hand(
      Stream, m_Calls.at(Stream).Request,
      [this, Key](const target::CallResult<target::ServiceReply> &Reply) {
        settle(Key, Reply);
      },
      [this, Key, Stream](const GateRefusal &Why) {
        if (const auto Found = m_Calls.find(Stream); Found != m_Calls.end())
          Found->second.RetryAfter = Why.RetryAfter;
        step(idempotency::TargetFailedBeforeSend{Key, Why.Code});
      });
}

void ServiceCalls::act(const idempotency::AnswerCaller &What) {
  answer(What.Token, What.Result, What.Replayed);
}

void ServiceCalls::act(const idempotency::RefuseCaller &What) {
  const auto Found = m_Calls.find(What.Token);
  if (Found == m_Calls.end())
    return;
  refuse(What.Token, Error{What.Code,
                           "the key's home did not run the call",
                           {},
                           Found->second.RetryAfter});
}

void ServiceCalls::act(const idempotency::UnknownToCaller &What) {
  m_Unknown.add();
  refuse(What.Token, Error{ResultCode::OutcomeUnknown,
                           "the call may have run; it will not be run again",
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
  wire::ServiceAnswer &Out = *Frame.mutable_service_answer();
  Out.set_status(Result.Status);
  Out.set_content_type(Result.ContentType);
  Out.set_body(Result.Body);
  Out.set_replayed(Replayed);
  const Reader To = Found->second.From;
  m_Calls.erase(Found);
  m_Shared.Events.record(
      Replayed ? timeline::kinds::ClaimReplayed : timeline::kinds::WorkFinished,
      {SubjectType::Request, To.RequestId}, {{"status", Result.Status}});
  m_Parts.Out.finish(To, std::move(Frame));
}

void ServiceCalls::refuse(StreamId Stream, const Error &Reason) {
  const auto Found = m_Calls.find(Stream);
  if (Found == m_Calls.end())
    return;
  const Reader To = Found->second.From;
  m_Calls.erase(Found);
  m_Parts.Out.finish(To, Reason);
}

} // namespace figlift::agent
