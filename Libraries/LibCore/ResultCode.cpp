//===- ResultCode.cpp - The table of result codes -------------------------===//
//
// Defines for each result code its HTTP status, whether the request was
// executed and whether callers may retry.
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
    ResultCodeInfo{
        Success, "Success", 200, Ran, false,
        "The request was executed and its complete response delivered."},

    ResultCodeInfo{InvalidInput, "InvalidInput", 400, NotRun, false,
                   "The request cannot be parsed, or a field has an invalid "
                   "value; the message names it."},
    ResultCodeInfo{
        InputTooLarge, "InputTooLarge", 413, NotRun, false,
        "The request is larger than the limit given in the message."},
    ResultCodeInfo{UnknownBackEnd, "UnknownBackEnd", 404, NotRun, false,
                   "No active record describes the back end."},
    ResultCodeInfo{UnknownModel, "UnknownModel", 404, NotRun, false,
                   "The back end does not serve the model or version."},
    ResultCodeInfo{KeyReusedForOtherRequest, "KeyReusedForOtherRequest", 422,
                   NotRun, false,
                   "The idempotency key was used before with a different "
                   "request; this one was not executed."},
    ResultCodeInfo{KeyTooFarAhead, "KeyTooFarAhead", 400, NotRun, false,
                   "The timestamp of the idempotency key is too far in the "
                   "future; the clock of its creator is wrong."},
    ResultCodeInfo{Unauthenticated, "Unauthenticated", 401, NotRun, false,
                   "The request presents no API key, more than one, or one "
                   "that no tenant of the configuration in force holds."},

    ResultCodeInfo{Overloaded, "Overloaded", 429, NotRun, true,
                   "No target currently has capacity for the request."},
    ResultCodeInfo{DeadlineUnreachable, "DeadlineUnreachable", 503, NotRun,
                   true,
                   "The expected wait is longer than the request's deadline."},
    ResultCodeInfo{
        Draining, "Draining", 503, NotRun, true,
        "The process or target is draining and accepts no new work."},
    ResultCodeInfo{NoTargetAvailable, "NoTargetAvailable", 503, NotRun, true,
                   "No reachable target currently serves the back end."},
    ResultCodeInfo{HomeUnreachable, "HomeUnreachable", 503, NotRun, true,
                   "The only agent that may execute this idempotency key "
                   "cannot be reached. This request was not executed, but an "
                   "earlier one with the key may have been: retry with the "
                   "same key."},
    ResultCodeInfo{NotReady, "NotReady", 503, NotRun, true,
                   "The process has no configuration yet, or is recovering."},
    ResultCodeInfo{RetryBudgetSpent, "RetryBudgetSpent", 503, NotRun, true,
                   "Every attempt so far was refused and the retry budget is "
                   "exhausted."},
    ResultCodeInfo{HomeMoved, "HomeMoved", 503, NotRun, true,
                   "The slice of the idempotency key has moved to another "
                   "agent."},
    ResultCodeInfo{StaleConfiguration, "StaleConfiguration", 503, NotRun, true,
                   "A newer configuration than the active one exists, and the "
                   "process must fetch it first."},
    ResultCodeInfo{
        LimitReached, "LimitReached", 429, NotRun, true,
        "The workspace has reached its limit of requests in flight."},
    ResultCodeInfo{CrashesTargets, "CrashesTargets", 503, NotRun, true,
                   "Targets crashed each time they executed this request; it "
                   "is executed once more after Retry-After."},

    ResultCodeInfo{OutcomeUnknown, "OutcomeUnknown", 502, MayHaveRun, false,
                   "The request was sent to a target and its outcome was "
                   "lost; it may have been executed and is never executed "
                   "again."},
    ResultCodeInfo{TargetFailed, "TargetFailed", 502, MayHaveRun, false,
                   "The target failed while executing the request."},
    ResultCodeInfo{DeadlineExceeded, "DeadlineExceeded", 504, MayHaveRun, false,
                   "The deadline passed after the request was sent to a "
                   "target."},
    ResultCodeInfo{Cancelled, "Cancelled", 499, MayHaveRun, false,
                   "The caller cancelled the request or disconnected."},
    ResultCodeInfo{AnswerNoLongerHeld, "AnswerNoLongerHeld", 410, MayHaveRun,
                   false,
                   "The response to resume is no longer held: it is too old, "
                   "was too large, or its agent was replaced."},

    ResultCodeInfo{RecordInvalid, "RecordInvalid", 422, NotApplicable, false,
                   "A record violates its schema; the message names the line "
                   "or field, the value found and the value expected."},
    ResultCodeInfo{RecordVersionConflict, "RecordVersionConflict", 409,
                   NotApplicable, false,
                   "The record was changed concurrently; read it again before "
                   "repeating the change."},
    ResultCodeInfo{RecordNotFound, "RecordNotFound", 404, NotApplicable, false,
                   "The record does not exist."},
    ResultCodeInfo{WaitTimedOut, "WaitTimedOut", 504, NotApplicable, true,
                   "The change was accepted but did not become active on all "
                   "processes within the given time."},

    ResultCodeInfo{StaleEpoch, "StaleEpoch", 409, NotRun, false,
                   "The order carries an older epoch than one already "
                   "received; its sender has lost its authority."},
    ResultCodeInfo{OrderConflict, "OrderConflict", 409, NotRun, true,
                   "Another order is in progress at the target."},
    ResultCodeInfo{NoAuthority, "NoAuthority", 503, NotRun, true,
                   "The process holds no valid lease for the operation."},
    ResultCodeInfo{OrderRejectedByTarget, "OrderRejectedByTarget", 502,
                   MayHaveRun, false,
                   "The target did not execute the order; its actual state is "
                   "read back before another order is sent."},

    ResultCodeInfo{StoreUnavailable, "StoreUnavailable", 503, NotRun, true,
                   "The platform's table or object store did not respond; "
                   "nothing was written."},
    ResultCodeInfo{StoreConflict, "StoreConflict", 409, NotRun, true,
                   "A row has a different version than the transaction "
                   "expects; nothing was written."},
    ResultCodeInfo{StoreOutcomeUnknown, "StoreOutcomeUnknown", 503, MayHaveRun,
                   false,
                   "The store's response to a write was lost; the rows are "
                   "read back before a retry."},
    ResultCodeInfo{PeerUnreachable, "PeerUnreachable", 503, NotRun, true,
                   "Another figlift process cannot be reached; nothing was "
                   "sent to it."},

    ResultCodeInfo{SettingsInvalid, "SettingsInvalid", 500, NotApplicable,
                   false,
                   "A settings file or the command line is invalid; the "
                   "message names the line or field, the value found and the "
                   "value expected."},
    ResultCodeInfo{Internal, "Internal", 500, MayHaveRun, false,
                   "An internal error; the log has the details."},
};

static_assert(std::ranges::is_sorted(Table, {}, &ResultCodeInfo::Code));

/// Error category for passing a ResultCode as std::error_code.
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
