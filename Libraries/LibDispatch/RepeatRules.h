//===- RepeatRules.h - What follows the end of a send -----------*- C++ -*-===//
//
// Decides, after a send of a request to a server has ended without its answer,
// whether it may be sent again and what is true to tell the caller when it may
// not. Two rules stand above all others: work that may run once only is sent
// again only when it is proved not to have run; and a status that says "not
// run" goes out only when that holds for every send of the request.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/LoadTracker.h"

#include <chrono>
#include <string_view>
#include <variant>

namespace figlift::dispatch {

/// \name How a send ended.
/// @{
/// No connection was made: the server has not seen it.
struct NotSent {};
/// The server said that it has not run the request and never will.
struct Rejected {};
/// The server's own answer that it failed.
struct ServerFailed {
  unsigned Status = 500;
};
/// The connection or the response broke off, or the response was not one.
struct BrokeOff {};
/// Nothing came in the time that was planned for it.
struct TookTooLong {};
/// @}
using SendEnd =
    std::variant<NotSent, Rejected, ServerFailed, BrokeOff, TookTooLong>;

/// A few words for the log.
std::string_view describe(const SendEnd &How);

/// What is known of the request when a send has ended.
struct RequestProgress {
  /// It may run more than once.
  bool Repeatable = false;
  /// Runs that count against the route's maximum, the ended send included if
  /// it may have run.
  unsigned Runs = 0;
  unsigned MaximumRuns = 1;
  /// All sends, refused ones included.
  unsigned Sends = 1;
  /// Part of the answer is with the caller.
  bool AnswerBegun = false;
  Milliseconds TimeLeft{0};
  /// A further send would end before this process does; see ProcessStop.
  bool EndsInTime = true;
};

/// \name What to do.
/// @{
struct SendAgain {};
/// Pass the server's failure on.
struct PassOn {};
/// Answer with a status of our own; see notRunStatus() and the like.
struct GiveUp {
  unsigned Status = 503;
};
/// End the caller's connection, so that the answer does not look complete.
struct CutOff {};
/// @}
using NextStep = std::variant<SendAgain, PassOn, GiveUp, CutOff>;

/// Not run, and never will be; the caller may come back.
inline constexpr unsigned NotRunStatus = 503;
/// It may have run; the server's answer was lost.
inline constexpr unsigned OutcomeUnknownStatus = 502;
/// It may have run; there was no answer in time.
inline constexpr unsigned TimedOutStatus = 504;

struct RepeatOptions {
  /// Sends of one request, refusals included. A request that three servers
  /// turned away meets a service that is full, and more sends only add to it.
  unsigned MaximumSends = 3;
  /// Below this a further send can't be answered in time.
  Milliseconds MinimumTimeLeft{30};
};

/// Whether the server may have run what ended so.
bool mayHaveRun(const SendEnd &End);

/// \p MayRepeat says whether the budget has room; it is asked only when a
/// repeat is otherwise allowed, and takes the repeat.
template <typename Budget>
NextStep decideNext(const RepeatOptions &Options,
                    const RequestProgress &Progress, const SendEnd &End,
                    Budget &&MayRepeat) {
  const bool Ran = mayHaveRun(End);
  const bool Allowed =
      (!Ran || (Progress.Repeatable && Progress.Runs < Progress.MaximumRuns)) &&
      Progress.EndsInTime && Progress.Sends < Options.MaximumSends &&
      Progress.TimeLeft >= Options.MinimumTimeLeft;
  if (Allowed && MayRepeat())
    return SendAgain{};
  if (Progress.AnswerBegun)
    return CutOff{};
  if (std::holds_alternative<ServerFailed>(End))
    return PassOn{};
  if (Progress.Runs == 0)
    return GiveUp{NotRunStatus};
  return GiveUp{std::holds_alternative<TookTooLong>(End)
                    ? TimedOutStatus
                    : OutcomeUnknownStatus};
}

} // namespace figlift::dispatch
