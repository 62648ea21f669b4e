//===- Call.cpp - Start, end and received frames of a call ----------------===//
//
// See Call.h. Sending attempts is in CallAttempts.cpp.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Call.h"

#include "LibLog/Log.h"

#include <utility>

namespace figlift::entry {

using std::chrono::milliseconds;
using timeline::SubjectType;

namespace {

/// Agents enforce the deadline themselves, and their reply says whether the
/// work ran. The entry waits this much longer for that reply.
constexpr milliseconds DeadlineGrace{150};
/// A keep-alive is written to a stream that has been idle for this long, which
/// also detects callers that have disconnected.
constexpr milliseconds KeepAliveIdleTime{2000};
constexpr milliseconds KeepAliveCheckInterval{1000};
constexpr milliseconds DefaultRetryAfter{1000};

} // namespace

void Call::start(const CallContext &Context,
                 std::shared_ptr<http::Exchange> Caller,
                 CallerRequest Request) {
  // Not std::make_shared: long-lived timers hold weak pointers, which would
  // keep the memory of a combined allocation alive.
  const std::shared_ptr<Call> NewCall(new Call(Context, std::move(Request)));
  std::weak_ptr<Call> Weak = NewCall;
  NewCall->m_Writer.emplace(
      makeAnswerWriter(std::move(Caller), NewCall->m_Request, [Weak] {
        if (const auto Self = Weak.lock())
          Self->stop(StopReason::CallerDisconnected);
      }));
  if (!NewCall->admit())
    return;
  NewCall->startTimers();
  if (!NewCall->m_Request.ResumeKey.empty())
    NewCall->findHolders();
  NewCall->queryNextHolder();
}

Call::Call(const CallContext &Context, CallerRequest Request)
    : m_Context(Context), m_Request(std::move(Request)),
      m_Deadline(m_StartTime + m_Request.Deadline),
      m_HeldRequestId(m_Request.RequestId) {
  m_History.Repeatable = m_Request.Repeatable;
  m_History.Keyed = m_Request.keyed();
  m_History.Deadline = m_Deadline;
  m_Context.Metrics.InFlight.add(1);
  m_Context.Events.record(
      timeline::kinds::RequestAccepted,
      {SubjectType::Request, m_Request.RequestId},
      {{"callerId", m_Request.CallerId}, {"backEnd", m_Request.BackEnd}});
}

Call::~Call() {
  m_Context.Metrics.InFlight.add(-1);
  if (m_IsCounted)
    m_Context.Workspaces.release(m_Request.Workspace);
}

bool Call::admit() {
  std::optional<unsigned> Maximum;
  const std::optional<Error> NotReady =
      m_Context.State.read([&](const ServingState &Now) {
        if (const auto *Workspace =
                Now.Configuration->workspace(m_Request.Workspace))
          Maximum = Workspace->MaximumConcurrentRequests;
        return Now.NotReady;
      });
  if (NotReady) {
    fail(*NotReady);
    return false;
  }
  if (!Maximum)
    return true;
  m_IsCounted = m_Context.Workspaces.tryAcquire(m_Request.Workspace, *Maximum);
  if (!m_IsCounted)
    fail(Error{ResultCode::LimitReached,
               "the workspace has " + std::to_string(*Maximum) +
                   " requests in flight, which is its limit",
               {},
               DefaultRetryAfter});
  return m_IsCounted;
}

void Call::startTimers() {
  m_LastWrite = m_StartTime.time_since_epoch().count();
  std::weak_ptr<Call> Weak = weak_from_this();
  m_DeadlineTimer =
      m_Context.Timers.after(m_Request.Deadline + DeadlineGrace, [Weak] {
        if (const auto Self = Weak.lock())
          Self->stop(StopReason::DeadlinePassed);
      });
  if (std::holds_alternative<std::unique_ptr<StreamedCompletion>>(*m_Writer))
    scheduleKeepAlive();
}

void Call::scheduleKeepAlive() {
  std::weak_ptr<Call> Weak = weak_from_this();
  m_Context.Timers.after(KeepAliveCheckInterval, [Weak] {
    if (const auto Self = Weak.lock(); Self && !Self->m_Done.load())
      Self->keepAlive();
  });
}

void Call::keepAlive() {
  const BootTime Now = BootClock::now();
  const BootTime Last{std::chrono::nanoseconds(m_LastWrite.load())};
  // Until an agent accepts the work it may still be refused, and a refusal must
  // be reported with its own HTTP status.
  if (m_Accepted.load() && Now - Last >= KeepAliveIdleTime) {
    m_LastWrite = Now.time_since_epoch().count();
    auto Write = [](auto &Writer) { return Writer->keepAlive(); };
    if (!std::visit(Write, *m_Writer))
      stop(StopReason::CallerDisconnected);
  }
  scheduleKeepAlive();
}

void Call::stop(StopReason Reason) {
  if (m_Done.load())
    return;
  StopReason Unset = StopReason::None;
  m_StopReason.compare_exchange_strong(Unset, Reason);
  if (const auto Attempt = m_LiveAttempt.load())
    Attempt->cancel();
}

milliseconds Call::timeLeft() const {
  return std::chrono::floor<milliseconds>(m_Deadline - BootClock::now());
}

void Call::onAccepted() {
  m_History.AcceptedSeen = true;
  m_History.LinksLostSince.reset();
  m_Accepted.store(true);
}

bool Call::onTokens(Attempt &Source, const wire::Tokens &Frame) {
  takeOver(Source);
  m_History.AcceptedSeen = true;
  m_History.LinksLostSince.reset();
  m_Accepted.store(true);
  const uint32_t Expected = m_History.TokensDelivered;
  if (Frame.first_index() + Frame.count() <= Expected) {
    m_Context.Metrics.FramesDropped.add();
    return true;
  }
  if (Frame.first_index() != Expected)
    return abandonAttempt(Source);
  if (Expected == 0)
    m_Context.Metrics.FirstTokenTime.observe(BootClock::now() - m_StartTime);
  m_History.TokensDelivered += Frame.count();
  m_History.LastToken = BootClock::now();
  m_DeliveredText += Frame.text();
  m_Context.Metrics.Tokens.add(Frame.count());
  m_LastWrite = BootClock::now().time_since_epoch().count();
  auto Write = [&](auto &Writer) {
    if constexpr (requires { Writer->tokens(Frame.text()); })
      return Writer->tokens(Frame.text());
    else
      return true;
  };
  if (!std::visit(Write, *m_Writer))
    stop(StopReason::CallerDisconnected);
  return true;
}

/// Tokens are missing, or the total does not match the number delivered, so the
/// rest of the stream cannot be trusted. Handled like a lost connection: the
/// answer is fetched again from the first missing token.
bool Call::abandonAttempt(Attempt &Source) {
  m_Context.Metrics.AnswerGaps.add();
  log::logRequest(log::Level::Warning, "answer-gap",
                  Source.identity().RequestId, Source.identity().AttemptId,
                  {{"expected", m_History.TokensDelivered}});
  Source.cancel();
  onAttemptEnd(Source.link(),
               retry::StreamInterrupted{wire::StreamEnd::ConnectionLost});
  return false;
}

void Call::onFinished(Attempt &Source, const wire::Finished &Frame) {
  const auto *Work = std::get_if<CompletionWork>(&m_Request.Work);
  if (!Work || Frame.total_tokens() != m_History.TokensDelivered) {
    abandonAttempt(Source);
    return;
  }
  takeOver(Source);
  Source.link()->health().recordSuccess();
  const CompletionEnd End{.FinishReason = Frame.finish_reason(),
                          .PromptTokens = shape().PromptTokens,
                          .TotalTokens = Frame.total_tokens(),
                          .CachedPromptTokens = Frame.cached_prompt_tokens()};
  auto Write = [&](auto &Writer) {
    if constexpr (requires { Writer->finish(End); })
      Writer->finish(End);
  };
  std::visit(Write, *m_Writer);
  finish(ResultCode::Success);
}

void Call::onServiceAnswer(Attempt &Source, const wire::ServiceAnswer &Frame) {
  auto *Writer = std::get_if<std::unique_ptr<ServiceResponse>>(&*m_Writer);
  if (!Writer)
    return onAttemptEnd(Source.link(), retry::TargetFailed{});
  Source.link()->health().recordSuccess();
  (*Writer)->answer(Frame);
  finish(ResultCode::Success);
}

void Call::onRefusal(Attempt &Source, const wire::Refusal &Frame) {
  m_History.LinksLostSince.reset();
  m_LastMessage = Frame.message();
  retry::AgentRefused End;
  End.Code = resultCodeFromNumber(static_cast<int>(Frame.code()))
                 .value_or(ResultCode::NotReady);
  if (Frame.retry_after_milliseconds() > 0)
    End.RetryAfter = milliseconds(Frame.retry_after_milliseconds());
  if (End.Code == ResultCode::HomeMoved)
    m_Context.OnHomeMoved(m_Request.BackEnd);
  onAttemptEnd(Source.link(), End);
}

void Call::onFailure(Attempt &Source, const wire::Failure &Frame) {
  m_History.LinksLostSince.reset();
  m_LastMessage = Frame.message();
  ResultCode Code = resultCodeFromNumber(static_cast<int>(Frame.code()))
                        .value_or(ResultCode::TargetFailed);
  // Agents end an answer taken over from an earlier call at that call's
  // deadline, which may pass before the deadline of this call.
  if (m_TakenOver && Code == ResultCode::DeadlineExceeded &&
      timeLeft().count() > 0)
    Code = ResultCode::TargetFailed;
  if (Code == ResultCode::TargetFailed)
    Source.link()->health().recordFailure(BootClock::now());
  onAttemptEnd(Source.link(), retry::TargetFailed{Code});
}

void Call::onStreamEnd(Attempt &Source, wire::StreamEnd End) {
  if (End == wire::StreamEnd::ConnectionLost ||
      End == wire::StreamEnd::NeverSent) {
    const BootTime Now = BootClock::now();
    Source.link()->health().recordFailure(Now);
    if (!m_History.LinksLostSince)
      m_History.LinksLostSince = Now;
  }
  // A stream that finishes without a final frame leaves the outcome as unknown
  // as a reset.
  if (End == wire::StreamEnd::Finished)
    End = wire::StreamEnd::ResetByPeer;
  onAttemptEnd(Source.link(), retry::StreamInterrupted{End});
}

void Call::fail(Error Failure) {
  recordRefusedDemand(Failure.Code);
  if (!Failure.RetryAfter && resultCodeInfo(Failure.Code).MayRetry)
    Failure.RetryAfter = DefaultRetryAfter;
  log::logRequest(log::Level::Info, "request-failed", m_Request.RequestId, {},
                  {{"code", static_cast<int>(Failure.Code)},
                   {"callerId", m_Request.CallerId},
                   {"attempts", m_History.Attempts},
                   {"message", Failure.Message}});
  std::visit([&](auto &Writer) { Writer->fail(Failure); }, *m_Writer);
  finish(Failure.Code);
}

/// Counts work that the entry refused for lack of capacity. Agents never see it
/// and cannot report it as demand.
void Call::recordRefusedDemand(ResultCode Code) {
  const bool WantsEngines = Code == ResultCode::Overloaded ||
                            Code == ResultCode::DeadlineUnreachable ||
                            Code == ResultCode::NoTargetAvailable;
  if (!WantsEngines || m_LastLink ||
      !std::holds_alternative<CompletionWork>(m_Request.Work))
    return;
  const route::RequestShape Shape = shape();
  m_Context.Metrics.recordRefusal(m_Request.BackEnd, Shape.PromptTokens,
                                  Shape.MaximumTokens);
}

void Call::finish(ResultCode Code) {
  m_Done.store(true);
  m_LiveAttempt.store(nullptr);
  m_Context.Timers.cancel(m_DeadlineTimer);
  m_Context.Metrics.recordEnd(Code);
  const auto Elapsed = BootClock::now() - m_StartTime;
  m_Context.Metrics.RequestTime.observe(Elapsed);
  const bool IsRefusal = resultCodeInfo(Code).Executed == Execution::NotRun;
  if (Code == ResultCode::Success)
    m_Context.Budget.earn();
  m_Context.Events.record(
      Code == ResultCode::Success ? timeline::kinds::RequestAnswered
      : IsRefusal                 ? timeline::kinds::RequestRefused
                                  : timeline::kinds::RequestFailed,
      {SubjectType::Request, m_Request.RequestId},
      {{"code", static_cast<int>(Code)}, {"took", Elapsed}});
}

} // namespace figlift::entry
