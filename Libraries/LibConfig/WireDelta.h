//===- WireDelta.h - Changes of the configuration on the wire ---*- C++ -*-===//
//
// Converts between Delta and the messages that carry it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Delta.h"
#include "LibWire/Messages.pb.h"

#include <string>

namespace figlift::config {

/// What an entry sends on a Sync stream. A delta without entries is sent too:
/// it tells the peer the head.
wire::SyncUp toSyncUp(const Delta &Changes, const std::string &EntryId);
Delta fromSyncUp(const wire::SyncUp &Message);

/// The answer to a ConfigurationRequest; \p Changes is the diff of the
/// snapshot since the request's after_revision.
wire::ConfigurationReply toReply(const Delta &Changes);
/// \p After is the after_revision of the request that was answered.
Delta fromReply(const wire::ConfigurationReply &Message, uint64_t After);

} // namespace figlift::config
