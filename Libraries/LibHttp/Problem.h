//===- Problem.h - Problem details of errors --------------------*- C++ -*-===//
//
// Turns an Error into the application/problem+json answer of RFC 9457, with
// the numbered result code, whether the work was executed, and Retry-After.
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

/// The JSON object alone, as an event of a stream carries it.
std::string problemBody(const Error &What, std::string_view RequestId);

/// The whole answer: status of the code's row, problem body, Retry-After in
/// whole seconds rounded up (its unit on the wire) when the error has one.
Response problemResponse(const Error &What, std::string_view RequestId);

} // namespace figlift::http
