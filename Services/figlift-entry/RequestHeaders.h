//===- RequestHeaders.h - What all callers' requests share ------*- C++ -*-===//
//
// Internal to the reading of callers' requests.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/CallerRequest.h"

namespace figlift::entry {

/// Reads X-Request-Id, X-Figlift-Workspace and X-Figlift-Deadline.
Result<void> readHeaders(const http::Request &From, const ReadContext &With,
                         CallerRequest &Into);

/// Reads Idempotency-Key; empty when there is none.
Result<std::string> readKey(const http::Request &From);

/// Sets class and, without an own one, deadline from the records.
void applyClass(const ReadContext &With, const record::BackEnd &BackEnd,
                bool HasOwnDeadline, CallerRequest &Into);

} // namespace figlift::entry
