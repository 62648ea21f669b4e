//===- Result.h - Typed errors and results ----------------------*- C++ -*-===//
//
// Every fallible function of figlift returns Result<T> instead of throwing.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/ResultCode.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace figlift {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// The reason of a failure.
struct Error {
  ResultCode Code = ResultCode::Internal;
  /// Message for operators: what was found and what was expected.
  std::string Message;
  /// Path of the invalid field ("spec.roles.prefill"), or empty.
  std::string Field;
  /// How long a caller should wait before a retry; absent when waiting does not
  /// help.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::all_narrow>;

inline auto success() { return outcome::success(); }

/// Shorthand for a failed Result.
inline auto failure(ResultCode Code, std::string Message,
                    std::string Field = {}) {
  return outcome::failure(
      Error{Code, std::move(Message), std::move(Field), std::nullopt});
}

} // namespace figlift

/// Returns the error of a failed Result early: FIGLIFT_TRY(Expression), or
/// FIGLIFT_TRY(Name, Expression) to bind the value to a new Name (no `auto`).
#define FIGLIFT_TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)
