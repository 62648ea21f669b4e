//===- CallAttempts.cpp - Attempts of a call ------------------------------===//
//
// Sends attempts, and carries out what LibRetry decides after their ends.
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

constexpr size_t MaximumHashesSent = 512;

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
  std::visit([&](const auto &Work) { describe(Work, Message); },
             m_Request.Work);
  return Message;
}

void Call::describe(const CompletionWork &Work, wire::RunRequest &Into) const {
  wire::Completion &Out = *Into.mutable_completion();
  Out.set_model(m_PinnedModel.empty() ? Work.Model : m_PinnedModel);
  Out.set_prompt(Work.Prompt);
  Out.set_prompt_tokens(Work.promptTokens());
  Out.set_maximum_tokens(Work.MaximumTokens);
  Out.set_first_token(m_History.TokensDelivered);
  Out.set_delivered_text(m_DeliveredText);
  const size_t Count = std::min(m_PrefixHashes.size(), MaximumHashesSent);
  Out.mutable_prefix_hashes()->Assign(m_PrefixHashes.begin(),
                                      m_PrefixHashes.begin() +
                                          static_cast<ptrdiff_t>(Count));
}

void Call::describe(const ServiceWork &Work, wire::RunRequest &Into) const {
  wire::ServiceCall &Out = *Into.mutable_service_call();
  Out.set_service(m_Request.BackEnd);
  Out.set_method(Work.Method);
  Out.set_path(Work.Path);
  Out.set_content_type(Work.ContentType);
  Out.set_body(Work.Body);
  if (m_Request.keyed())
    // Guards the key against being used again for another request.
    Into.set_fingerprint(
        digestOf({Work.Method, Work.Path, Work.ContentType, Work.Body}));
}

void Call::attempt() {
  if (const auto *Work = std::get_if<CompletionWork>(&m_Request.Work);
      Work && m_PrefixHashes.empty())
    m_PrefixHashes = route::prefixHashes(Work->Prompt);
  Result<Destination> To = choose();
  if (!To) {
    m_LastMessage = To.error().Message;
    return afterEnd(nullptr,
                    retry::NothingSent{To.error().Code, To.error().RetryAfter});
  }
  const std::string AttemptId = m_Context.Ids.nextText();
  wire::RunRequest Message = runRequest(AttemptId, To.value().SliceEpoch);
  const timeline::Stamp Sent = m_Context.Events.record(
      timeline::kinds::AttemptSent, {SubjectType::Request, m_Request.RequestId},
      {{"attempt", AttemptId}, {"target", To.value().Link->target().Id}});
  Message.set_clock(Sent.Value);
  launch(wire::Method::Run, Message.SerializeAsString(), std::move(To.value()),
         AttemptId);
}

void Call::resume(std::shared_ptr<TargetLink> Link) {
  const std::string AttemptId = m_Context.Ids.nextText();
  wire::ResumeRequest Message;
  Message.set_request_id(m_HeldAs);
  Message.set_attempt_id(AttemptId);
  Message.set_first_token(m_History.TokensDelivered);
  if (!m_Asking)
    m_Context.Metrics.Resumes.add();
  m_Context.Events.record(timeline::kinds::AnswerResumed,
                          {SubjectType::Request, m_Request.RequestId},
                          {{"attempt", AttemptId},
                           {"target", Link->target().Id},
                           {"firstToken", m_History.TokensDelivered}});
  Destination To;
  To.Link = std::move(Link);
  launch(wire::Method::Resume, Message.SerializeAsString(), std::move(To),
         AttemptId);
}

void Call::launch(wire::Method What, std::string Message, Destination To,
                  std::string AttemptId) {
  m_Context.Metrics.Attempts.add();
  m_LastLink = To.Link;
  const auto Next = std::make_shared<Attempt>(
      shared_from_this(), To.Link,
      Attempt::Identity{What == wire::Method::Resume ? m_HeldAs
                                                     : m_Request.RequestId,
                        std::move(AttemptId)},
      std::move(To.Ticket), To.PrefixTokensBelieved);
  m_Live.store(Next);
  // Whoever stops the call sets the flag first and then looks for the live
  // attempt; so one of the two sides sees the other.
  if (m_Stop.load() != StopReason::None)
    return afterEnd(nullptr, retry::NothingSent{ResultCode::Cancelled, {}});
  Next->send(What, std::move(Message));
}

void Call::afterEnd(const std::shared_ptr<TargetLink> &Link,
                    const retry::AttemptEnd &End) {
  m_Live.store(nullptr);
  m_Context.Events.record(timeline::kinds::AttemptEnded,
                          {SubjectType::Request, m_Request.RequestId},
                          {{"tokens", m_History.TokensDelivered}});
  if (m_Stop.load() != StopReason::None) {
    m_History.EarlierMayHaveRun |=
        !m_Asking && retry::mayHaveRun(m_History, End);
    return fail(stopError());
  }
  if (m_Asking)
    return askHolders();
  const retry::Decision Next = retry::decide(
      m_Context.Retrying, m_History, End, m_Context.Budget, BootClock::now());
  const bool MayHaveRun = retry::mayHaveRun(m_History, End);
  m_History.EarlierMayHaveRun |= MayHaveRun;
  const bool IsOver = !std::holds_alternative<retry::ResumeAttempt>(Next);
  if (IsOver && MayHaveRun)
    ++m_History.Runs;
  if (Link && IsOver)
    m_Excluded.push_back(Link->target().Id);
  std::visit([this](const auto &Which) { perform(Which); }, Next);
}

Error Call::stopError() const {
  if (m_Stop.load() == StopReason::CallerGone)
    return {ResultCode::Cancelled, "the caller went away", {}, std::nullopt};
  const bool MayHaveRun =
      m_History.EarlierMayHaveRun || m_History.TokensDelivered > 0;
  if (!MayHaveRun)
    return {ResultCode::DeadlineUnreachable,
            "the deadline passed before the request was handed over",
            {},
            std::nullopt};
  return {ResultCode::DeadlineExceeded,
          "the deadline passed after hand-off",
          {},
          std::nullopt};
}

void Call::runAfter(milliseconds Delay, EventLoop::Task What) {
  if (Delay.count() <= 0)
    return What();
  m_Context.Timers.after(Delay, std::move(What));
}

void Call::newAttemptAfter(milliseconds Delay) {
  ++m_History.Attempts;
  m_History.Resumes = 0;
  m_History.AcceptedSeen = false;
  m_HeldAs = m_Request.RequestId;
  m_Context.Metrics.Retries.add();
  // The task owns the call: nothing else does between two attempts.
  runAfter(Delay, [Self = shared_from_this()] { Self->attempt(); });
}

void Call::perform(const retry::RetryElsewhere &Next) {
  newAttemptAfter(Next.Delay);
}

void Call::perform(const retry::ContinueElsewhere &Next) {
  m_Context.Metrics.Continuations.add();
  newAttemptAfter(Next.Delay);
}

void Call::perform(const retry::RetryAtHome &Next) {
  newAttemptAfter(Next.Delay);
}

void Call::perform(const retry::ResumeAttempt &Next) {
  ++m_History.Resumes;
  runAfter(Next.Delay,
           [Self = shared_from_this()] { Self->resume(Self->m_LastLink); });
}

void Call::perform(const retry::WaitForBudget &Next) {
  runAfter(Next.Delay, [Self = shared_from_this()] {
    Self->afterEnd(nullptr,
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
