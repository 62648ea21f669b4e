//===- RetryDecision.h - What follows the end of an attempt -----*- C++ -*-===//
//
// Pure decision of an entry after each attempt: whether the request may be
// sent again, where, and which result code is true when it may not.
//
// Two rules stand above all others. Work that may not be repeated is sent
// again only after proof that it was not handed to the target, or to its home,
// which remembers the key. And a code that says "not run" goes to the caller
// only when every attempt of the request was proven not to have run.
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
struct StreamBroke {
  wire::StreamEnd End = wire::StreamEnd::ConnectionLost;
};

/// A Refusal frame: the agent did not hand the work to the target.
struct AgentRefused {
  ResultCode Code = ResultCode::Overloaded;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// A Failure frame: handed over, and did not end well.
struct TargetFailed {
  ResultCode Code = ResultCode::TargetFailed;
};

/// Routing or membership found no target; nothing was sent.
struct NothingSent {
  ResultCode Code = ResultCode::NoTargetAvailable;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// The caller went away.
struct CallerGone {};

using AttemptEnd = std::variant<StreamBroke, AgentRefused, TargetFailed,
                                NothingSent, CallerGone>;

/// What the entry remembers of a request over its attempts.
struct RequestHistory {
  /// The work may be run more than once.
  bool Repeatable = true;
  /// The caller gave an idempotency key: all attempts go to the key's home.
  bool Keyed = false;
  /// Attempts that were started, resumes left out.
  unsigned Attempts = 1;
  /// Earlier attempts that may have run.
  unsigned Runs = 0;
  /// Resumes of the current attempt.
  unsigned Resumes = 0;
  /// The current attempt got an Accepted frame or any later one, so its agent
  /// may hold the answer.
  bool AcceptedSeen = false;
  /// Some attempt, the current one left out, may have run; see mayHaveRun().
  bool EarlierMayHaveRun = false;
  /// Tokens delivered to the caller, over all attempts.
  uint32_t TokensDelivered = 0;
  /// When the last of them came.
  std::optional<BootTime> LastToken;
  /// Since when one attempt after another has lost its link, or found no
  /// target: no agent has said anything since.
  std::optional<BootTime> LinksLost;
  std::optional<BootTime> Deadline;
};

/// Another attempt on another target (the failed one excluded).
struct RetryElsewhere {
  std::chrono::milliseconds Delay{0};
};
/// Resume the same attempt from its agent at TokensDelivered; runs nothing.
struct ResumeSame {
  std::chrono::milliseconds Delay{0};
};
/// A new attempt on another target that continues after the delivered tokens.
struct ContinueElsewhere {
  uint32_t FirstToken = 0;
  std::chrono::milliseconds Delay{0};
};
/// Look up the key's home anew and send the same key there; a home that ran
/// it answers with the first run's answer.
struct AskHomeAgain {
  std::chrono::milliseconds Delay{0};
};
/// Another attempt is due and the budget is spent: to be decided again, as
/// NothingSent with RetryBudgetSpent.
struct WaitForBudget {
  std::chrono::milliseconds Delay{0};
};
/// The request ends with this code.
struct GiveUp {
  ResultCode Code = ResultCode::Internal;
  Execution Executed = Execution::NotRun;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

using Decision = std::variant<RetryElsewhere, ResumeSame, ContinueElsewhere,
                              AskHomeAgain, WaitForBudget, GiveUp>;

struct RetrySettings {
  unsigned MaximumAttempts = 4;
  /// Attempts that may have run, for an answer that has begun and has stood
  /// still for RestartTime. Few, as the prompt itself may be what crashes
  /// engines.
  unsigned MaximumRuns = 8;
  /// The attempts at an engine that restarts fail at once. Counted alone, a
  /// crash beside a cut link used them up in 1.1 s on a busy machine, and seven
  /// of 24 answers ended in the middle; an engine is back within seconds. With
  /// MaximumDelay between them, ten more attempts fit in. The same for links
  /// that are lost one after the other, where what runs may be repeated: agents
  /// that stood still are back as soon.
  std::chrono::milliseconds RestartTime{5000};
  /// With their delays they take 300 ms, in which a link that broke for a
  /// moment is restored; a second run costs more than that.
  unsigned MaximumResumes = 5;
  std::chrono::milliseconds FirstDelay{20};
  std::chrono::milliseconds MaximumDelay{500};
  /// Less time left than this is not worth an attempt.
  std::chrono::milliseconds MinimumTimeLeft{10};
};

/// Whether the current attempt, which ended so, may have run at the target.
/// The entry ors it into EarlierMayHaveRun before it starts the next attempt.
/// A resume that is refused or never sent proves nothing about its run.
bool mayHaveRun(const RequestHistory &History, const AttemptEnd &End);

/// Decides and, where the decision is another run, spends from \p Budget.
/// Refusals that come from planned changes, and attempts that reached nobody,
/// cost no budget: a drain must not end requests because others failed. Nor
/// does going on with an answer that the caller has a part of: it can't be
/// refused any more, so it goes on until its deadline, and only attempts that
/// may have run are counted, against MaximumRuns.
Decision decide(const RetrySettings &Settings, const RequestHistory &History,
                const AttemptEnd &End, RetryBudget &Budget, BootTime Now);

} // namespace figlift::retry
