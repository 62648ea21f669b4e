//===- ClaimsMessage.h - Claims on the wire ---------------------*- C++ -*-===//
//
// Pure translation between the home machine's claims and HandoverRequest.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/HomeTypes.h"
#include "LibWire/Messages.pb.h"

#include <string>
#include <vector>

namespace figlift::agent {

/// Whole messages, each within the transport's limit; the last one is the one
/// that completes the set when \p What is complete.
std::vector<wire::HandoverRequest>
writeClaims(const idempotency::SendClaims &What, const std::string &BackEnd,
            const std::string &From);

/// More messages of the same set follow on the stream.
bool moreFollows(const wire::HandoverRequest &Message);

std::vector<idempotency::ClaimsReceived>
readClaims(const wire::HandoverRequest &Message);

} // namespace figlift::agent
