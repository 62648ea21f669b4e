//===- TargetHealth.cpp - Ejection of failing targets -----------*- C++ -*-===//
//
// Ejection times and half-open probes.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/TargetHealth.h"

#include <algorithm>

namespace figlift::retry {

namespace {

int64_t nanoseconds(BootTime Time) { return Time.time_since_epoch().count(); }

} // namespace

TargetHealth::TargetHealth(HealthSettings Settings) : m_Settings(Settings) {}

void TargetHealth::recordSuccess() {
  m_Probing.store(false, std::memory_order_relaxed);
  m_Failures.store(0, std::memory_order_relaxed);
  m_EjectedUntil.store(0, std::memory_order_relaxed);
}

void TargetHealth::recordFailure(BootTime Now) {
  // When a link is lost, all requests at the target fail together. If each of
  // them counted, a short interruption would eject the target for
  // MaximumEjectionTime.
  const int64_t Until = m_EjectedUntil.load(std::memory_order_relaxed);
  if (nanoseconds(Now) < Until && !m_Probing.exchange(false))
    return;
  const unsigned Failures =
      m_Failures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (Failures < m_Settings.FailuresToEject)
    return;
  m_EjectedUntil.store(nanoseconds(Now + ejectionTime(Failures)),
                       std::memory_order_relaxed);
}

std::chrono::nanoseconds TargetHealth::ejectionTime(unsigned Failures) const {
  // 20 doublings exceed any reasonable maximum.
  const unsigned Doublings =
      std::min(Failures - std::min(Failures, m_Settings.FailuresToEject), 20u);
  return std::min<std::chrono::nanoseconds>(m_Settings.FirstEjectionTime *
                                                (int64_t{1} << Doublings),
                                            m_Settings.MaximumEjectionTime);
}

bool TargetHealth::allows(BootTime Now) {
  int64_t Until = m_EjectedUntil.load(std::memory_order_relaxed);
  if (Until == 0)
    return true;
  if (nanoseconds(Now) < Until)
    return false;
  const unsigned Failures = m_Failures.load(std::memory_order_relaxed);
  if (!m_EjectedUntil.compare_exchange_strong(
          Until, nanoseconds(Now + ejectionTime(Failures)),
          std::memory_order_relaxed))
    return false;
  m_Probing.store(true, std::memory_order_relaxed);
  return true;
}

bool TargetHealth::isProbeDue(BootTime Now) const {
  const int64_t Until = m_EjectedUntil.load(std::memory_order_relaxed);
  return Until != 0 && nanoseconds(Now) >= Until;
}

bool TargetHealth::isEjected() const {
  return m_EjectedUntil.load(std::memory_order_relaxed) != 0;
}

std::shared_ptr<TargetHealth> HealthTracker::health(const std::string &Target) {
  std::lock_guard Lock(m_Mutex);
  auto &Slot = m_Health[Target];
  if (!Slot)
    Slot = std::make_shared<TargetHealth>(m_Settings);
  return Slot;
}

template <typename Predicate>
std::vector<std::string> HealthTracker::targets(Predicate Matches) const {
  std::lock_guard Lock(m_Mutex);
  std::vector<std::string> Targets;
  for (const auto &[Target, Health] : m_Health)
    if (Matches(*Health))
      Targets.push_back(Target);
  return Targets;
}

std::vector<std::string> HealthTracker::ejectedTargets() const {
  return targets([](const TargetHealth &Health) { return Health.isEjected(); });
}

std::vector<std::string> HealthTracker::targetsDueForProbe(BootTime Now) const {
  return targets(
      [Now](const TargetHealth &Health) { return Health.isProbeDue(Now); });
}

void HealthTracker::remove(const std::string &Target) {
  std::lock_guard Lock(m_Mutex);
  m_Health.erase(Target);
}

} // namespace figlift::retry
