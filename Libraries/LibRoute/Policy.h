//===- Policy.h - Ways to choose a target -----------------------*- C++ -*-===//
//
// The arms that are measured against each other. Deployments use
// FigliftPolicy with every mechanism on.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

namespace figlift::route {

struct RandomPolicy {};

struct RoundRobinPolicy {
  /// Shared by all requests of the process.
  std::shared_ptr<std::atomic<uint64_t>> Next =
      std::make_shared<std::atomic<uint64_t>>(0);
};

/// Least reported work, own work in flight left out.
struct LeastLoadedPolicy {};

struct FigliftPolicy {
  /// Expected prefill saved by cached prefixes counts, and requests with the
  /// same beginning share candidates.
  bool PrefixAwareness = true;
  /// Own work sent since a target's report counts as load.
  bool InFlightCorrection = true;
  /// Work that cannot make its deadline, or finds every queue full, is refused
  /// before it is sent.
  bool EarlyRefusal = true;
  /// Waiting work of less urgent classes is left out of the expected wait.
  bool ClassPriorities = true;

  /// Candidates by rendezvous of the prefix, and by chance.
  unsigned RendezvousCandidates = 2;
  unsigned RandomCandidates = 2;
  /// A prefix that is cached elsewhere and computed anew pushes as much out of
  /// the cache that takes it, to be computed anew later: its cost counts this
  /// much more.
  double DisplacementFactor = 1.0;
  /// Sequences in a batch slow each other: decode in a full one is taken for
  /// this much longer than alone when targets are compared. Measured speeds of
  /// equal targets differ by tens of percent; without this the one that was
  /// measured faster gets all work until its batch is full.
  double CrowdedDecodeFactor = 1.0;
  /// Added to the expected wait of targets in another zone.
  std::chrono::microseconds OtherZonePenalty{2000};
  /// Expected prefill and decode time count this much more on a target whose
  /// role leans the other way.
  double RoleMismatchFactor = 1.5;
  /// Work leans to prefill (decode) when that part takes at least this
  /// fraction of its time.
  double LeaningFraction = 0.65;
  /// Rates of targets that have measured nothing yet. Estimates made from
  /// them never refuse work.
  double AssumedPrefillTokensPerSecond = 8000;
  double AssumedDecodeTokensPerSecond = 1000;
  unsigned AssumedMaximumSequences = 16;
};

using Policy = std::variant<RandomPolicy, RoundRobinPolicy, LeastLoadedPolicy,
                            FigliftPolicy>;

} // namespace figlift::route
