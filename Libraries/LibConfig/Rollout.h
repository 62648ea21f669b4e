//===- Rollout.h - Who has a revision in force ------------------*- C++ -*-===//
//
// Judges, from the status answers of all entries, whether a revision is in
// force everywhere, who lags, and whether a target has drained.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/OperatorClient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figlift::config {

struct Rollout {
  /// One line for each process that does not have the revision yet.
  std::vector<std::string> Lagging;
  /// Number of processes that have it.
  size_t InForce = 0;

  bool complete() const { return Lagging.empty() && InForce > 0; }
};

/// \p Answers are those to /operator/v1/status. A given entry at whose address
/// nothing listens is no process any more and does not count, unless another
/// entry still knows it from the platform's list.
Rollout rolloutOf(const std::vector<EntryAnswer> &Answers, uint64_t Revision);

/// Whether an entry reports the target drained or gone, or entries answered
/// and none lists it any more. A drained target stays drained until another
/// record says otherwise, so one word for it is enough.
bool isDrained(const std::vector<EntryAnswer> &Answers,
               const std::string &Target);

} // namespace figlift::config
