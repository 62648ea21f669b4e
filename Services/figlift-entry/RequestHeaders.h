//===- RequestHeaders.h - Headers common to all requests --------*- C++ -*-===//
//
// Internal to the parsing of callers' requests.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/CallerRequest.h"

namespace figlift::entry {

/// Reads X-Request-Id, X-Figlift-Workspace and X-Figlift-Deadline.
Result<void> readHeaders(const http::Request &Request,
                         const ReadContext &Context, CallerRequest &Output);

/// Reads Idempotency-Key; empty when it is missing.
Result<std::string> readKey(const http::Request &Request);

/// Sets the service class from the configuration, and the deadline unless the
/// request specifies one.
void applyClass(const ReadContext &Context, const record::BackEnd &BackEnd,
                bool HasExplicitDeadline, CallerRequest &Output);

} // namespace figlift::entry
