//===- Rollout.h - Progress of a configuration rollout ----------*- C++ -*-===//
//
// Determines from the status responses of all entries whether a revision is in
// force everywhere, which processes lag, and whether a target has drained.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/OperatorClient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figlift::config {

struct Rollout {
  /// One line for each process in which the revision is not in force yet.
  std::vector<std::string> Lagging;
  /// Number of processes in which it is in force.
  size_t InForce = 0;

  bool complete() const { return Lagging.empty() && InForce > 0; }
};

/// \p Responses are those to /operator/v1/status. An entry at whose address no
/// process listens is ignored, unless another entry still reports it from the
/// platform's list.
Rollout rolloutStatus(const std::vector<EntryResponse> &Responses,
                      uint64_t Revision);

/// Whether an entry reports the target as drained or gone, or entries responded
/// and none of them lists it. A drained target stays drained until another
/// record changes that, so one report is sufficient.
bool isDrained(const std::vector<EntryResponse> &Responses,
               const std::string &Target);

} // namespace figlift::config
