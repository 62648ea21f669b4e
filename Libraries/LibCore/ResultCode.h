//===- ResultCode.h - Numbered result codes of figlift ----------*- C++ -*-===//
//
// All outcomes of requests, orders and operators' changes. The numbers are part
// of the public interface and never reused. docs/RESULT-CODES.md is generated
// from the table, and a test compares the two.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <system_error>

namespace figlift {

/// Numbers are grouped: 1xx the caller's input, 2xx refusals before execution,
/// 3xx outcomes after dispatch, 4xx operators' changes, 5xx orders and
/// authority, 6xx platform and peers, 7xx local errors.
enum class ResultCode {
  Success = 0,

  InvalidInput = 101,
  InputTooLarge = 102,
  UnknownBackEnd = 103,
  UnknownModel = 104,
  KeyReusedForOtherRequest = 105,
  KeyTooFarAhead = 106,
  Unauthenticated = 107,

  Overloaded = 201,
  DeadlineUnreachable = 202,
  Draining = 203,
  NoTargetAvailable = 204,
  HomeUnreachable = 205,
  NotReady = 206,
  RetryBudgetSpent = 207,
  HomeMoved = 208,
  StaleConfiguration = 209,
  LimitReached = 210,
  CrashesTargets = 211,

  OutcomeUnknown = 301,
  TargetFailed = 302,
  DeadlineExceeded = 303,
  Cancelled = 304,
  AnswerNoLongerHeld = 305,

  RecordInvalid = 401,
  RecordVersionConflict = 402,
  RecordNotFound = 403,
  WaitTimedOut = 404,

  StaleEpoch = 501,
  OrderConflict = 502,
  NoAuthority = 503,
  OrderRejectedByTarget = 504,

  StoreUnavailable = 601,
  StoreConflict = 602,
  StoreOutcomeUnknown = 603,
  PeerUnreachable = 604,

  SettingsInvalid = 701,
  Internal = 702,
};

/// Whether a request was executed.
enum class Execution { NotRun, MayHaveRun, Ran, NotApplicable };

/// One row of the table.
struct ResultCodeInfo {
  ResultCode Code;
  std::string_view Name;
  /// Status of an HTTP response with this code.
  int HttpStatus;
  Execution Executed;
  /// Whether a caller may retry the request without the risk that it is
  /// executed twice.
  bool MayRetry;
  std::string_view Meaning;
};

/// All rows in ascending order of their numbers.
std::span<const ResultCodeInfo> resultCodeTable();

/// The row of \p Code; every enumerator has one.
const ResultCodeInfo &resultCodeInfo(ResultCode Code);

/// The enumerator for a number received from another process; nothing if the
/// number is unknown.
std::optional<ResultCode> resultCodeFromNumber(int Number);

const std::error_category &resultCodeCategory();
std::error_code make_error_code(ResultCode Code);

} // namespace figlift

template <>
struct std::is_error_code_enum<figlift::ResultCode> : std::true_type {};
