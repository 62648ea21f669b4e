//===- ServingState.h - State read by the request path ----------*- C++ -*-===//
//
// Immutable snapshot of configuration, routing table and homes. Built by the
// control thread and published by read-copy-update.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/Rcu.h"
#include "figlift-entry/TargetLink.h"

#include "LibConfig/Snapshot.h"
#include "LibIdempotency/HomeDirectory.h"
#include "LibRoute/RoutingTable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace figlift::entry {

template <typename T> using ByName = std::map<std::string, T, std::less<>>;

struct ServingState {
  /// Reason for refusing new requests; empty while serving.
  std::optional<Error> NotReady{Error{ResultCode::NotReady,
                                      "the entry has no configuration yet",
                                      {},
                                      std::chrono::milliseconds(500)}};
  /// Never null.
  config::SnapshotPointer Configuration = config::Snapshot::empty();
  route::RoutingTable Table;
  /// Connected targets by id.
  ByName<std::shared_ptr<TargetLink>> Links;
  /// By back end.
  ByName<idempotency::HomeDirectory> Homes;
};

using ServingStatePointer = RcuPointer<ServingState>;

} // namespace figlift::entry
