//===- OperatorJson.h - JSON of the operator API ----------------*- C++ -*-===//
//
// Format of records, status and outcomes in responses to operators.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/ConfigWriter.h"
#include "LibConfig/Snapshot.h"
#include "LibConfig/StatusProvider.h"
#include "LibHttp/Message.h"

#include <nlohmann/json.hpp>

namespace figlift::config {

using OrderedJson = nlohmann::ordered_json;

OrderedJson jsonOf(const SnapshotRecord &Record);
OrderedJson jsonOf(const TargetStatus &Target);
OrderedJson jsonOf(const EntryStatus &Entry);
OrderedJson jsonOf(const ChangeOutcome &Outcome);

/// A response with status 200.
http::Response jsonResponse(const OrderedJson &Body);

} // namespace figlift::config
