//===- StageDirector.cpp - Assigns stages to engines ----------------------===//
//
// In this order: demand of the fleet, plan, lease, order.
//
//===----------------------------------------------------------------------===//

#include "StageDirector.h"

#include "EngineCall.h"

#include "LibLog/Log.h"
#include "platform/EngineCalls.h"

#include <spdlog/fmt/fmt.h>

namespace figlift::gateway {

using std::chrono::milliseconds;

namespace {

/// A holder stops giving orders this much longer than the platform's bound
/// before a successor may begin, to cover orders in transit.
constexpr milliseconds OrderTransit{500};
/// An engine is listed in its new stage about this much later than announced.
constexpr milliseconds ListingDelay{700};

/// If an engine is not listed in its new stage this long after the expected
/// time, the change has failed.
constexpr milliseconds ListingSlack{2000};

/// Each gateway before this one adds 2.5 s.
constexpr std::chrono::seconds MaximumTurnDelay{20};
/// Time between two plans, for each engine of the service.
constexpr std::chrono::microseconds PlanTimePerEngine{500};

lease::LeaseOptions leaseOptions(const Context &Shared, uint64_t RandomSuffix) {
  const auto Bound =
      std::chrono::duration_cast<milliseconds>(Shared.Settings.Orders.Lease);
  lease::LeaseOptions Options;
  // A restarted process must not mistake its predecessor's row for its own: an
  // order of the predecessor may be in transit.
  Options.Self =
      fmt::format("{}#{:x}", Shared.Settings.Process.Id, RandomSuffix);
  // A successor acquires the lease when the row has not changed for Duration;
  // the holder gives its last order Margin before that.
  Options.Margin = Bound + OrderTransit;
  Options.Duration = Options.Margin * 2;
  return Options;
}

} // namespace

StageDirector::StageDirector(Context &Shared, platform::Table &Leases)
    : m_Shared(Shared), m_Leases(Leases) {}

StageDirector::ServiceState &
StageDirector::stateOf(const std::string &Service) {
  ServiceState &State =
      m_Services.try_emplace(Service, m_Shared.Settings.Fleet.Starts)
          .first->second;
  if (!State.Lease) {
    lease::LeaseKeeper::Observer Observer{
        [Service](uint64_t Epoch) {
          log::logEvent(log::Level::Info, "lease-taken",
                        {{"service", Service}, {"epoch", Epoch}});
        },
        [Service](uint64_t Epoch) {
          log::logEvent(log::Level::Info, "lease-lost",
                        {{"service", Service}, {"epoch", Epoch}});
        }};
    // The store calls back on the event loop already.
    State.Lease = std::make_shared<lease::LeaseKeeper>(
        m_Leases, [](const std::function<void()> &Run) { Run(); },
        "stages/" + Service, leaseOptions(m_Shared, m_Shared.Random()),
        std::move(Observer));
  }
  return State;
}

void StageDirector::tick(BootTime Now) {
  if (!m_Shared.Configuration || m_Shared.Stop.begun())
    return;
  updateSwitching(Now);
  const auto Configuration = m_Shared.Configuration;
  for (const dispatch::Service &Service : Configuration->Services)
    if (Service.Engine)
      updateService(Service, Now);
}

void StageDirector::updateSwitching(BootTime Now) {
  const auto Extended = m_Shared.Switching.update(
      [this](const std::string &Id) { return m_Shared.Targets.find(Id); }, Now);
  for (const std::string &Id : Extended) {
    const dispatch::EngineSwitch &Change = m_Shared.Switching.all().at(Id);
    m_Shared.Loads.excludeUntil(Id, Change.Until);
    stateOf(Change.Service)
        .Planner.recordAcceptance(Id, Change.Until + ListingSlack);
  }
}

void StageDirector::storeRestored(uint64_t Era) {
  for (auto &[Service, State] : m_Services)
    if (State.Lease)
      State.Lease->storeRestored(Era);
}

dispatch::EngineDemand StageDirector::fleetDemand(const std::string &Service,
                                                  BootTime Now) const {
  dispatch::EngineDemand Sum;
  if (const auto Meter = m_Shared.Demands.find(Service);
      Meter != m_Shared.Demands.end())
    Sum += Meter->second.demand(Now);
  for (const auto &[Peer, Demands] : m_Shared.PeerDemands)
    for (const dispatch::ServiceDemand &Entry : Demands)
      if (Entry.Service == Service)
        Sum += Entry.Demand;
  return Sum;
}

void StageDirector::updateService(const dispatch::Service &Service,
                                  BootTime Now) {
  // A gateway whose turn to give orders comes later than this does not plan.
  if (m_Shared.OrderTurnDelay > MaximumTurnDelay)
    return;
  ServiceState &State = stateOf(Service.Name);
  // A plan visits each engine.
  if (Now < State.NextPlan)
    return;
  const OpenTargets::List &Engines = m_Shared.Open.all(Service.Name);
  State.NextPlan = Now + PlanTimePerEngine * Engines.size();
  dispatch::EngineSpeeds Speeds = State.Speeds.estimate(
      Service.Name, Engines, m_Shared.Paces, m_Shared.ReadRatios,
      Service.ShortestEventGap, Service.Engine->Slots, Now);
  State.Demand.observe(fleetDemand(Service.Name, Now), Now);
  const dispatch::EngineDemand Demand = State.Demand.demand();
  const auto Change = State.Planner.plan(
      Engines, Demand, State.Demand.uncertainty(Now), m_Shared.Loads, Now,
      m_Shared.Feedback.backoffs().activeIds(Now), Speeds);
  const bool RemovesShortStage =
      Change && Change->DesiredStage == dispatch::Stage::Decode &&
      m_Shared.PrefillSpills[Service.Name].isPrefillShort(Now);
  // Without a current server list the view may be outdated.
  if (!Change || RemovesShortStage || !State.Demand.established(Now) ||
      m_Shared.Targets.storeUnavailable()) {
    State.WantedSince.reset();
    return;
  }
  if (!State.WantedSince)
    State.WantedSince = Now;
  // Gateways with larger ids give those with smaller ids time to act: all of
  // them plan the same change, and one order is enough. Without this delay
  // each of them would write to the row of the lease.
  if (Now - *State.WantedSince < m_Shared.OrderTurnDelay)
    return;
  State.Lease->tick();
  if (const auto Epoch = State.Lease->epoch()) {
    log::logEvent(log::Level::Info, "stage-planned",
                  {{"target", Change->TargetId},
                   {"wanted", Change->DesiredStage == dispatch::Stage::Prefill
                                  ? "prefill"
                                  : "decode"},
                   {"readDemand", Demand.Prefill},
                   {"runDemand", Demand.Decode},
                   {"engines", Engines.size()},
                   {"speedsDiffer", Speeds.ShouldExchange},
                   {"intervalMs", Speeds.Intervals.contains(Change->TargetId)
                                      ? Speeds.Intervals.at(Change->TargetId)
                                      : dispatch::Milliseconds(0)},
                   {"epoch", *Epoch}});
    startChange(Service.Name, *Change, Now);
  }
}

void StageDirector::startChange(const std::string &Service,
                                const dispatch::StageChange &Change,
                                BootTime Now) {
  const bool Called = callEngine(
      m_Shared, Change.TargetId, "GET", slopes::ReportTarget, "",
      [this, Service, Change](unsigned Status, const std::string &Body) {
        reportReceived(Service, Change, Status, Body);
      });
  if (Called)
    stateOf(Service).Planner.recordOrder(Change, Now);
}

void StageDirector::reportReceived(const std::string &Service,
                                   const dispatch::StageChange &Change,
                                   unsigned Status, const std::string &Body) {
  const BootTime Now = BootClock::now();
  dispatch::StagePlanner &Planner = stateOf(Service).Planner;
  const auto Report = slopes::decodeEngineReport(Body);
  if (Status != 200 || !Report) {
    log::logEvent(log::Level::Warning, "engine-report-missing",
                  {{"target", Change.TargetId}, {"status", Status}});
    return Planner.recordFailure(Change.TargetId, Now);
  }
  // The engine has restarted since the plan, so its order count starts anew; do
  // not send.
  if (Report.value().Started != Change.Start)
    return Planner.recordFailure(Change.TargetId, Now);
  if (Report.value().CurrentStage == Change.DesiredStage)
    return Planner.clearOrder(Change.TargetId);
  if (Report.value().Busy)
    return Planner.recordFailure(Change.TargetId, Now);
  sendOrder(Service, Change, Report.value().AcceptedOrders);
}

void StageDirector::sendOrder(const std::string &Service,
                              const dispatch::StageChange &Change,
                              uint64_t AcceptedBefore) {
  ServiceState &State = stateOf(Service);
  const BootTime Now = BootClock::now();
  const dispatch::Service *ConfiguredService =
      m_Shared.Configuration->service(Service);
  // Checked right before the order is sent: the process may have stalled since
  // the plan, and another gateway may hold the lease now.
  const auto Epoch = State.Lease->epoch();
  if (!Epoch || !ConfiguredService || !ConfiguredService->Engine)
    return State.Planner.clearOrder(Change.TargetId);
  const std::string Body = slopes::encodeStageOrder(
      {Change.DesiredStage, m_Shared.Settings.Process.Id, *Epoch,
       AcceptedBefore});
  const bool Called =
      callEngine(m_Shared, Change.TargetId, "POST", slopes::OrderTarget, Body,
                 [this, Service, Change](unsigned Status, const std::string &) {
                   replyReceived(Service, Change, Status);
                 });
  if (!Called)
    return State.Planner.clearOrder(Change.TargetId);
  if (State.Planner.isExchange(Change.TargetId))
    m_Shared.Streams.recordExchangeOrder(Service);
  // As soon as it has the order, the engine rejects work that has not started.
  const BootTime BackAt =
      Now + ConfiguredService->Engine->StageSwitch + ListingDelay;
  m_Shared.Switching.recordOrder(Change.TargetId, Service, Change.DesiredStage,
                                 BackAt);
  m_Shared.Loads.excludeUntil(Change.TargetId, BackAt);
}

void StageDirector::replyReceived(const std::string &Service,
                                  const dispatch::StageChange &Change,
                                  unsigned Status) {
  const BootTime Now = BootClock::now();
  dispatch::StagePlanner &Planner = stateOf(Service).Planner;
  log::logEvent(log::Level::Info, "order-answered",
                {{"target", Change.TargetId}, {"status", Status}});
  // Without a response the order may be carried out later, so it stays
  // pending.
  if (Status == 0)
    return;
  const auto Reply = slopes::decodeOrderReply(Status);
  if (Reply == slopes::OrderReply::Accepted) {
    m_Shared.Switching.recordAcceptance(Change.TargetId);
    const BootTime BackAt =
        m_Shared.Switching.until(Change.TargetId).value_or(Now);
    // The server list may lag, so the order counts as carried out for some
    // time longer.
    return Planner.recordAcceptance(Change.TargetId, BackAt + ListingSlack);
  }
  m_Shared.Switching.remove(Change.TargetId);
  if (Reply == slopes::OrderReply::AlreadyInStage)
    Planner.clearOrder(Change.TargetId);
  else
    Planner.recordFailure(Change.TargetId, Now);
}

} // namespace figlift::gateway
