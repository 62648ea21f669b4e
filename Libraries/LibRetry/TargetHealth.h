//===- TargetHealth.h - Targets that fail again and again -------*- C++ -*-===//
//
// A target with consecutive failures is left out for a while, then probed
// with single requests (half open) until one succeeds. Refusals are no
// failures: a draining or full target is healthy.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace figlift::retry {

struct HealthSettings {
  unsigned FailuresToExclude = 3;
  /// Doubles with each failed probe...
  std::chrono::milliseconds FirstExclusion{500};
  /// ...up to this. A target that is back gets its first probe after at most
  /// so long, and all work when that has ended: with 15 s an engine stood idle
  /// for twenty after its link was mended. One request in five seconds is what
  /// a target that stays away costs each entry.
  std::chrono::milliseconds MaximumExclusion{5000};
  /// A probe is wanted for so long before work that may not be repeated is
  /// one: it comes to nothing if the probe fails.
  std::chrono::milliseconds ProbeOverdue{5000};
};

/// Lock-free; used by all threads of an entry.
class TargetHealth {
public:
  explicit TargetHealth(HealthSettings Settings = {});

  void succeeded();
  /// While the target is excluded only the failure of its probe counts.
  void failed(BootTime Now);

  /// Whether an attempt may go there now. After an exclusion one caller gets
  /// true, which makes its attempt the probe; the others get false until the
  /// probe has succeeded or another exclusion has passed, so a probe that its
  /// caller never sent blocks nothing for long.
  bool allows(BootTime Now);
  /// Whether an exclusion has passed and a probe is wanted: allows() would make
  /// an attempt one.
  bool wantsProbe(BootTime Now) const;
  /// The same for ProbeOverdue: no work came that may be repeated.
  bool probeIsOverdue(BootTime Now) const {
    return wantsProbe(Now - m_Settings.ProbeOverdue);
  }
  bool excluded() const;

private:
  std::chrono::nanoseconds exclusion(unsigned Failures) const;

  HealthSettings m_Settings;
  /// Since the last success.
  std::atomic<unsigned> m_Failures{0};
  /// BootTime in nanoseconds; 0 while the target is in use.
  std::atomic<int64_t> m_ExcludedUntil{0};
  /// A probe was let through and has not failed yet.
  std::atomic<bool> m_Probing{false};
};

/// Health of all targets that an entry uses.
class HealthBook {
public:
  explicit HealthBook(HealthSettings Settings = {}) : m_Settings(Settings) {}

  /// Made on first use; keep it beside the attempt.
  std::shared_ptr<TargetHealth> health(const std::string &Target);
  /// Targets that get no attempt but a probe; to be appended to the exclusions
  /// of route::chooseTarget.
  std::vector<std::string> excluded() const;
  /// Those of them that want one now. Whoever sends it asks allows() first.
  std::vector<std::string> wantingProbes(BootTime Now) const;
  void forget(const std::string &Target);

private:
  HealthSettings m_Settings;
  template <typename Predicate>
  std::vector<std::string> targets(Predicate IsWanted) const;

  mutable std::mutex m_Mutex;
  std::map<std::string, std::shared_ptr<TargetHealth>> m_Health;
};

} // namespace figlift::retry
