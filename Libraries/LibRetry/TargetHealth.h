//===- TargetHealth.h - Ejection of failing targets -------------*- C++ -*-===//
//
// Circuit breaker for each target: a target with consecutive failures is
// ejected for some time, then probed with single requests (half open) until
// one succeeds. Refusals do not count as failures: a draining or full target
// is healthy.
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
  unsigned FailuresToEject = 3;
  /// Doubles with each failed probe, up to MaximumEjectionTime.
  std::chrono::milliseconds FirstEjectionTime{500};
  /// A target that has recovered is probed after at most this time, and gets
  /// its full share of work once the probe succeeds. With 15 s an engine may
  /// stay idle for 20 s after its link is restored. A target that stays down
  /// costs each entry one request per 5 s.
  std::chrono::milliseconds MaximumEjectionTime{5000};
  /// Non-repeatable work is used as a probe only after one has been due for
  /// this time, because it cannot be retried if the probe fails.
  std::chrono::milliseconds ProbeOverdue{5000};
};

/// Lock-free; used by all threads of an entry.
class TargetHealth {
public:
  explicit TargetHealth(HealthSettings Settings = {});

  void recordSuccess();
  /// While the target is ejected, only the failure of its probe counts.
  void recordFailure(BootTime Now);

  /// Whether an attempt may be sent to the target now. After an ejection one
  /// caller gets true, and its attempt is the probe. The others get false until
  /// the probe has succeeded or another ejection time has passed, so a probe
  /// that was allowed but not sent does not block the target for long.
  bool allows(BootTime Now);
  /// Whether the ejection time has passed, so that the next call of allows()
  /// starts a probe.
  bool isProbeDue(BootTime Now) const;
  /// Whether a probe has been due for ProbeOverdue, because no repeatable work
  /// was sent to the target.
  bool isProbeOverdue(BootTime Now) const {
    return isProbeDue(Now - m_Settings.ProbeOverdue);
  }
  bool isEjected() const;

private:
  std::chrono::nanoseconds ejectionTime(unsigned Failures) const;

  HealthSettings m_Settings;
  /// Since the last success.
  std::atomic<unsigned> m_Failures{0};
  /// BootTime in nanoseconds; 0 while the target is not ejected.
  std::atomic<int64_t> m_EjectedUntil{0};
  /// A probe was allowed and has not failed yet.
  std::atomic<bool> m_Probing{false};
};

/// Health of all targets that an entry uses.
class HealthTracker {
public:
  explicit HealthTracker(HealthSettings Settings = {}) : m_Settings(Settings) {}

  /// Returns the health of \p Target, created on first use. Callers keep the
  /// pointer with the attempt.
  std::shared_ptr<TargetHealth> health(const std::string &Target);
  /// Ejected targets, which get no attempts except probes; to be passed to
  /// route::chooseTarget() as exclusions.
  std::vector<std::string> ejectedTargets() const;
  /// Ejected targets that are due for a probe. The sender of the probe calls
  /// allows() first.
  std::vector<std::string> targetsDueForProbe(BootTime Now) const;
  void remove(const std::string &Target);

private:
  HealthSettings m_Settings;
  template <typename Predicate>
  std::vector<std::string> targets(Predicate Matches) const;

  mutable std::mutex m_Mutex;
  std::map<std::string, std::shared_ptr<TargetHealth>> m_Health;
};

} // namespace figlift::retry
