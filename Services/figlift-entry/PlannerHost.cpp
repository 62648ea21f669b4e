//===- PlannerHost.cpp - Runs the planner in an entry ---------------------===//
//
// See PlannerHost.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/PlannerHost.h"

#include "figlift-entry/PolicyByName.h"

#include "LibLog/Log.h"
#include "LibMetrics/ProcessMetrics.h"

#include <set>

namespace figlift::entry {

using planner::ShardId;
using timeline::SubjectType;
namespace kinds = timeline::kinds;

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
/// How long a stop waits for leases to be released. Unreleased leases expire.
constexpr std::chrono::milliseconds ReleaseTimeout{1000};

std::string describe(const plan::Change &Change) {
  struct Describer {
    std::string operator()(const plan::SetRole &Change) const {
      return "set role " + std::string(roleName(Change.NewRole));
    }
    std::string operator()(const plan::LoadModel &Change) const {
      return "load " + Change.Model.toString();
    }
    std::string operator()(const plan::UnloadModel &Change) const {
      return "unload " + Change.Model.toString();
    }
  };
  return std::visit(Describer{}, Change);
}

} // namespace

PlannerHost::PlannerHost(Dependencies Services)
    : m_Dependencies(Services), m_View(Services.Settings, Services.Targets,
                                       Services.Events, Services.Metrics),
      m_Service(Services.Settings.Process.Id, shardParts()),
      m_RoleChanges(Services.Metrics.counter("planner_role_changes_total",
                                             "Role changes ordered.")) {}

planner::ShardPlannerDependencies PlannerHost::shardParts() {
  lease::LeaseOptions Lease;
  // Unique for each start: a process that restarts with the same id must not
  // mistake the lease of its predecessor for its own.
  Lease.Self =
      m_Dependencies.Settings.Process.Id + "/" + m_Dependencies.Ids.nextText();
  Lease.Duration = m_Dependencies.Settings.Lease.Duration;
  Lease.Margin = m_Dependencies.Settings.Lease.Margin;
  plan::PlannerSettings PlannerOptions;
  PlannerOptions.Roles = rolePolicyByName(m_Dependencies.Settings.Policy.Roles);
  return {m_Dependencies.Store,
          m_View,
          m_View,
          m_Dependencies.Ids,
          [this](std::function<void()> Task) {
            m_Dependencies.Control.post(std::move(Task));
          },
          observer(),
          Lease,
          PlannerOptions};
}

planner::PlannerObserver PlannerHost::observer() {
  planner::PlannerObserver Observer;
  Observer.LeaseGained = [this](const ShardId &Shard, uint64_t Epoch) {
    m_Dependencies.Events.record(kinds::LeaseAcquired,
                                 {SubjectType::Shard, Shard.toString()},
                                 {{"epoch", Epoch}});
    log::logEvent(log::Level::Info, "lease-acquired",
                  {{"shard", Shard.toString()}, {"epoch", Epoch}});
  };
  Observer.LeaseLost = [this](const ShardId &Shard, uint64_t Epoch) {
    m_Dependencies.Events.record(kinds::LeaseLost,
                                 {SubjectType::Shard, Shard.toString()},
                                 {{"epoch", Epoch}});
    log::logEvent(log::Level::Info, "lease-lost",
                  {{"shard", Shard.toString()}, {"epoch", Epoch}});
  };
  Observer.OrderGiven = [this](const ShardId &, const plan::TargetOrder &Order,
                               const std::string &Id) {
    if (std::holds_alternative<plan::SetRole>(Order.RequestedChange))
      m_RoleChanges.add();
    m_Dependencies.Events.record(kinds::OrderSent,
                                 {SubjectType::Target, Order.Target},
                                 {{"order", Id},
                                  {"change", describe(Order.RequestedChange)},
                                  {"reason", Order.Reason}});
    log::logEvent(log::Level::Info, "order-given",
                  {{"target", Order.Target},
                   {"order", Id},
                   {"change", describe(Order.RequestedChange)},
                   {"reason", Order.Reason}});
  };
  Observer.OrderEnded = [](const ShardId &, const std::string &Target,
                           ResultCode Code) {
    log::logEvent(log::Level::Info, "order-ended",
                  {{"target", Target}, {"code", static_cast<int>(Code)}});
  };
  Observer.SlicesGranted = [this](const ShardId &Shard, size_t Slices) {
    m_Dependencies.Events.record(kinds::SlicesTaken,
                                 {SubjectType::Shard, Shard.toString()},
                                 {{"granted", Slices}});
    log::logEvent(log::Level::Info, "slices-granted",
                  {{"shard", Shard.toString()}, {"slices", Slices}});
  };
  return Observer;
}

void PlannerHost::start() {
  m_Dependencies.Control.post([this] { tick(); });
}

void PlannerHost::tick() {
  {
    const metrics::ControlCpuScope Cost(
        metrics::controlCpuSeconds(m_Dependencies.Metrics));
    m_Service.tick();
    std::set<std::string> Planned;
    for (const ShardId &Shard : m_Service.heldShards())
      Planned.insert(Shard.BackEnd);
    m_Dependencies.Targets.setPlanned(std::move(Planned));
  }
  const bool IsFinished =
      m_Service.stopped() || BootClock::now() >= m_StopUntil;
  if (m_OnStopped && IsFinished)
    return std::exchange(m_OnStopped, nullptr)();
  m_Dependencies.Control.after(TickInterval, [this] { tick(); });
}

void PlannerHost::stop(std::function<void()> Done) {
  m_Dependencies.Control.post([this, Done = std::move(Done)] {
    m_StopUntil = BootClock::now() + ReleaseTimeout;
    m_OnStopped = Done;
    m_Service.stop();
  });
}

} // namespace figlift::entry
