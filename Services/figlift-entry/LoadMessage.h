//===- LoadMessage.h - Agents' reports in memory form -----------*- C++ -*-===//
//
// Converts the wire's messages into the types of routing and membership.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMembership/TargetState.h"
#include "LibRoute/TargetLoad.h"
#include "LibWire/Messages.pb.h"

namespace figlift::entry {

route::TargetLoad loadFromWire(const wire::Load &Message);
membership::TargetReport reportFromWire(const wire::SyncDown &Message);

} // namespace figlift::entry
