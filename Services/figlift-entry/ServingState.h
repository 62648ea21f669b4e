//===- ServingState.h - What the request path reads -------------*- C++ -*-===//
//
// One immutable snapshot of configuration, routing table and homes. Built by
// the control thread, published by read-copy-update.
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
  /// Why no new request is taken; empty while serving.
  std::optional<Error> NotReady{Error{ResultCode::NotReady,
                                      "the entry has no configuration yet",
                                      {},
                                      std::chrono::milliseconds(500)}};
  /// Never null.
  config::SnapshotPointer Configuration = config::Snapshot::empty();
  route::RoutingTable Table;
  /// Targets with a usable channel, by id.
  ByName<std::shared_ptr<TargetLink>> Links;
  /// By back end.
  ByName<idempotency::HomeDirectory> Homes;
};

using ServingStatePointer = RcuPointer<ServingState>;

} // namespace figlift::entry
