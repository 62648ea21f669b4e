//===- RetryDecision.h - Decision after an attempt --------------*- C++ -*-===//
//
// Pure function that an entry calls after each attempt: whether the request is
// retried, where, and which result code the caller gets if it is not.
//
// Two rules have precedence. Non-repeatable work is retried only after proof
// that it was not handed to the target, or at its home, which stores the
// idempotency key. A code that means "not run" is returned to the caller only
// if every attempt of the request provably did not run.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/ResultCode.h"
#include "LibRetry/RetryBudget.h"
#include "LibWire/Wire.h"

#include <chrono>
#include <optional>
#include <variant>

namespace figlift::retry {

/// The stream ended without a Finished, Refusal, ServiceAnswer or Failure.
struct StreamInterrupted {
  wire::StreamEnd End = wire::StreamEnd::ConnectionLost;
};

/// A Refusal frame: the agent did not hand the work to the target.
struct AgentRefused {
  ResultCode Code = ResultCode::Overloaded;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// A Failure frame: the work was handed to the target and failed.
struct TargetFailed {
  ResultCode Code = ResultCode::TargetFailed;
};

/// Routing or membership found no target; nothing was sent.
struct NothingSent {
  ResultCode Code = ResultCode::NoTargetAvailable;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// The caller closed its connection.
struct CallerDisconnected {};

using AttemptEnd = std::variant<StreamInterrupted, AgentRefused, TargetFailed,
                                NothingSent, CallerDisconnected>;

/// State that the entry keeps for a request across its attempts.
struct RequestHistory {
  /// The work may be run more than once.
  bool Repeatable = true;
  /// The caller sent an idempotency key: all attempts go to the key's home.
  bool Keyed = false;
  /// Attempts started so far, without resumes.
  unsigned Attempts = 1;
  /// Earlier attempts that may have run.
  unsigned Runs = 0;
  /// Resumes of the current attempt.
  unsigned Resumes = 0;
  /// The current attempt received an Accepted frame or a later one, so its
  /// agent may hold the answer.
  bool AcceptedSeen = false;
  /// An attempt before the current one may have run; see mayHaveRun().
  bool EarlierMayHaveRun = false;
  /// Tokens delivered to the caller over all attempts.
  uint32_t TokensDelivered = 0;
  /// When the last of these tokens arrived.
  std::optional<BootTime> LastToken;
  /// Start of the current series of attempts that lost their link or found no
  /// target. Absent if an agent has sent a frame since the last such attempt.
  std::optional<BootTime> LinksLostSince;
  std::optional<BootTime> Deadline;
};

/// Another attempt on another target (the failed one excluded).
struct RetryElsewhere {
  std::chrono::milliseconds Delay{0};
};
/// Resume the same attempt from its agent at TokensDelivered; runs nothing.
struct ResumeAttempt {
  std::chrono::milliseconds Delay{0};
};
/// A new attempt on another target that continues after the delivered tokens.
struct ContinueElsewhere {
  uint32_t FirstToken = 0;
  std::chrono::milliseconds Delay{0};
};
/// Look up the key's home again and send the same key there. A home that has
/// already run the request replies with the answer of that run.
struct RetryAtHome {
  std::chrono::milliseconds Delay{0};
};
/// Another attempt is due but the budget is spent. After the delay the caller
/// of decide() passes NothingSent with RetryBudgetSpent.
struct WaitForBudget {
  std::chrono::milliseconds Delay{0};
};
/// The request ends with this code.
struct GiveUp {
  ResultCode Code = ResultCode::Internal;
  Execution Executed = Execution::NotRun;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

using Decision = std::variant<RetryElsewhere, ResumeAttempt, ContinueElsewhere,
                              RetryAtHome, WaitForBudget, GiveUp>;

struct RetrySettings {
  unsigned MaximumAttempts = 4;
  /// Limit on attempts that may have run, for an answer that has started and
  /// has not received a token for RestartTime. Kept low because the prompt
  /// itself may be what crashes the engines.
  unsigned MaximumRuns = 8;
  /// Time in which a crashed engine restarts. Attempts at a restarting engine
  /// fail immediately, so a limit on their number alone is not enough: with a
  /// crash and a lost link at the same time a loaded machine reaches it after
  /// 1.1 s, and answers are truncated, e.g. 7 of 24. With MaximumDelay
  /// between them, ten more attempts fit into this time. The same time applies
  /// to repeatable work whose links are lost one after the other, and to work
  /// whose home cannot be reached, because agents that stalled recover as
  /// quickly.
  std::chrono::milliseconds RestartTime{5000};
  /// The resumes with the delays before them take 300 ms, long enough for a
  /// link to recover from a short interruption. Running the request again costs
  /// more than that.
  unsigned MaximumResumes = 5;
  std::chrono::milliseconds FirstDelay{20};
  std::chrono::milliseconds MaximumDelay{500};
  /// No attempt is started with less time than this before the deadline.
  std::chrono::milliseconds MinimumTimeLeft{10};
};

/// Whether the current attempt, which ended with \p End, may have run at the
/// target. The entry ORs the result into EarlierMayHaveRun before it starts the
/// next attempt. A resume that is refused or never sent does not prove that the
/// attempt did not run.
bool mayHaveRun(const RequestHistory &History, const AttemptEnd &End);

/// Returns the next step, and spends from \p Budget if that is another run.
/// Refusals caused by planned changes, and attempts that reached no agent, cost
/// no budget: a drain must not fail requests because other requests have failed
/// before. Continuing an answer that has been delivered in part costs none
/// either: it can no longer be refused, so it is retried until its deadline,
/// and only attempts that may have run are counted, against MaximumRuns.
Decision decide(const RetrySettings &Settings, const RequestHistory &History,
                const AttemptEnd &End, RetryBudget &Budget, BootTime Now);

} // namespace figlift::retry
