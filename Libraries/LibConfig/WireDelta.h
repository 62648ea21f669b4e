//===- WireDelta.h - Wire format of configuration changes -------*- C++ -*-===//
//
// Converts between Delta and the messages that contain it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Delta.h"
#include "LibWire/Messages.pb.h"

#include <string>

namespace figlift::config {

/// The message that an entry sends on a Sync stream. A delta without records is
/// sent as well, because it carries the head revision.
wire::SyncUp toSyncUp(const Delta &Changes, const std::string &EntryId);
Delta fromSyncUp(const wire::SyncUp &Message);

/// The response to a ConfigurationRequest; \p Changes is the diff of the
/// snapshot since the request's after_revision.
wire::ConfigurationReply toReply(const Delta &Changes);
/// \p After is the after_revision of the corresponding request.
Delta fromReply(const wire::ConfigurationReply &Message, uint64_t After);

} // namespace figlift::config
