//===- ResultCode.cpp - The table of result codes -------------------------===//
//
// The one place that says what each number means. The HTTP status, the claim
// about execution and the retry advice that callers see all come from here.
//
//===----------------------------------------------------------------------===//

#include "LibCore/ResultCode.h"

#include <algorithm>
#include <array>
#include <string>

namespace figlift {

namespace {

using enum ResultCode;
using enum Execution;

constexpr std::array Table = {
    ResultCodeInfo{Success, "Success", 200, Ran, false,
                   "The request was executed and its whole answer delivered."},

    ResultCodeInfo{InvalidInput, "InvalidInput", 400, NotRun, false,
                   "The request cannot be read, or a field has a value that "
                   "is not allowed; the message names it."},
    ResultCodeInfo{InputTooLarge, "InputTooLarge", 413, NotRun, false,
                   "The request is larger than the limit that the message "
                   "names."},
    ResultCodeInfo{UnknownBackEnd, "UnknownBackEnd", 404, NotRun, false,
                   "No record in force describes the back end."},
    ResultCodeInfo{UnknownModel, "UnknownModel", 404, NotRun, false,
                   "The back end does not serve the model or version."},
    ResultCodeInfo{KeyReusedForOtherRequest, "KeyReusedForOtherRequest", 422,
                   NotRun, false,
                   "The idempotency key was used before with a different "
                   "request; this one was not executed."},
    ResultCodeInfo{KeyTooFarAhead, "KeyTooFarAhead", 400, NotRun, false,
                   "The time inside the idempotency key lies too far in the "
                   "future; the clock that minted it is wrong."},

    ResultCodeInfo{Overloaded, "Overloaded", 429, NotRun, true,
                   "No target has room for the request now."},
    ResultCodeInfo{DeadlineUnreachable, "DeadlineUnreachable", 503, NotRun,
                   true,
                   "The expected wait is longer than the request's deadline."},
    ResultCodeInfo{Draining, "Draining", 503, NotRun, true,
                   "The process or target is leaving and takes no new work."},
    ResultCodeInfo{NoTargetAvailable, "NoTargetAvailable", 503, NotRun, true,
                   "No reachable target serves the back end now."},
    ResultCodeInfo{HomeUnreachable, "HomeUnreachable", 503, NotRun, true,
                   "The only agent that may execute this idempotency key "
                   "cannot be reached. This call was not run; an earlier one "
                   "with the key may have been, so repeat the same key."},
    ResultCodeInfo{NotReady, "NotReady", 503, NotRun, true,
                   "The process has no configuration yet, or is recovering."},
    ResultCodeInfo{RetryBudgetSpent, "RetryBudgetSpent", 503, NotRun, true,
                   "Every attempt so far was refused and the retry budget is "
                   "spent."},
    ResultCodeInfo{HomeMoved, "HomeMoved", 503, NotRun, true,
                   "The slice of the idempotency key belongs to another agent "
                   "by now."},
    ResultCodeInfo{StaleConfiguration, "StaleConfiguration", 503, NotRun, true,
                   "The process knows of a newer configuration than the one "
                   "it has in force and must fetch it first."},
    ResultCodeInfo{LimitReached, "LimitReached", 429, NotRun, true,
                   "The workspace has as many requests in flight as it may."},
    ResultCodeInfo{CrashesTargets, "CrashesTargets", 503, NotRun, true,
                   "Targets ended under this request, each time it was run; "
                   "it is tried again, once, when Retry-After is over."},

    ResultCodeInfo{OutcomeUnknown, "OutcomeUnknown", 502, MayHaveRun, false,
                   "The request was handed over and its outcome was lost; it "
                   "may have been executed and is never executed again."},
    ResultCodeInfo{TargetFailed, "TargetFailed", 502, MayHaveRun, false,
                   "The target failed while it executed the request."},
    ResultCodeInfo{DeadlineExceeded, "DeadlineExceeded", 504, MayHaveRun, false,
                   "The deadline passed after hand-off."},
    ResultCodeInfo{Cancelled, "Cancelled", 499, MayHaveRun, false,
                   "The caller cancelled the request or went away."},
    ResultCodeInfo{AnswerNoLongerHeld, "AnswerNoLongerHeld", 410, MayHaveRun,
                   false,
                   "The answer to be resumed was given up: it is too old, was "
                   "too large, or its agent was replaced."},

    ResultCodeInfo{RecordInvalid, "RecordInvalid", 422, NotApplicable, false,
                   "A record breaks its schema; the message names the line or "
                   "field, what was found and what is allowed."},
    ResultCodeInfo{RecordVersionConflict, "RecordVersionConflict", 409,
                   NotApplicable, false,
                   "Another operator changed the record first; read it again "
                   "before the change is repeated."},
    ResultCodeInfo{RecordNotFound, "RecordNotFound", 404, NotApplicable, false,
                   "There is no such record."},
    ResultCodeInfo{WaitTimedOut, "WaitTimedOut", 504, NotApplicable, true,
                   "The change is accepted, but not yet in force everywhere "
                   "within the time given."},

    ResultCodeInfo{StaleEpoch, "StaleEpoch", 409, NotRun, false,
                   "The order carries an older epoch than one already seen; "
                   "its sender has lost its authority."},
    ResultCodeInfo{OrderConflict, "OrderConflict", 409, NotRun, true,
                   "Another order is in progress at the target."},
    ResultCodeInfo{NoAuthority, "NoAuthority", 503, NotRun, true,
                   "The process holds no valid lease for what it was about to "
                   "do."},
    ResultCodeInfo{OrderRejectedByTarget, "OrderRejectedByTarget", 502,
                   MayHaveRun, false,
                   "The target did not carry out the order; its actual state "
                   "is read back before anything else is ordered."},

    ResultCodeInfo{StoreUnavailable, "StoreUnavailable", 503, NotRun, true,
                   "The platform's table or object store did not answer; "
                   "nothing was written."},
    ResultCodeInfo{StoreConflict, "StoreConflict", 409, NotRun, true,
                   "A row has another version than the transaction expects; "
                   "nothing was written."},
    ResultCodeInfo{StoreOutcomeUnknown, "StoreOutcomeUnknown", 503, MayHaveRun,
                   false,
                   "The store's answer to a write was lost; the rows are read "
                   "back before anything is repeated."},
    ResultCodeInfo{PeerUnreachable, "PeerUnreachable", 503, NotRun, true,
                   "Another figlift process cannot be reached; nothing was "
                   "handed to it."},

    ResultCodeInfo{SettingsInvalid, "SettingsInvalid", 500, NotApplicable,
                   false,
                   "A settings file or the command line is wrong; the message "
                   "names the line or field, what was found and what is "
                   "allowed."},
    ResultCodeInfo{Internal, "Internal", 500, MayHaveRun, false,
                   "A fault inside figlift; the log has the details."},
};

static_assert(std::ranges::is_sorted(Table, {}, &ResultCodeInfo::Code));

/// Lets ResultCode travel where the standard library or a client library
/// expects a std::error_code.
class Category final : public std::error_category {
public:
  const char *name() const noexcept override { return "figlift"; }
  std::string message(int Number) const override {
    if (auto Code = resultCodeFromNumber(Number))
      return std::string(resultCodeInfo(*Code).Meaning);
    return "unknown result code " + std::to_string(Number);
  }
};

} // namespace

std::span<const ResultCodeInfo> resultCodeTable() { return Table; }

const ResultCodeInfo &resultCodeInfo(ResultCode Code) {
  if (const auto *Row =
          std::ranges::lower_bound(Table, Code, {}, &ResultCodeInfo::Code);
      Row != Table.end() && Row->Code == Code)
    return *Row;
  return Table.back();
}

std::optional<ResultCode> resultCodeFromNumber(int Number) {
  auto Code = static_cast<ResultCode>(Number);
  if (!std::ranges::binary_search(Table, Code, {}, &ResultCodeInfo::Code))
    return std::nullopt;
  return Code;
}

const std::error_category &resultCodeCategory() {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(ResultCode Code) {
  return {static_cast<int>(Code), resultCodeCategory()};
}

} // namespace figlift
