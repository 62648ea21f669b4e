//===- OperatorJson.h - JSON of the operator API ----------------*- C++ -*-===//
//
// How records, status and outcomes look in answers to operators.
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

OrderedJson jsonOf(const Item &Known);
OrderedJson jsonOf(const TargetStatus &Target);
OrderedJson jsonOf(const EntryStatus &Entry);
OrderedJson jsonOf(const ChangeOutcome &Outcome);

/// A 200 answer.
http::Response jsonResponse(const OrderedJson &Body);

} // namespace figlift::config
