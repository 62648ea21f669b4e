//===- Socket.h - TCP sockets of the transport ------------------*- C++ -*-===//
//
// Creates the sockets of listeners and connections; all are non-blocking.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"

namespace figlift::wire {

/// Starts to connect; the socket becomes writable when the outcome is known.
Result<int> startConnect(const Endpoint &Peer);
/// Whether the attempt that startConnect() started has succeeded.
bool connectSucceeded(int Socket);
/// Binds and listens; fails with PeerUnreachable when the address is in use.
Result<int> listenOn(const Endpoint &Listen);
/// The address that \p Socket is bound to.
Endpoint localEndpoint(int Socket);
/// Disables Nagle's algorithm and limits the unsent bytes in the kernel's send
/// queue.
void configureLowLatency(int Socket);

} // namespace figlift::wire
