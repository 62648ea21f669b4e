//===- AdminServer.h - Admin listener of the agent --------------*- C++ -*-===//
//
// /healthz, /readyz, /metrics, /timeline and /status.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "Snapshot.h"

#include "LibHttp/Server.h"

namespace figlift::agent {

Result<std::unique_ptr<http::Server>>
createAdminServer(Context Shared, const SnapshotHolder &State);

} // namespace figlift::agent
