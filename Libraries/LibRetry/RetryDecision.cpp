//===- RetryDecision.cpp - Decision after an attempt ------------*- C++ -*-===//
//
// Implements the decision as a visitor over the alternatives of AttemptEnd.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/RetryDecision.h"

#include <algorithm>

namespace figlift::retry {

namespace {

using std::chrono::milliseconds;

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

bool provesNotProcessed(wire::StreamEnd End) {
  return End == wire::StreamEnd::ProvablyNotProcessed ||
         End == wire::StreamEnd::NeverSent;
}

/// Whether the code is a caller error, or final for another reason: no other
/// target would answer differently.
bool isFinal(ResultCode Code) {
  const int Number = static_cast<int>(Code);
  return (Number >= 100 && Number < 200) ||
         Code == ResultCode::OutcomeUnknown ||
         Code == ResultCode::DeadlineExceeded || Code == ResultCode::Cancelled;
}

/// Whether the code is a refusal caused by a planned change.
bool isPlanned(ResultCode Code) {
  return Code == ResultCode::Draining || Code == ResultCode::NotReady ||
         Code == ResultCode::HomeMoved ||
         Code == ResultCode::StaleConfiguration;
}

class Decider {
public:
  Decider(const RetrySettings &Settings, const RequestHistory &History,
          RetryBudget &Budget, BootTime Now)
      : m_Settings(Settings), m_History(History), m_Budget(Budget), m_Now(Now) {
  }

  Decision operator()(const StreamInterrupted &Interrupted) const {
    if (Interrupted.End == wire::StreamEnd::Cancelled)
      return giveUp(ResultCode::Cancelled, true);
    if (mayHaveRun(m_History, Interrupted))
      return afterUnknownOutcome(ResultCode::OutcomeUnknown);
    const ResultCode Code = m_History.Keyed ? ResultCode::HomeUnreachable
                                            : ResultCode::NoTargetAvailable;
    return retry(Code, false, std::nullopt, false);
  }

  Decision operator()(const AgentRefused &Refused) const {
    if (mayHaveRun(m_History, Refused))
      return afterRefusedResume();
    if (isFinal(Refused.Code))
      return giveUp(Refused.Code, false, Refused.RetryAfter);
    return retry(Refused.Code, false, Refused.RetryAfter,
                 !isPlanned(Refused.Code));
  }

  Decision operator()(const TargetFailed &Failed) const {
    if (isFinal(Failed.Code))
      return giveUp(Failed.Code, true);
    if (!m_History.Repeatable)
      return giveUp(ResultCode::OutcomeUnknown, true);
    return retry(Failed.Code, true, std::nullopt, true);
  }

  Decision operator()(const NothingSent &Unsent) const {
    // Routing has considered every target, so an immediate retry would get the
    // same result. Exceptions: a key whose home is moving, an answer that has
    // started and can no longer be refused, and lost links that may come back.
    if ((m_History.Keyed && Unsent.Code == ResultCode::HomeMoved) ||
        ((answerStarted() || mayWaitForLinks(false)) && !isFinal(Unsent.Code)))
      return retry(Unsent.Code, false, Unsent.RetryAfter,
                   Unsent.Code == ResultCode::RetryBudgetSpent);
    return giveUp(Unsent.Code, false, Unsent.RetryAfter);
  }

  Decision operator()(const CallerDisconnected &) const {
    return giveUp(ResultCode::Cancelled, true);
  }

private:
  bool pastDeadline() const {
    return m_History.Deadline && m_Now >= *m_History.Deadline;
  }

  /// Part of the answer has been delivered, and the request has a deadline.
  bool answerStarted() const {
    return m_History.TokensDelivered > 0 && m_History.Deadline.has_value();
  }

  /// \p MayHaveRun refers to the last attempt.
  bool attemptsExhausted(bool MayHaveRun) const {
    if (!answerStarted())
      return m_History.Attempts >= m_Settings.MaximumAttempts &&
             !mayWaitForLinks(MayHaveRun);
    return m_History.Runs + (MayHaveRun ? 1 : 0) >= m_Settings.MaximumRuns &&
           !engineMayBeRestarting();
  }

  /// Whether to wait for agents whose links are lost to reconnect. This applies
  /// to work that may have run and may be sent again, anywhere or to the home
  /// of its key: giving up would leave the caller with an unknown outcome. Work
  /// that has not run is refused at once instead, so that the caller can send
  /// it again.
  bool mayWaitForLinks(bool LastAttemptMayHaveRun) const {
    return (m_History.Repeatable || m_History.Keyed) &&
           anyMayHaveRun(LastAttemptMayHaveRun) && m_History.LinksLostSince &&
           m_Now - *m_History.LinksLostSince < m_Settings.RestartTime;
  }

  /// The last token is not older than the time an engine needs to restart.
  bool engineMayBeRestarting() const {
    return m_History.LastToken &&
           m_Now - *m_History.LastToken < m_Settings.RestartTime;
  }

  /// Whether \p Delay and an attempt fit in before the deadline.
  bool hasTime(milliseconds Delay) const {
    return !m_History.Deadline ||
           m_Now + Delay + m_Settings.MinimumTimeLeft < *m_History.Deadline;
  }

  milliseconds backoff(unsigned AttemptNumber) const {
    if (AttemptNumber <= 1)
      return milliseconds(0);
    return std::min(m_Settings.FirstDelay *
                        (1 << std::min(AttemptNumber - 2, 16u)),
                    m_Settings.MaximumDelay);
  }

  /// The attempt may have run, and its answer was not received.
  Decision afterUnknownOutcome(ResultCode Code) const {
    const milliseconds Delay = backoff(m_History.Resumes + 1);
    if (m_History.AcceptedSeen &&
        m_History.Resumes < m_Settings.MaximumResumes && hasTime(Delay))
      return ResumeAttempt{Delay};
    return afterLostAnswer(Code);
  }

  /// The agent no longer holds the answer.
  Decision afterRefusedResume() const {
    return afterLostAnswer(ResultCode::AnswerNoLongerHeld);
  }

  Decision afterLostAnswer(ResultCode Code) const {
    if (m_History.Repeatable || m_History.Keyed)
      return retry(Code, true, std::nullopt, true);
    return giveUp(ResultCode::OutcomeUnknown, true);
  }

  Decision retry(ResultCode Code, bool MayHaveRun,
                 std::optional<milliseconds> RetryAfter,
                 bool SpendsBudget) const {
    if (attemptsExhausted(MayHaveRun))
      return giveUp(Code, MayHaveRun, RetryAfter);
    const milliseconds Delay = backoff(m_History.Attempts);
    if (!hasTime(Delay))
      return giveUpForTime(Code, MayHaveRun, RetryAfter);
    if (SpendsBudget && !answerStarted() && !m_Budget.spend())
      return mayWaitForLinks(MayHaveRun)
                 ? Decision(WaitForBudget{m_Settings.MaximumDelay})
                 : giveUp(MayHaveRun ? Code : ResultCode::RetryBudgetSpent,
                          MayHaveRun,
                          RetryAfter.value_or(m_Settings.MaximumDelay));
    if (m_History.Keyed)
      return RetryAtHome{Delay};
    if (m_History.TokensDelivered > 0)
      return ContinueElsewhere{m_History.TokensDelivered, Delay};
    return RetryElsewhere{Delay};
  }

  Decision giveUpForTime(ResultCode Code, bool MayHaveRun,
                         std::optional<milliseconds> RetryAfter) const {
    if (!pastDeadline())
      return giveUp(Code, MayHaveRun, RetryAfter);
    return giveUp(anyMayHaveRun(MayHaveRun) ? ResultCode::DeadlineExceeded
                                            : ResultCode::DeadlineUnreachable,
                  MayHaveRun, RetryAfter);
  }

  bool anyMayHaveRun(bool LastAttemptMayHaveRun) const {
    return LastAttemptMayHaveRun || m_History.EarlierMayHaveRun ||
           m_History.TokensDelivered > 0;
  }

  /// \p MayHaveRun refers to the last attempt.
  Decision giveUp(ResultCode Code, bool MayHaveRun,
                  std::optional<milliseconds> RetryAfter = {}) const {
    if (!anyMayHaveRun(MayHaveRun))
      return GiveUp{Code, Execution::NotRun, RetryAfter};
    return GiveUp{afterHandOff(Code), Execution::MayHaveRun, RetryAfter};
  }

  /// A code below 300 or from 400 on may tell the caller that the request did
  /// not run. It is replaced once an attempt may have run, however the last
  /// attempt ended. Codes 300 to 399 are outcomes after dispatch, so they stay.
  ResultCode afterHandOff(ResultCode Code) const {
    const int Number = static_cast<int>(Code);
    if (Number >= 300 && Number < 400)
      return Code;
    return m_History.Repeatable ? ResultCode::TargetFailed
                                : ResultCode::OutcomeUnknown;
  }

  const RetrySettings &m_Settings;
  const RequestHistory &m_History;
  RetryBudget &m_Budget;
  BootTime m_Now;
};

} // namespace

bool mayHaveRun(const RequestHistory &History, const AttemptEnd &End) {
  if (History.Resumes > 0)
    return true;
  return std::visit(Overloaded{[](const StreamInterrupted &Interrupted) {
                                 return !provesNotProcessed(Interrupted.End);
                               },
                               [](const AgentRefused &) { return false; },
                               [](const TargetFailed &) { return true; },
                               [](const NothingSent &) { return false; },
                               [](const CallerDisconnected &) { return true; }},
                    End);
}

Decision decide(const RetrySettings &Settings, const RequestHistory &History,
                const AttemptEnd &End, RetryBudget &Budget, BootTime Now) {
  return std::visit(Decider(Settings, History, Budget, Now), End);
}

} // namespace figlift::retry
