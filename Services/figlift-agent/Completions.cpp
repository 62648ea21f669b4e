//===- Completions.cpp - Completions at a model engine --------------------===//
//
// The path of a completion: run() -> admission gate -> engine -> answer store
// -> stream of the entry that reads the answer.
//
//===----------------------------------------------------------------------===//

#include "Completions.h"

#include "Frames.h"

#include "LibLog/Log.h"
#include "LibRoute/PrefixHash.h"
#include "LibStream/ResumeName.h"

namespace figlift::agent {

using timeline::SubjectType;

/// Retry-After of work that the engine itself refused without naming a time.
static constexpr std::chrono::milliseconds EngineRefusedRetryAfter{200};

/// Passes an answer from the threads of the HTTP pool to the event loop.
class Completions::Listener final : public target::CompletionListener {
public:
  Listener(EventLoop &Loop, std::weak_ptr<Completions *> Owner, WorkId Id)
      : m_Loop(Loop), m_Owner(std::move(Owner)), m_Id(Id) {}

  void onToken(target::Token Token) override {
    m_Loop.post(
        [Owner = m_Owner, Id = m_Id, Token = std::move(Token)]() mutable {
          if (const auto Completions = Owner.lock())
            (*Completions)->token(Id, std::move(Token));
        });
  }
  void onEnd(target::CallResult<target::CompletionEnd> End) override {
    m_Loop.post([Owner = m_Owner, Id = m_Id, End = std::move(End)]() mutable {
      if (const auto Completions = Owner.lock())
        (*Completions)->ended(Id, std::move(End));
    });
  }

private:
  EventLoop &m_Loop;
  const std::weak_ptr<Completions *> m_Owner;
  const WorkId m_Id;
};

Completions::Completions(Context Shared, Dependencies Services)
    : m_Shared(Shared), m_Dependencies(Services),
      m_Store({.MaximumBytes = Shared.Settings.Limits.HeldAnswerBytes.Bytes,
               .DetachedTime = Shared.Settings.Limits.HeldAnswerTime,
               .DeliveredTime = Shared.Settings.Limits.HeldAnswerTime}),
      m_Self(std::make_shared<Completions *>(this)),
      m_Tokens(Shared.Metrics.counter("agent_tokens_total",
                                      "Tokens received from the engine.")),
      m_Resumed(Shared.Metrics.counter(
          "agent_answers_resumed_total",
          "Answers whose reader came back after a broken link.")) {}

Completions::~Completions() = default;

static std::vector<uint64_t> hashesOf(const wire::Completion &Request) {
  return {Request.prefix_hashes().begin(), Request.prefix_hashes().end()};
}

static uint32_t promptTokensOf(const wire::Completion &Request) {
  if (Request.prompt_tokens() != 0)
    return Request.prompt_tokens();
  return static_cast<uint32_t>(Request.prompt().size() / route::BytesPerToken +
                               1);
}

admission::Work Completions::describe(const Run &Completion) const {
  admission::Work Result;
  Result.Class = static_cast<record::ServiceClass>(Completion.Priority);
  const uint32_t Delivered = Completion.Request.first_token();
  Result.PromptTokens = promptTokensOf(Completion.Request) + Delivered;
  Result.ExpectedCachedTokens = Completion.ExpectedCached;
  // Admission treats work without tokens as a call to a plain service, so at
  // least one token is left.
  const uint32_t Maximum = Completion.Request.maximum_tokens();
  Result.MaximumTokens =
      Maximum > Delivered ? Maximum - Delivered : std::min(Maximum, 1u);
  // A continued answer is not refused because it would miss its deadline; it
  // still ends at the deadline.
  if (Delivered == 0)
    Result.Deadline = Completion.Deadline;
  return Result;
}

void Completions::run(StreamId Stream, wire::RunRequest Request) {
  const WorkId Id = Stream;
  Run &Completion = m_Runs[Id];
  Completion.InitialStream = {Stream, Request.request_id(),
                              Request.attempt_id()};
  Completion.Priority = std::min(Request.service_class(), 2u);
  if (Request.deadline_milliseconds() != 0)
    Completion.Deadline =
        BootClock::now() +
        std::chrono::milliseconds(Request.deadline_milliseconds());
  Completion.Key = Request.idempotency_key();
  Completion.Request = std::move(*Request.mutable_completion());
  m_Readers[Stream] = Completion.InitialStream;
  m_QueuedRuns[Stream] = Id;
  Completion.ExpectedCached = static_cast<uint32_t>(
      m_Dependencies.Prefixes.matching(hashesOf(Completion.Request)) *
      route::PrefixBlockTokens);
  m_Dependencies.Gate.enter(
      Id, describe(Completion),
      {[this, Id] { admitted(Id); },
       [this, Id](const GateRefusal &Refusal) { refused(Id, Refusal); }});
}

/// Id of a run at the engine. An attempt that arrives twice runs twice for a
/// moment, and the cancellation of the first run must not reach the second.
static std::string runIdOf(const AttemptStream &Attempt) {
  const std::string &Name =
      Attempt.AttemptId.empty() ? Attempt.RequestId : Attempt.AttemptId;
  return Name + "." + std::to_string(Attempt.Stream);
}

static target::CompletionCall createCall(const AttemptStream &Attempt,
                                         const wire::Completion &Request,
                                         unsigned Priority) {
  target::CompletionCall Call;
  Call.RequestId = runIdOf(Attempt);
  Call.Model = Request.model();
  Call.Prompt = Request.prompt();
  Call.PromptTokens = Request.prompt_tokens();
  Call.MaximumTokens = Request.maximum_tokens();
  Call.Priority = Priority;
  Call.FirstToken = Request.first_token();
  Call.DeliveredText = Request.delivered_text();
  Call.KvHandle = Request.kv_handle();
  Call.PrefillOnly = Request.prefill_only();
  return Call;
}

void Completions::admitted(WorkId Id) {
  Run &Completion = m_Runs.at(Id);
  m_QueuedRuns.erase(Completion.InitialStream.Stream);
  m_Shared.Events.record(
      timeline::kinds::WorkHandedOver,
      {SubjectType::Request, Completion.InitialStream.RequestId},
      {{"attempt", Completion.InitialStream.AttemptId}});
  log::logRequest(log::Level::Debug, "run-started",
                  Completion.InitialStream.RequestId,
                  Completion.InitialStream.AttemptId);
  step(stream::RunStarted{Completion.InitialStream.RequestId, Id,
                          Completion.InitialStream.Stream,
                          Completion.Request.first_token()});
  if (!Completion.Key.empty())
    m_RequestIdsByKey[Completion.Key] = Completion.InitialStream.RequestId;
  wire::RunFrame Accepted;
  Accepted.mutable_accepted();
  m_Dependencies.Frames.send(Completion.InitialStream, std::move(Accepted),
                             true);
  m_Dependencies.Prefixes.used(hashesOf(Completion.Request));
  Completion.AtEngine = m_Dependencies.Engine.complete(
      createCall(Completion.InitialStream, Completion.Request,
                 Completion.Priority),
      std::make_shared<Listener>(m_Shared.Loop, m_Self, Id));
  // Only the answer is held from here on, so free the prompt's memory.
  Completion.Request.clear_prompt();
  if (Completion.Deadline)
    m_Shared.Loop.after(std::chrono::ceil<std::chrono::milliseconds>(
                            *Completion.Deadline - BootClock::now()),
                        [this, Id] { expire(Id); });
}

void Completions::refused(WorkId Id, const GateRefusal &Refusal) {
  const AttemptStream To = m_Runs.at(Id).InitialStream;
  m_QueuedRuns.erase(To.Stream);
  m_Runs.erase(Id);
  m_Dependencies.Frames.finish(To,
                               Error{Refusal.Code,
                                     "admission control refused the request",
                                     {},
                                     Refusal.RetryAfter});
}

void Completions::token(WorkId Id, target::Token Token) {
  const auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  m_Tokens.add();
  if (Found->second.TokensProduced++ == 0)
    m_Dependencies.Gate.firstToken(Id, Found->second.ExpectedCached);
  else
    m_Dependencies.Gate.progress(Id, 1);
  step(stream::TokenProduced{Id, Token.Index, std::move(Token.Text)});
}

stream::RunOutcome
Completions::toEnding(const Run &Completion,
                      const target::CallResult<target::CompletionEnd> &End) {
  if (End) {
    const target::CompletionEnd &Finished = End.value();
    return stream::Completed{Finished.TotalTokens, Finished.FinishReason,
                             Finished.CachedPromptTokens, Finished.KvHandle};
  }
  const target::CallError &CallError = End.error();
  // The engine refused the work before it produced a token, so the entry may
  // send the request to another target.
  if (CallError.Executed == Execution::NotRun &&
      Completion.TokensProduced == 0) {
    const bool InputRejected = CallError.Cause.Code == ResultCode::InvalidInput;
    return Error{InputRejected ? ResultCode::InvalidInput
                               : ResultCode::NotReady,
                 CallError.Cause.Message,
                 {},
                 CallError.Cause.RetryAfter.value_or(EngineRefusedRetryAfter)};
  }
  return Error{ResultCode::TargetFailed,
               "the engine's answer was interrupted: " +
                   CallError.Cause.Message,
               {},
               std::nullopt};
}

void Completions::ended(WorkId Id,
                        target::CallResult<target::CompletionEnd> End) {
  const auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  m_Shared.Events.record(
      timeline::kinds::WorkFinished,
      {SubjectType::Request, Found->second.InitialStream.RequestId},
      {{"tokens", Found->second.TokensProduced}, {"whole", End.has_value()}});
  const stream::RunOutcome RunOutcome = toEnding(Found->second, End);
  m_Runs.erase(Found);
  m_Dependencies.Gate.leave(Id);
  step(stream::RunEnded{Id, RunOutcome});
}

void Completions::expire(WorkId Id) {
  const auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  perform(stream::CancelRun{Id});
  step(stream::RunEnded{Id, Error{ResultCode::DeadlineExceeded,
                                  "the deadline passed before the answer was "
                                  "complete",
                                  {},
                                  std::nullopt}});
}

void Completions::resume(StreamId Stream, const wire::ResumeRequest &Request) {
  m_Readers[Stream] = {Stream, Request.request_id(), Request.attempt_id()};
  const std::string RequestId = findRequestId(Request.request_id());
  if (m_Store.holds(RequestId)) {
    m_Resumed.add();
    m_Shared.Events.record(timeline::kinds::AnswerResumed,
                           {SubjectType::Request, RequestId},
                           {{"first", Request.first_token()}});
  }
  step(stream::ReaderResumed{RequestId, Stream, Request.first_token()});
}

std::string Completions::findRequestId(const std::string &Name) const {
  const std::optional<std::string> Key = stream::keyDigestOf(Name);
  if (!Key)
    return Name;
  // An answer has one reader at a time. An answer that is being read is not
  // given to a second caller, because the two would keep taking it over from
  // each other.
  const auto Found = m_RequestIdsByKey.find(*Key);
  const bool HasNoReader =
      Found != m_RequestIdsByKey.end() && m_Store.isResumable(Found->second);
  return HasNoReader ? Found->second : Name;
}

void Completions::streamEnded(StreamId Stream, wire::StreamEnd End) {
  m_Readers.erase(Stream);
  if (const auto Found = m_QueuedRuns.find(Stream);
      Found != m_QueuedRuns.end()) {
    // The run is still queued, so it is dropped without telling the engine.
    const WorkId Id = Found->second;
    m_QueuedRuns.erase(Found);
    m_Runs.erase(Id);
    m_Dependencies.Gate.leave(Id);
    return;
  }
  if (End == wire::StreamEnd::ResetByPeer)
    step(stream::ReaderCancelled{Stream});
  else
    step(stream::ReaderLost{Stream});
}

void Completions::tick() {
  step(stream::TimePassed{});
  std::erase_if(m_RequestIdsByKey, [this](const auto &Answer) {
    return !m_Store.holds(Answer.second);
  });
}

void Completions::step(const stream::Event &Event) {
  for (const stream::Action &Next : m_Store.step(Event, BootClock::now()))
    std::visit([this](const auto &Chosen) { perform(Chosen); }, Next);
}

void Completions::perform(const stream::SendTokens &Action) {
  if (const auto To = m_Readers.find(Action.Reader); To != m_Readers.end())
    m_Dependencies.Frames.send(To->second, tokensFrame(Action.Tokens));
}

void Completions::perform(const stream::SendOutcome &Action) {
  const auto To = m_Readers.find(Action.Reader);
  if (To == m_Readers.end())
    return;
  if (const auto *Completed = std::get_if<stream::Completed>(&Action.Outcome))
    m_Dependencies.Frames.finish(To->second, finishedFrame(*Completed));
  else
    m_Dependencies.Frames.finish(To->second, std::get<Error>(Action.Outcome),
                                 Action.Tokens);
}

void Completions::perform(const stream::RejectResume &Action) {
  if (const auto To = m_Readers.find(Action.Reader); To != m_Readers.end())
    m_Dependencies.Frames.finish(To->second,
                                 Error{Action.Code,
                                       "this agent does not hold the answer",
                                       {},
                                       std::nullopt});
}

void Completions::perform(const stream::CloseReader &Action) {
  if (const auto To = m_Readers.find(Action.Reader); To != m_Readers.end())
    m_Dependencies.Frames.dismiss(To->second);
}

void Completions::perform(const stream::CancelRun &Action) {
  const auto Found = m_Runs.find(Action.Run);
  if (Found == m_Runs.end())
    return;
  m_Shared.Events.record(
      timeline::kinds::RequestCancelled,
      {SubjectType::Request, Found->second.InitialStream.RequestId});
  const auto AtEngine = Found->second.AtEngine;
  m_Runs.erase(Found);
  if (AtEngine)
    AtEngine->cancel();
  m_Dependencies.Gate.leave(Action.Run);
}

} // namespace figlift::agent
