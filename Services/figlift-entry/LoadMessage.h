//===- LoadMessage.h - Conversion of agent reports --------------*- C++ -*-===//
//
// Converts wire messages into the types of LibRoute and LibMembership.
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
