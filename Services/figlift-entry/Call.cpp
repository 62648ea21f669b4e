//===- Call.cpp - Beginning and end of a call, and its frames -------------===//
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

/// An agent refuses at the deadline itself, and its answer says whether the
/// work ran; the entry waits this much longer for it.
constexpr milliseconds DeadlineGrace{150};
/// A caller who has gone is noticed after a silence of about this length.
constexpr milliseconds Silence{2000};
constexpr milliseconds SilenceCheckInterval{1000};
constexpr milliseconds DefaultRetryAfter{1000};

} // namespace

void Call::start(const CallContext &With,
                 std::shared_ptr<http::Exchange> Caller,
                 CallerRequest Request) {
  // Not std::make_shared: timers hold weak pointers for a long time, which
  // would keep the memory of the whole call.
  const std::shared_ptr<Call> Made(new Call(With, std::move(Request)));
  std::weak_ptr<Call> Weak = Made;
  Made->m_Writer.emplace(
      makeAnswerWriter(std::move(Caller), Made->m_Request, [Weak] {
        if (const auto Alive = Weak.lock())
          Alive->stop(StopReason::CallerGone);
      }));
  if (!Made->admit())
    return;
  Made->arm();
  if (!Made->m_Request.ResumeKey.empty())
    Made->findHolders();
  Made->askHolders();
}

Call::Call(const CallContext &With, CallerRequest Request)
    : m_Context(With), m_Request(std::move(Request)),
      m_Deadline(m_Began + m_Request.Deadline), m_HeldAs(m_Request.RequestId) {
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
  if (m_Counted)
    m_Context.Workspaces.leave(m_Request.Workspace);
}

bool Call::admit() {
  std::optional<unsigned> Maximum;
  const std::optional<Error> NotReady =
      m_Context.State.read([&](const ServingState &Now) {
        if (const auto *Customer =
                Now.Configuration->workspace(m_Request.Workspace))
          Maximum = Customer->MaximumConcurrentRequests;
        return Now.NotReady;
      });
  if (NotReady) {
    fail(*NotReady);
    return false;
  }
  if (!Maximum)
    return true;
  m_Counted = m_Context.Workspaces.enter(m_Request.Workspace, *Maximum);
  if (!m_Counted)
    fail(Error{ResultCode::LimitReached,
               "the workspace has " + std::to_string(*Maximum) +
                   " requests in flight, which is its limit",
               {},
               DefaultRetryAfter});
  return m_Counted;
}

void Call::arm() {
  m_LastWrite = m_Began.time_since_epoch().count();
  std::weak_ptr<Call> Weak = weak_from_this();
  m_DeadlineTimer =
      m_Context.Timers.after(m_Request.Deadline + DeadlineGrace, [Weak] {
        if (const auto Alive = Weak.lock())
          Alive->stop(StopReason::DeadlinePassed);
      });
  if (std::holds_alternative<std::unique_ptr<StreamedCompletion>>(*m_Writer))
    keepAliveLater();
}

void Call::keepAliveLater() {
  std::weak_ptr<Call> Weak = weak_from_this();
  m_Context.Timers.after(SilenceCheckInterval, [Weak] {
    if (const auto Alive = Weak.lock(); Alive && !Alive->m_Done.load())
      Alive->keepAlive();
  });
}

void Call::keepAlive() {
  const BootTime Now = BootClock::now();
  const BootTime Last{std::chrono::nanoseconds(m_LastWrite.load())};
  // Before the work is accepted a refusal may still come, which should have a
  // status of its own.
  if (m_Accepted.load() && Now - Last >= Silence) {
    m_LastWrite = Now.time_since_epoch().count();
    auto Write = [](auto &Writer) { return Writer->keepAlive(); };
    if (!std::visit(Write, *m_Writer))
      stop(StopReason::CallerGone);
  }
  keepAliveLater();
}

void Call::stop(StopReason Why) {
  if (m_Done.load())
    return;
  StopReason Before = StopReason::None;
  m_Stop.compare_exchange_strong(Before, Why);
  if (const auto Live = m_Live.load())
    Live->cancel();
}

milliseconds Call::timeLeft() const {
  return std::chrono::floor<milliseconds>(m_Deadline - BootClock::now());
}

void Call::onAccepted() {
  m_History.AcceptedSeen = true;
  m_History.LinksLostSince.reset();
  m_Accepted.store(true);
}

bool Call::onTokens(Attempt &From, const wire::Tokens &Frame) {
  takeOver(From);
  m_History.AcceptedSeen = true;
  m_History.LinksLostSince.reset();
  m_Accepted.store(true);
  const uint32_t Expected = m_History.TokensDelivered;
  if (Frame.first_index() + Frame.count() <= Expected) {
    m_Context.Metrics.FramesDropped.add();
    return true;
  }
  if (Frame.first_index() != Expected)
    return giveUpAnswer(From);
  if (Expected == 0)
    m_Context.Metrics.FirstTokenTime.observe(BootClock::now() - m_Began);
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
    stop(StopReason::CallerGone);
  return true;
}

/// A token is missing, or more came than belong to the answer: what follows
/// cannot be trusted. As if the link had broken, so that the rest is fetched
/// again from the token that is missing.
bool Call::giveUpAnswer(Attempt &From) {
  m_Context.Metrics.AnswerGaps.add();
  log::logRequest(log::Level::Warning, "answer-gap", From.identity().RequestId,
                  From.identity().AttemptId,
                  {{"expected", m_History.TokensDelivered}});
  From.cancel();
  afterEnd(From.link(),
           retry::StreamInterrupted{wire::StreamEnd::ConnectionLost});
  return false;
}

void Call::onFinished(Attempt &From, const wire::Finished &Frame) {
  const auto *Work = std::get_if<CompletionWork>(&m_Request.Work);
  if (!Work || Frame.total_tokens() != m_History.TokensDelivered) {
    giveUpAnswer(From);
    return;
  }
  takeOver(From);
  From.link()->health().recordSuccess();
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

void Call::onServiceAnswer(Attempt &From, const wire::ServiceAnswer &Frame) {
  auto *Writer = std::get_if<std::unique_ptr<PlainAnswer>>(&*m_Writer);
  if (!Writer)
    return afterEnd(From.link(), retry::TargetFailed{});
  From.link()->health().recordSuccess();
  (*Writer)->answer(Frame);
  finish(ResultCode::Success);
}

void Call::onRefusal(Attempt &From, const wire::Refusal &Frame) {
  m_History.LinksLostSince.reset();
  m_LastMessage = Frame.message();
  retry::AgentRefused End;
  End.Code = resultCodeFromNumber(static_cast<int>(Frame.code()))
                 .value_or(ResultCode::NotReady);
  if (Frame.retry_after_milliseconds() > 0)
    End.RetryAfter = milliseconds(Frame.retry_after_milliseconds());
  if (End.Code == ResultCode::HomeMoved)
    m_Context.OnHomeMoved(m_Request.BackEnd);
  afterEnd(From.link(), End);
}

void Call::onFailure(Attempt &From, const wire::Failure &Frame) {
  m_History.LinksLostSince.reset();
  m_LastMessage = Frame.message();
  ResultCode Code = resultCodeFromNumber(static_cast<int>(Frame.code()))
                        .value_or(ResultCode::TargetFailed);
  // The deadline of the call that began this answer; this one has its own.
  if (m_TakenOver && Code == ResultCode::DeadlineExceeded &&
      timeLeft().count() > 0)
    Code = ResultCode::TargetFailed;
  if (Code == ResultCode::TargetFailed)
    From.link()->health().recordFailure(BootClock::now());
  afterEnd(From.link(), retry::TargetFailed{Code});
}

void Call::onBroken(Attempt &From, wire::StreamEnd End) {
  if (End == wire::StreamEnd::ConnectionLost ||
      End == wire::StreamEnd::NeverSent) {
    const BootTime Now = BootClock::now();
    From.link()->health().recordFailure(Now);
    if (!m_History.LinksLostSince)
      m_History.LinksLostSince = Now;
  }
  // Without a last frame an end in good order says no more than a broken one.
  if (End == wire::StreamEnd::Finished)
    End = wire::StreamEnd::ResetByPeer;
  afterEnd(From.link(), retry::StreamInterrupted{End});
}

void Call::fail(Error What) {
  countAsDemand(What.Code);
  if (!What.RetryAfter && resultCodeInfo(What.Code).MayRetry)
    What.RetryAfter = DefaultRetryAfter;
  log::logRequest(log::Level::Info, "request-failed", m_Request.RequestId, {},
                  {{"code", static_cast<int>(What.Code)},
                   {"callerId", m_Request.CallerId},
                   {"attempts", m_History.Attempts},
                   {"message", What.Message}});
  std::visit([&](auto &Writer) { Writer->fail(What); }, *m_Writer);
  finish(What.Code);
}

/// Demand that no agent counts: the entry refused it for want of engines.
void Call::countAsDemand(ResultCode Code) {
  const bool WantsEngines = Code == ResultCode::Overloaded ||
                            Code == ResultCode::DeadlineUnreachable ||
                            Code == ResultCode::NoTargetAvailable;
  if (!WantsEngines || m_LastLink ||
      !std::holds_alternative<CompletionWork>(m_Request.Work))
    return;
  const route::RequestShape Shape = shape();
  m_Context.Metrics.refusedEarly(m_Request.BackEnd, Shape.PromptTokens,
                                 Shape.MaximumTokens);
}

void Call::finish(ResultCode Code) {
  m_Done.store(true);
  m_Live.store(nullptr);
  m_Context.Timers.cancel(m_DeadlineTimer);
  m_Context.Metrics.ended(Code);
  const auto Took = BootClock::now() - m_Began;
  m_Context.Metrics.WholeTime.observe(Took);
  const bool IsRefusal = resultCodeInfo(Code).Executed == Execution::NotRun;
  if (Code == ResultCode::Success)
    m_Context.Budget.earn();
  m_Context.Events.record(Code == ResultCode::Success
                              ? timeline::kinds::RequestAnswered
                          : IsRefusal ? timeline::kinds::RequestRefused
                                      : timeline::kinds::RequestFailed,
                          {SubjectType::Request, m_Request.RequestId},
                          {{"code", static_cast<int>(Code)}, {"took", Took}});
}

} // namespace figlift::entry
