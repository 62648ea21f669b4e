//===- FaultInjector.h - Seeded, overlapping faults -------------*- C++ -*-===//
//
// Draws faults from a seed, lets several overlap, repairs each after its
// duration, and reports to the invariant checker which parts of the system are
// disturbed. Every third seed has planned changes only, as few invariants of
// planned changes can be checked during faults.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "SoakFleet.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace figlift::soak {

inline bool hasPlannedChangesOnly(uint64_t Seed) { return Seed % 3 == 0; }

/// Every fourth seed has servers that announce rate limits, and requests that
/// crash the servers that execute them; no seed with only planned changes has.
inline bool hasCrashesAndLimits(uint64_t Seed) {
  return Seed % 4 == 3 && Seed % 3 != 0;
}

/// One of six seeds has prompts with a part that crashes the engines that begin
/// to write an answer to them.
inline bool hasCrashingParts(uint64_t Seed) {
  return (Seed % 8 == 0 || Seed % 8 == 2) && Seed % 3 != 0;
}

/// Two of seven seeds, with and without faults, have servers that ask for a
/// pause, and servers that say in their responses that they are shutting down.
inline bool hasServerFeedback(uint64_t Seed) { return Seed % 7 >= 5; }

/// Some seeds with faults replace engines by others of another software
/// version, beside gateways that are killed, under many streams.
inline bool hasRollouts(uint64_t Seed) {
  return Seed % 5 == 4 && Seed % 3 != 0;
}

class FaultInjector {
public:
  FaultInjector(SoakFleet &Fleet, InvariantChecker &Checker, uint64_t Seed)
      : m_Fleet(Fleet), m_Checker(Checker),
        m_PlannedOnly(hasPlannedChangesOnly(Seed)),
        m_HasCrashesAndLimits(hasCrashesAndLimits(Seed)),
        m_HasServerFeedback(hasServerFeedback(Seed)),
        m_HasRollouts(hasRollouts(Seed)), m_Random(Seed), m_CopyRandom(Seed),
        m_LimitRandom(Seed), m_FeedbackRandom(Seed), m_RolloutRandom(Seed),
        m_ShapeRandom(Seed), m_InterruptRandom(Seed) {}

  /// From now on also cuts answers inside their heads, and lists an engine of
  /// another software version for a moment that ends with a kill of all
  /// gateways, while the store takes no writes.
  void interruptMore() {
    m_InterruptsMore = true;
    m_Fleet.keepVersions();
  }
  /// From now on also breaks answers of servers, beside the seed's faults.
  void breakAnswers() { m_BreaksAnswers = true; }
  /// Called about every 50 ms. Begins new faults only if \p AllowNew is set.
  void tick(BootTime Now, bool AllowNew);
  bool calm() const { return m_ActiveFaults.empty(); }
  bool isActive(const std::string &Name) const;
  /// All faults and changes in order, for the log of a run.
  const std::vector<std::string> &history() const { return m_History; }

private:
  struct ActiveFault {
    std::string Name;
    /// Gateway names and groups of \c InvariantChecker that are disturbed
    /// meanwhile.
    std::vector<std::string> Affected;
    BootTime Until{};
    std::function<void()> Repair;
    /// Beginning of the ids of the servers whose link loses answers; empty if
    /// none does.
    std::string LossyServers;
  };

  void beginFault(BootTime Now);
  void beginPlanned(BootTime Now);
  void signalGateways();
  void sendSignal(unsigned Gateway, Signal Kind);
  void configure();
  void beginSignal(BootTime Now);
  void beginLink(BootTime Now);
  void beginStore(BootTime Now);
  Behavior withOtherShape(Behavior Drawn);
  void beginServer(BootTime Now);
  void beginReplacement(BootTime Now);
  void beginPause(BootTime Now);
  void rollOut(BootTime Now);
  void cutHeads(BootTime Now);
  void breakAnswers(BootTime Now);
  void disturbAnswers(LinkFault Mode, const std::string &Effect, BootTime Now);
  void beginCanary(BootTime Now);
  void activate(const std::string &Name,
                const std::vector<std::string> &Affected, BootTime Until,
                std::function<void()> Repair,
                const std::string &LossyServers = {});
  void record(const ActiveFault &Fault, BootTime Now);
  unsigned draw(unsigned Minimum, unsigned Maximum);
  BootTime randomTime(BootTime Now, unsigned Minimum, unsigned Maximum);

  SoakFleet &m_Fleet;
  InvariantChecker &m_Checker;
  const bool m_PlannedOnly;
  const bool m_HasCrashesAndLimits;
  const bool m_HasServerFeedback;
  const bool m_HasRollouts;
  std::mt19937_64 m_Random;
  /// Separate sources keep the other choices of each seed unchanged when
  /// choices of these kinds are added.
  std::mt19937_64 m_CopyRandom;
  std::mt19937_64 m_LimitRandom;
  std::mt19937_64 m_FeedbackRandom;
  std::mt19937_64 m_RolloutRandom;
  std::mt19937_64 m_ShapeRandom;
  std::mt19937_64 m_InterruptRandom;
  bool m_InterruptsMore = false;
  bool m_BreaksAnswers = false;
  BootTime m_NextCanary{};
  unsigned m_Canaries = 0;
  std::vector<ActiveFault> m_ActiveFaults;
  std::vector<std::string> m_History;
  BootTime m_NextFault{};
};

} // namespace figlift::soak
