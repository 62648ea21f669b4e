//===- CallerApi.h - HTTP routes for callers --------------------*- C++ -*-===//
//
// POST /v1/completions, POST /v1/chat/completions, GET /v1/models and
// everything below /v1/services/.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/CallContext.h"

#include "LibHttp/Server.h"

#include <chrono>
#include <vector>

namespace figlift::entry {

/// \p Context must outlive the server.
std::vector<http::Route>
callerRoutes(const CallContext &Context,
             std::chrono::milliseconds DefaultDeadline);

} // namespace figlift::entry
