//===- Socket.h - TCP sockets of the wire -----------------------*- C++ -*-===//
//
// Opens the sockets of listeners and connections; all are non-blocking.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"

namespace figlift::wire {

/// Starts a connect; its outcome shows when the socket becomes writable.
Result<int> startConnect(const Endpoint &Peer);
/// Whether the connect that startConnect() began has come about.
bool connectSucceeded(int Socket);
/// Binds and listens; fails with PeerUnreachable when the address is in use.
Result<int> listenOn(const Endpoint &Where);
/// The address that \p Socket is bound to.
Endpoint localEndpoint(int Socket);
/// Writes leave at once instead of waiting for the ACK of the one before, and
/// the kernel holds little that has not left yet.
void sendPromptly(int Socket);

} // namespace figlift::wire
