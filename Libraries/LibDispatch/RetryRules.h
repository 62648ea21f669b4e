//===- RetryRules.h - Whether a failed send is retried ----------*- C++ -*-===//
//
// Decides, after a send of a request to a server has ended without an answer,
// whether the request may be retried. Work that may run only once is retried
// only if it is proven not to have run. The status for a caller whose request
// is not retried comes from the history of its sends.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/SendHistory.h"

#include <chrono>
#include <string_view>
#include <variant>

namespace figlift::dispatch {

/// State of the request when a send has ended, beside its history.
struct RequestProgress {
  /// The request may run more than once.
  bool Repeatable = false;
  unsigned MaximumRuns = 1;
  /// Part of the answer has been sent to the caller.
  bool AnswerBegun = false;
  Milliseconds TimeLeft{0};
  /// A retry would end before this process does; see ProcessStop.
  bool EndsBeforeStop = true;
};

/// \name Next steps.
/// @{
struct Retry {};
/// Forward the server's failure, whose status promises nothing, to the caller.
struct ForwardFailure {};
/// Answer with a status of the gateway.
struct GiveUp {
  ErrorStatus Status;
};
/// Close the caller's connection, so that the answer does not look complete.
struct CloseConnection {};
/// @}
using NextStep = std::variant<Retry, ForwardFailure, GiveUp, CloseConnection>;

struct RetryOptions {
  /// Maximum number of sends of one request, including rejected ones. If three
  /// servers reject a request the service is full, and more sends only add to
  /// its load. A failed attempt to connect does not count: it adds no load, and
  /// another server may be available. Each server is tried once, and after this
  /// many sends only those that have not failed recently; see
  /// LoadTrackerOptions::EjectionTime.
  unsigned MaximumSends = 3;
  /// With less time left a retry cannot be answered in time.
  Milliseconds MinimumTimeLeft{30};
};

/// \p History: includes the send that ended with \p Outcome. \p MayRetry
/// returns whether the retry budget has room, and charges it. It is called only
/// if a retry is otherwise allowed.
template <typename Budget>
NextStep decideNext(const RetryOptions &Options,
                    const RequestProgress &Progress, const SendHistory &History,
                    const SendOutcome &Outcome, Budget &&MayRetry) {
  const bool MayRunAgain =
      History.executions() == 0 ||
      (Progress.Repeatable && History.executions() < Progress.MaximumRuns);
  const bool Allowed = MayRunAgain &&
                       (Progress.Repeatable || !mayHaveRun(Outcome)) &&
                       Progress.EndsBeforeStop &&
                       History.countedSends() < Options.MaximumSends &&
                       Progress.TimeLeft >= Options.MinimumTimeLeft;
  if (Allowed && MayRetry())
    return Retry{};
  if (Progress.AnswerBegun)
    return CloseConnection{};
  if (const auto *Failed = std::get_if<ServerFailed>(&Outcome);
      Failed && !promisesNotRun(Failed->Status))
    return ForwardFailure{};
  return GiveUp{History.errorStatus(std::holds_alternative<TimedOut>(Outcome)
                                        ? MissingAnswer::TimedOut
                                        : MissingAnswer::Lost)};
}

} // namespace figlift::dispatch
