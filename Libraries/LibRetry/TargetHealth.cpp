//===- TargetHealth.cpp - Targets that fail again and again -----*- C++ -*-===//
//
// Exclusion and half-open probes.
//
//===----------------------------------------------------------------------===//

#include "LibRetry/TargetHealth.h"

#include <algorithm>

namespace figlift::retry {

namespace {

int64_t ticks(BootTime Time) { return Time.time_since_epoch().count(); }

} // namespace

TargetHealth::TargetHealth(HealthSettings Settings) : m_Settings(Settings) {}

void TargetHealth::succeeded() {
  m_Probing.store(false, std::memory_order_relaxed);
  m_Failures.store(0, std::memory_order_relaxed);
  m_ExcludedUntil.store(0, std::memory_order_relaxed);
}

void TargetHealth::failed(BootTime Now) {
  // All requests at a target fail at once when its link breaks for a moment.
  // Were each of them counted, an engine that is back at once would get no
  // work for the longest exclusion there is.
  const int64_t Until = m_ExcludedUntil.load(std::memory_order_relaxed);
  if (ticks(Now) < Until && !m_Probing.exchange(false))
    return;
  const unsigned Failures =
      m_Failures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (Failures < m_Settings.FailuresToExclude)
    return;
  m_ExcludedUntil.store(ticks(Now + exclusion(Failures)),
                        std::memory_order_relaxed);
}

std::chrono::nanoseconds TargetHealth::exclusion(unsigned Failures) const {
  // More than 20 doublings exceed every sensible maximum.
  const unsigned Doublings = std::min(
      Failures - std::min(Failures, m_Settings.FailuresToExclude), 20u);
  return std::min<std::chrono::nanoseconds>(m_Settings.FirstExclusion *
                                                (int64_t{1} << Doublings),
                                            m_Settings.MaximumExclusion);
}

bool TargetHealth::allows(BootTime Now) {
  int64_t Until = m_ExcludedUntil.load(std::memory_order_relaxed);
  if (Until == 0)
    return true;
  if (ticks(Now) < Until)
    return false;
  const unsigned Failures = m_Failures.load(std::memory_order_relaxed);
  if (!m_ExcludedUntil.compare_exchange_strong(
          Until, ticks(Now + exclusion(Failures)), std::memory_order_relaxed))
    return false;
  m_Probing.store(true, std::memory_order_relaxed);
  return true;
}

bool TargetHealth::wantsProbe(BootTime Now) const {
  const int64_t Until = m_ExcludedUntil.load(std::memory_order_relaxed);
  return Until != 0 && ticks(Now) >= Until;
}

bool TargetHealth::excluded() const {
  return m_ExcludedUntil.load(std::memory_order_relaxed) != 0;
}

std::shared_ptr<TargetHealth> HealthBook::health(const std::string &Target) {
  std::lock_guard Lock(m_Mutex);
  auto &Slot = m_Health[Target];
  if (!Slot)
    Slot = std::make_shared<TargetHealth>(m_Settings);
  return Slot;
}

template <typename Predicate>
std::vector<std::string> HealthBook::targets(Predicate IsWanted) const {
  std::lock_guard Lock(m_Mutex);
  std::vector<std::string> Targets;
  for (const auto &[Target, Health] : m_Health)
    if (IsWanted(*Health))
      Targets.push_back(Target);
  return Targets;
}

std::vector<std::string> HealthBook::excluded() const {
  return targets([](const TargetHealth &Each) { return Each.excluded(); });
}

std::vector<std::string> HealthBook::wantingProbes(BootTime Now) const {
  return targets(
      [Now](const TargetHealth &Each) { return Each.wantsProbe(Now); });
}

void HealthBook::forget(const std::string &Target) {
  std::lock_guard Lock(m_Mutex);
  m_Health.erase(Target);
}

} // namespace figlift::retry
