//===- HttpCall.h - One HTTP call to a target -------------------*- C++ -*-===//
//
// Shared by HttpEngine and HttpService: calls whose failures are classified as
// "not run" or "may have run".
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTarget/Target.h"
#include "LibUpstream/CallThread.h"
#include "LibUpstream/HttpClient.h"

#include <chrono>
#include <optional>
#include <string>

namespace figlift::target {

/// Longest answer that is collected; the messages between processes cannot
/// carry longer ones.
inline constexpr size_t MaximumAnswerBytes = 8 << 20;

/// The thread of all calls of this process to targets.
upstream::CallThread &callThread();

CallError describeFailure(const upstream::HttpFailure &Failure);

/// Value of the Retry-After header in seconds, with or without a fraction;
/// empty for a date or another value.
std::optional<std::chrono::milliseconds>
readRetryAfter(const proxy::HeaderList &Headers);

/// Sends \p Request and reads the complete response.
void sendCall(upstream::HttpClient &Client, upstream::HttpRequest Request,
              CallDone<upstream::HttpAnswer> Done);

} // namespace figlift::target
