//===- Problem.h - Problem details (RFC 9457) -------------------*- C++ -*-===//
//
// Converts an Error to an application/problem+json response as of RFC 9457,
// with the numeric result code, whether the work was executed, and Retry-After.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibHttp/Message.h"

#include <string>
#include <string_view>

namespace figlift::http {

/// "not-run", "unknown", "ran" or "not-applicable".
std::string_view executionName(Execution Executed);

/// The JSON object without a response head, as sent in an event of a stream.
std::string problemBody(const Error &Problem, std::string_view RequestId);

/// The complete response: the HTTP status of the result code, the problem body,
/// and Retry-After, if the error has one, rounded up to the whole seconds that
/// the header has.
Response problemResponse(const Error &Problem, std::string_view RequestId);

} // namespace figlift::http
