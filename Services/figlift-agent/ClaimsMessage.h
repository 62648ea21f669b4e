//===- ClaimsMessage.h - Wire format of claims ------------------*- C++ -*-===//
//
// Pure conversion between the claims of the home's state machine (HomeMachine)
// and HandoverRequest.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/HomeTypes.h"
#include "LibWire/Messages.pb.h"

#include <string>
#include <vector>

namespace figlift::agent {

/// Splits the claims into messages that each fit into the transport's limit. If
/// \p Handover is complete, the last message marks the set as complete.
std::vector<wire::HandoverRequest>
writeClaims(const idempotency::SendClaims &Handover, const std::string &BackEnd,
            const std::string &Sender);

/// Whether more messages of the same set follow on the stream.
bool moreFollows(const wire::HandoverRequest &Message);

std::vector<idempotency::ClaimsReceived>
readClaims(const wire::HandoverRequest &Message);

} // namespace figlift::agent
