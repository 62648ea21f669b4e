//===- Planning.cpp - The planner in an entry -----------------------------===//
//
// See Planning.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Planning.h"

#include "figlift-entry/Arms.h"

#include "LibLog/Log.h"
#include "LibMetrics/ProcessMetrics.h"

#include <set>

namespace figlift::entry {

using planner::ShardId;
using timeline::SubjectType;
namespace kinds = timeline::kinds;

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
/// How long a stop waits for leases to be given back; they end by themselves.
constexpr std::chrono::milliseconds ReleaseLimit{1000};

std::string describe(const plan::Change &What) {
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
  return std::visit(Describer{}, What);
}

} // namespace

Planning::Planning(Parts Of)
    : m_Parts(Of), m_View(Of.Settings, Of.Known, Of.Events, Of.Metrics),
      m_Service(Of.Settings.Process.Id, shardParts()),
      m_RoleChanges(Of.Metrics.counter("planner_role_changes_total",
                                       "Role changes that were ordered.")) {}

planner::ShardParts Planning::shardParts() {
  lease::LeaseOptions Lease;
  // Unique for each start: a process that comes back under the same id must
  // not take its predecessor's lease for its own.
  Lease.Self = m_Parts.Settings.Process.Id + "/" + m_Parts.Ids.nextText();
  Lease.Duration = m_Parts.Settings.Lease.Duration;
  Lease.Margin = m_Parts.Settings.Lease.Margin;
  plan::PlannerSettings Planning;
  Planning.Roles = roleArm(m_Parts.Settings.Policy.Roles);
  return {m_Parts.Store,
          m_View,
          m_View,
          m_Parts.Ids,
          [this](std::function<void()> Task) {
            m_Parts.Control.post(std::move(Task));
          },
          observer(),
          Lease,
          Planning};
}

planner::PlannerObserver Planning::observer() {
  planner::PlannerObserver Told;
  Told.LeaseGained = [this](const ShardId &Shard, uint64_t Epoch) {
    m_Parts.Events.record(kinds::LeaseAcquired,
                          {SubjectType::Shard, Shard.toString()},
                          {{"epoch", Epoch}});
    log::logEvent(log::Level::Info, "lease-acquired",
                  {{"shard", Shard.toString()}, {"epoch", Epoch}});
  };
  Told.LeaseLost = [this](const ShardId &Shard, uint64_t Epoch) {
    m_Parts.Events.record(kinds::LeaseLost,
                          {SubjectType::Shard, Shard.toString()},
                          {{"epoch", Epoch}});
    log::logEvent(log::Level::Info, "lease-lost",
                  {{"shard", Shard.toString()}, {"epoch", Epoch}});
  };
  Told.OrderGiven = [this](const ShardId &, const plan::TargetOrder &Order,
                           const std::string &Id) {
    if (std::holds_alternative<plan::SetRole>(Order.RequestedChange))
      m_RoleChanges.add();
    m_Parts.Events.record(kinds::OrderSent, {SubjectType::Target, Order.Target},
                          {{"order", Id},
                           {"change", describe(Order.RequestedChange)},
                           {"reason", Order.Reason}});
    log::logEvent(log::Level::Info, "order-given",
                  {{"target", Order.Target},
                   {"order", Id},
                   {"change", describe(Order.RequestedChange)},
                   {"reason", Order.Reason}});
  };
  Told.OrderEnded = [](const ShardId &, const std::string &Target,
                       ResultCode Code) {
    log::logEvent(log::Level::Info, "order-ended",
                  {{"target", Target}, {"code", static_cast<int>(Code)}});
  };
  Told.SlicesGranted = [this](const ShardId &Shard, size_t Slices) {
    m_Parts.Events.record(kinds::SlicesTaken,
                          {SubjectType::Shard, Shard.toString()},
                          {{"granted", Slices}});
    log::logEvent(log::Level::Info, "slices-granted",
                  {{"shard", Shard.toString()}, {"slices", Slices}});
  };
  return Told;
}

void Planning::start() {
  m_Parts.Control.post([this] { tick(); });
}

void Planning::tick() {
  {
    const metrics::ControlCpuScope Cost(
        metrics::controlCpuSeconds(m_Parts.Metrics));
    m_Service.tick();
    std::set<std::string> Planned;
    for (const ShardId &Each : m_Service.held())
      Planned.insert(Each.BackEnd);
    m_Parts.Known.setPlanned(std::move(Planned));
  }
  const bool IsOver = m_Service.ended() || BootClock::now() >= m_StopUntil;
  if (m_OnStopped && IsOver)
    return std::exchange(m_OnStopped, nullptr)();
  m_Parts.Control.after(TickInterval, [this] { tick(); });
}

void Planning::stop(std::function<void()> Done) {
  m_Parts.Control.post([this, Done = std::move(Done)] {
    m_StopUntil = BootClock::now() + ReleaseLimit;
    m_OnStopped = Done;
    m_Service.stop();
  });
}

} // namespace figlift::entry
