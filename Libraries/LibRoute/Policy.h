//===- Policy.h - Routing policies ------------------------------*- C++ -*-===//
//
// Deployments use FigliftPolicy with every mechanism enabled. The other
// policies are baselines for comparison.
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

/// Least reported work; ignores this entry's work in flight.
struct LeastLoadedPolicy {};

struct FigliftPolicy {
  /// Cached prefixes reduce the expected prefill, and requests with the same
  /// prefix share candidates.
  bool PrefixAwareness = true;
  /// Work that this entry has sent since a target's report counts as load.
  bool InFlightCorrection = true;
  /// Work that cannot meet its deadline, or finds every queue full, is refused
  /// before it is sent.
  bool EarlyRefusal = true;
  /// Waiting work of less urgent classes does not count towards the expected
  /// wait.
  bool ClassPriorities = true;

  /// Number of candidates chosen by rendezvous hashing of the prefix, and at
  /// random.
  unsigned RendezvousCandidates = 2;
  unsigned RandomCandidates = 2;
  /// Extra cost of computing a prefix that is cached on another target, as a
  /// multiple of its prefill time: it evicts as much from the cache of the
  /// chosen target, which has to be computed again later.
  double EvictionCostFactor = 1.0;
  /// Extra cost of decode in a full batch, as a multiple of its decode time,
  /// because the sequences of a batch slow each other down. Measured speeds of
  /// equal targets differ by tens of percent; without this factor the target
  /// with the higher measurement gets all work until its batch is full.
  double FullBatchDecodeFactor = 1.0;
  /// Added to the cost of targets in another zone.
  std::chrono::microseconds OtherZonePenalty{2000};
  /// Factor on the expected prefill and decode time on a target whose role does
  /// not match the work.
  double RoleMismatchFactor = 1.5;
  /// Work belongs to the prefill (decode) role if that phase takes at least
  /// this fraction of its time.
  double RoleMatchFraction = 0.65;
  /// Rates of targets without measurements, if their peers have none either.
  /// Work is never refused on the basis of these rates.
  double AssumedPrefillTokensPerSecond = 8000;
  double AssumedDecodeTokensPerSecond = 1000;
  unsigned AssumedMaximumSequences = 16;
};

using Policy = std::variant<RandomPolicy, RoundRobinPolicy, LeastLoadedPolicy,
                            FigliftPolicy>;

} // namespace figlift::route
