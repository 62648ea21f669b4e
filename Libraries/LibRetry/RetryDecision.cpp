//===- RetryDecision.cpp - What follows the end of an attempt ---*- C++ -*-===//
//
// The decision as a visitor over the ends of an attempt.
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

bool provesNothingRan(wire::StreamEnd End) {
  return End == wire::StreamEnd::ProvablyNotProcessed ||
         End == wire::StreamEnd::NeverSent;
}

/// The caller's own fault, or final for another reason: no other target would
/// answer differently.
bool isFinal(ResultCode Code) {
  const int Number = static_cast<int>(Code);
  return (Number >= 100 && Number < 200) ||
         Code == ResultCode::OutcomeUnknown ||
         Code == ResultCode::DeadlineExceeded || Code == ResultCode::Cancelled;
}

/// Refusals that planned changes cause.
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

  Decision operator()(const StreamBroke &Broke) const {
    if (Broke.End == wire::StreamEnd::Cancelled)
      return giveUp(ResultCode::Cancelled, true);
    if (mayHaveRun(m_History, Broke))
      return afterUnknown(ResultCode::OutcomeUnknown);
    const ResultCode Code = m_History.Keyed ? ResultCode::HomeUnreachable
                                            : ResultCode::NoTargetAvailable;
    return runAgain(Code, false, std::nullopt, false);
  }

  Decision operator()(const AgentRefused &Refused) const {
    if (mayHaveRun(m_History, Refused))
      return afterRefusedResume();
    if (isFinal(Refused.Code))
      return giveUp(Refused.Code, false, Refused.RetryAfter);
    return runAgain(Refused.Code, false, Refused.RetryAfter,
                    !isPlanned(Refused.Code));
  }

  Decision operator()(const TargetFailed &Failed) const {
    if (isFinal(Failed.Code))
      return giveUp(Failed.Code, true);
    if (!m_History.Repeatable)
      return giveUp(ResultCode::OutcomeUnknown, true);
    return runAgain(Failed.Code, true, std::nullopt, true);
  }

  Decision operator()(const NothingSent &Nothing) const {
    // Routing looked at every target there is: asking again at once would
    // only repeat the answer. A home may be on its way, though.
    // Nor can an answer that has begun be refused.
    if ((m_History.Keyed && Nothing.Code == ResultCode::HomeMoved) ||
        ((hasBegun() || waitsForLinks(false)) && !isFinal(Nothing.Code)))
      return runAgain(Nothing.Code, false, Nothing.RetryAfter,
                      Nothing.Code == ResultCode::RetryBudgetSpent);
    return giveUp(Nothing.Code, false, Nothing.RetryAfter);
  }

  Decision operator()(const CallerGone &) const {
    return giveUp(ResultCode::Cancelled, true);
  }

private:
  bool pastDeadline() const {
    return m_History.Deadline && m_Now >= *m_History.Deadline;
  }

  /// The caller has a part of the answer, and the time for it is bounded.
  bool hasBegun() const {
    return m_History.TokensDelivered > 0 && m_History.Deadline.has_value();
  }

  /// \p MayHaveRun is about the last attempt.
  bool attemptsSpent(bool MayHaveRun) const {
    if (!hasBegun())
      return m_History.Attempts >= m_Settings.MaximumAttempts &&
             !waitsForLinks(MayHaveRun);
    return m_History.Runs + (MayHaveRun ? 1 : 0) >= m_Settings.MaximumRuns &&
           !mayBeRestarting();
  }

  /// What may have run can be repeated, and agents may be back in a moment: to
  /// give up now would tell the caller less than a little patience does. What
  /// has surely not run is refused at once instead, and comes again.
  bool waitsForLinks(bool LastMayHaveRun) const {
    return m_History.Repeatable && someMayHaveRun(LastMayHaveRun) &&
           m_History.LinksLost &&
           m_Now - *m_History.LinksLost < m_Settings.RestartTime;
  }

  /// The answer has stood still for no longer than an engine needs to restart.
  bool mayBeRestarting() const {
    return m_History.LastToken &&
           m_Now - *m_History.LastToken < m_Settings.RestartTime;
  }

  /// True only when there is time for \p Delay and an attempt.
  bool hasTime(milliseconds Delay) const {
    return !m_History.Deadline ||
           m_Now + Delay + m_Settings.MinimumTimeLeft < *m_History.Deadline;
  }

  milliseconds backoff(unsigned Tries) const {
    if (Tries <= 1)
      return milliseconds(0);
    return std::min(m_Settings.FirstDelay * (1 << std::min(Tries - 2, 16u)),
                    m_Settings.MaximumDelay);
  }

  /// The attempt may have run and its answer is missing.
  Decision afterUnknown(ResultCode Code) const {
    const milliseconds Delay = backoff(m_History.Resumes + 1);
    if (m_History.AcceptedSeen &&
        m_History.Resumes < m_Settings.MaximumResumes && hasTime(Delay))
      return ResumeSame{Delay};
    return afterLostAnswer(Code);
  }

  /// The agent no longer holds the answer.
  Decision afterRefusedResume() const {
    return afterLostAnswer(ResultCode::AnswerNoLongerHeld);
  }

  Decision afterLostAnswer(ResultCode Code) const {
    if (m_History.Repeatable || m_History.Keyed)
      return runAgain(Code, true, std::nullopt, true);
    return giveUp(ResultCode::OutcomeUnknown, true);
  }

  Decision runAgain(ResultCode Code, bool MayHaveRun,
                    std::optional<milliseconds> RetryAfter, bool Costs) const {
    if (attemptsSpent(MayHaveRun))
      return giveUp(Code, MayHaveRun, RetryAfter);
    const milliseconds Delay = backoff(m_History.Attempts);
    if (!hasTime(Delay))
      return giveUpForTime(Code, MayHaveRun, RetryAfter);
    if (Costs && !hasBegun() && !m_Budget.spend())
      return waitsForLinks(MayHaveRun)
                 ? Decision(WaitForBudget{m_Settings.MaximumDelay})
                 : giveUp(MayHaveRun ? Code : ResultCode::RetryBudgetSpent,
                          MayHaveRun,
                          RetryAfter.value_or(m_Settings.MaximumDelay));
    if (m_History.Keyed)
      return AskHomeAgain{Delay};
    if (m_History.TokensDelivered > 0)
      return ContinueElsewhere{m_History.TokensDelivered, Delay};
    return RetryElsewhere{Delay};
  }

  Decision giveUpForTime(ResultCode Code, bool MayHaveRun,
                         std::optional<milliseconds> RetryAfter) const {
    if (!pastDeadline())
      return giveUp(Code, MayHaveRun, RetryAfter);
    return giveUp(someMayHaveRun(MayHaveRun) ? ResultCode::DeadlineExceeded
                                             : ResultCode::DeadlineUnreachable,
                  MayHaveRun, RetryAfter);
  }

  bool someMayHaveRun(bool Last) const {
    return Last || m_History.EarlierMayHaveRun || m_History.TokensDelivered > 0;
  }

  /// \p MayHaveRun is about the last attempt.
  Decision giveUp(ResultCode Code, bool MayHaveRun,
                  std::optional<milliseconds> RetryAfter = {}) const {
    if (!someMayHaveRun(MayHaveRun))
      return GiveUp{Code, Execution::NotRun, RetryAfter};
    return GiveUp{afterHandOff(Code), Execution::MayHaveRun, RetryAfter};
  }

  /// Codes of refusals promise "not run", so once an attempt may have run
  /// they would be a lie, however the last attempt ended.
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
  return std::visit(Overloaded{[](const StreamBroke &Broke) {
                                 return !provesNothingRan(Broke.End);
                               },
                               [](const AgentRefused &) { return false; },
                               [](const TargetFailed &) { return true; },
                               [](const NothingSent &) { return false; },
                               [](const CallerGone &) { return true; }},
                    End);
}

Decision decide(const RetrySettings &Settings, const RequestHistory &History,
                const AttemptEnd &End, RetryBudget &Budget, BootTime Now) {
  return std::visit(Decider(Settings, History, Budget, Now), End);
}

} // namespace figlift::retry
