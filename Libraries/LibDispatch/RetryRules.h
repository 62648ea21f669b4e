//===- RetryRules.h - Whether a failed send is retried ----------*- C++ -*-===//
//
// Decides, after a send of a request to a server has ended without an answer,
// whether the request may be retried, and which status the caller gets if not.
// Two rules take precedence: work that may run only once is retried only if it
// is proven not to have run; and a status that means "not run" is sent only if
// that holds for every send of the request.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/LoadTracker.h"

#include <chrono>
#include <string_view>
#include <variant>

namespace figlift::dispatch {

/// \name Outcomes of a send.
/// @{
/// No connection was established: the server has not seen the request.
struct NotSent {};
/// The server answered that it has not run the request and never will.
struct Rejected {};
/// The server answered that it failed, without the statement that it has not
/// run the request. That holds whatever the status is.
struct ServerFailed {
  unsigned Status = 500;
};
/// The connection or the response was interrupted, or the response was invalid.
struct ConnectionLost {};
/// There was no answer within the planned time.
struct TimedOut {};
/// @}
using SendOutcome =
    std::variant<NotSent, Rejected, ServerFailed, ConnectionLost, TimedOut>;

/// Short text for the log.
std::string_view describe(const SendOutcome &Outcome);

/// State of the request when a send has ended.
struct RequestProgress {
  /// The request may run more than once.
  bool Repeatable = false;
  /// Runs that count against the route's maximum, including the ended send if
  /// it may have run.
  unsigned Runs = 0;
  unsigned MaximumRuns = 1;
  /// All sends, including rejected ones.
  unsigned Sends = 1;
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
/// Answer with a status of the gateway; see NotRunStatus and the following.
struct GiveUp {
  unsigned Status = 503;
};
/// Close the caller's connection, so that the answer does not look complete.
struct CloseConnection {};
/// @}
using NextStep = std::variant<Retry, ForwardFailure, GiveUp, CloseConnection>;

/// The request has not run and never will; the caller may retry.
inline constexpr unsigned NotRunStatus = 503;
/// The request may have run; the server's answer was lost.
inline constexpr unsigned OutcomeUnknownStatus = 502;
/// The request may have run; there was no answer in time.
inline constexpr unsigned TimedOutStatus = 504;

/// Whether a status states that the request has not run and never will. Callers
/// then send it again, also if it must not run twice.
constexpr bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

struct RetryOptions {
  /// Maximum number of sends of one request, including rejected ones. If three
  /// servers reject a request the service is full, and more sends only add to
  /// its load.
  unsigned MaximumSends = 3;
  /// With less time left a retry cannot be answered in time.
  Milliseconds MinimumTimeLeft{30};
};

/// Whether the server may have run a request with this outcome.
bool mayHaveRun(const SendOutcome &Outcome);

/// \p MayRetry returns whether the retry budget has room, and charges it. It is
/// called only if a retry is otherwise allowed.
template <typename Budget>
NextStep decideNext(const RetryOptions &Options,
                    const RequestProgress &Progress, const SendOutcome &Outcome,
                    Budget &&MayRetry) {
  const bool MayHaveRun = mayHaveRun(Outcome);
  const bool Allowed =
      (!MayHaveRun ||
       (Progress.Repeatable && Progress.Runs < Progress.MaximumRuns)) &&
      Progress.EndsBeforeStop && Progress.Sends < Options.MaximumSends &&
      Progress.TimeLeft >= Options.MinimumTimeLeft;
  if (Allowed && MayRetry())
    return Retry{};
  if (Progress.AnswerBegun)
    return CloseConnection{};
  if (const auto *Failed = std::get_if<ServerFailed>(&Outcome);
      Failed && !promisesNotRun(Failed->Status))
    return ForwardFailure{};
  if (Progress.Runs == 0)
    return GiveUp{NotRunStatus};
  return GiveUp{std::holds_alternative<TimedOut>(Outcome)
                    ? TimedOutStatus
                    : OutcomeUnknownStatus};
}

} // namespace figlift::dispatch
