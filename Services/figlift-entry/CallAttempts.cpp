//===- CallAttempts.cpp - Attempts of a call ------------------------------===//
//
// Sends attempts and executes LibRetry's decisions when they end.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Call.h"

#include "figlift-entry/Digest.h"

#include "LibLog/Log.h"
#include "LibRoute/ChooseTarget.h"

#include <algorithm>
#include <utility>

namespace figlift::entry {

using std::chrono::milliseconds;
using timeline::SubjectType;

namespace {

constexpr size_t MaximumPrefixHashes = 512;

} // namespace

wire::RunRequest Call::runRequest(const std::string &AttemptId,
                                  uint64_t SliceEpoch) const {
  wire::RunRequest Message;
  Message.set_request_id(m_Request.RequestId);
  Message.set_attempt_id(AttemptId);
  Message.set_revision(m_Context.State.read(
      [](const ServingState &Now) { return Now.Configuration->revision(); }));
  Message.set_back_end(m_Request.BackEnd);
  Message.set_workspace(m_Request.Workspace);
  Message.set_service_class(static_cast<uint32_t>(m_Request.Class));
  Message.set_deadline_milliseconds(
      static_cast<uint64_t>(std::max<int64_t>(1, timeLeft().count())));
  Message.set_idempotency_key(m_Request.keyed() ? m_Request.IdempotencyKey
                                                : m_Request.ResumeKey);
  Message.set_repeatable(m_Request.Repeatable);
  Message.set_slice_epoch(SliceEpoch);
  std::visit([&](const auto &Work) { fillRequest(Work, Message); },
             m_Request.Work);
  return Message;
}

void Call::fillRequest(const CompletionWork &Work,
                       wire::RunRequest &Request) const {
  wire::Completion &Message = *Request.mutable_completion();
  Message.set_model(m_PinnedModel.empty() ? Work.Model : m_PinnedModel);
  Message.set_prompt(Work.Prompt);
  Message.set_prompt_tokens(Work.promptTokens());
  Message.set_maximum_tokens(Work.MaximumTokens);
  Message.set_first_token(m_History.TokensDelivered);
  Message.set_delivered_text(m_DeliveredText);
  const size_t Count = std::min(m_PrefixHashes.size(), MaximumPrefixHashes);
  Message.mutable_prefix_hashes()->Assign(m_PrefixHashes.begin(),
                                          m_PrefixHashes.begin() +
                                              static_cast<ptrdiff_t>(Count));
}

void Call::fillRequest(const ServiceWork &Work,
                       wire::RunRequest &Request) const {
  wire::ServiceCall &Message = *Request.mutable_service_call();
  Message.set_service(m_Request.BackEnd);
  Message.set_method(Work.Method);
  Message.set_path(Work.Path);
  Message.set_content_type(Work.ContentType);
  Message.set_body(Work.Body);
  if (m_Request.keyed())
    // Lets the agent reject a key that is reused for a different request.
    Request.set_fingerprint(
        digestOf({Work.Method, Work.Path, Work.ContentType, Work.Body}));
}

void Call::startAttempt() {
  if (const auto *Work = std::get_if<CompletionWork>(&m_Request.Work);
      Work && m_PrefixHashes.empty())
    m_PrefixHashes = route::prefixHashes(Work->Prompt);
  Result<Destination> Target = chooseDestination();
  if (!Target) {
    m_LastMessage = Target.error().Message;
    return onAttemptEnd(nullptr, retry::NothingSent{Target.error().Code,
                                                    Target.error().RetryAfter});
  }
  const std::string AttemptId = m_Context.Ids.nextText();
  wire::RunRequest Message = runRequest(AttemptId, Target.value().SliceEpoch);
  const timeline::Stamp Sent = m_Context.Events.record(
      timeline::kinds::AttemptSent, {SubjectType::Request, m_Request.RequestId},
      {{"attempt", AttemptId}, {"target", Target.value().Link->target().Id}});
  Message.set_clock(Sent.Value);
  sendAttempt(wire::Method::Run, Message.SerializeAsString(),
              std::move(Target.value()), AttemptId);
}

void Call::resume(std::shared_ptr<TargetLink> Link) {
  const std::string AttemptId = m_Context.Ids.nextText();
  wire::ResumeRequest Message;
  Message.set_request_id(m_HeldRequestId);
  Message.set_attempt_id(AttemptId);
  Message.set_first_token(m_History.TokensDelivered);
  if (!m_IsQueryingHolder)
    m_Context.Metrics.Resumes.add();
  m_Context.Events.record(timeline::kinds::AnswerResumed,
                          {SubjectType::Request, m_Request.RequestId},
                          {{"attempt", AttemptId},
                           {"target", Link->target().Id},
                           {"firstToken", m_History.TokensDelivered}});
  Destination Target;
  Target.Link = std::move(Link);
  sendAttempt(wire::Method::Resume, Message.SerializeAsString(),
              std::move(Target), AttemptId);
}

void Call::sendAttempt(wire::Method Method, std::string Message,
                       Destination Target, std::string AttemptId) {
  m_Context.Metrics.Attempts.add();
  m_LastLink = Target.Link;
  const auto Next = std::make_shared<Attempt>(
      shared_from_this(), Target.Link,
      Attempt::Identity{Method == wire::Method::Resume ? m_HeldRequestId
                                                       : m_Request.RequestId,
                        std::move(AttemptId)},
      std::move(Target.Ticket), Target.ExpectedPrefixTokens);
  m_LiveAttempt.store(Next);
  // stop() sets the flag before it reads the live attempt, and this stores the
  // attempt before it reads the flag, so a stop cannot be missed.
  if (m_StopReason.load() != StopReason::None)
    return onAttemptEnd(nullptr, retry::NothingSent{ResultCode::Cancelled, {}});
  Next->send(Method, std::move(Message));
}

void Call::onAttemptEnd(const std::shared_ptr<TargetLink> &Link,
                        const retry::AttemptEnd &End) {
  m_LiveAttempt.store(nullptr);
  m_Context.Events.record(timeline::kinds::AttemptEnded,
                          {SubjectType::Request, m_Request.RequestId},
                          {{"tokens", m_History.TokensDelivered}});
  if (m_StopReason.load() != StopReason::None) {
    m_History.EarlierMayHaveRun |=
        !m_IsQueryingHolder && retry::mayHaveRun(m_History, End);
    return fail(stopError());
  }
  if (m_IsQueryingHolder)
    return queryNextHolder();
  const retry::Decision Next =
      retry::decide(m_Context.RetryOptions, m_History, End, m_Context.Budget,
                    BootClock::now());
  const bool MayHaveRun = retry::mayHaveRun(m_History, End);
  m_History.EarlierMayHaveRun |= MayHaveRun;
  const bool IsFinal = !std::holds_alternative<retry::ResumeAttempt>(Next);
  if (IsFinal && MayHaveRun)
    ++m_History.Runs;
  if (Link && IsFinal)
    m_FailedTargets.push_back(Link->target().Id);
  std::visit([this](const auto &Action) { perform(Action); }, Next);
}

Error Call::stopError() const {
  if (m_StopReason.load() == StopReason::CallerDisconnected)
    return {ResultCode::Cancelled, "the caller disconnected", {}, std::nullopt};
  const bool MayHaveRun =
      m_History.EarlierMayHaveRun || m_History.TokensDelivered > 0;
  if (!MayHaveRun)
    return {ResultCode::DeadlineUnreachable,
            "the deadline passed before any agent ran the request",
            {},
            std::nullopt};
  return {ResultCode::DeadlineExceeded,
          "the deadline passed; an agent may have run the request",
          {},
          std::nullopt};
}

void Call::runAfter(milliseconds Delay, EventLoop::Task Task) {
  if (Delay.count() <= 0)
    return Task();
  m_Context.Timers.after(Delay, std::move(Task));
}

void Call::scheduleNewAttempt(milliseconds Delay) {
  ++m_History.Attempts;
  m_History.Resumes = 0;
  m_History.AcceptedSeen = false;
  m_HeldRequestId = m_Request.RequestId;
  m_Context.Metrics.Retries.add();
  // Between two attempts only this task keeps the call alive.
  runAfter(Delay, [Self = shared_from_this()] { Self->startAttempt(); });
}

void Call::perform(const retry::RetryElsewhere &Next) {
  scheduleNewAttempt(Next.Delay);
}

void Call::perform(const retry::ContinueElsewhere &Next) {
  m_Context.Metrics.Continuations.add();
  scheduleNewAttempt(Next.Delay);
}

void Call::perform(const retry::RetryAtHome &Next) {
  scheduleNewAttempt(Next.Delay);
}

void Call::perform(const retry::ResumeAttempt &Next) {
  ++m_History.Resumes;
  runAfter(Next.Delay,
           [Self = shared_from_this()] { Self->resume(Self->m_LastLink); });
}

void Call::perform(const retry::WaitForBudget &Next) {
  runAfter(Next.Delay, [Self = shared_from_this()] {
    Self->onAttemptEnd(nullptr,
                       retry::NothingSent{ResultCode::RetryBudgetSpent, {}});
  });
}

void Call::perform(const retry::GiveUp &Next) {
  std::string Message(resultCodeInfo(Next.Code).Meaning);
  if (!m_LastMessage.empty())
    Message += " Last answer: " + m_LastMessage;
  fail(Error{Next.Code, std::move(Message), {}, Next.RetryAfter});
}

} // namespace figlift::entry
