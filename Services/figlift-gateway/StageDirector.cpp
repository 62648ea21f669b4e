//===- StageDirector.cpp - Gives engines their stages ---------------------===//
//
// Demand of the fleet, the plan, the lease, the order, in this order.
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
/// before a successor may begin, for orders that are on their way.
constexpr milliseconds OrderTravel{500};
/// An engine takes about this much longer than announced to be listed in its
/// new stage.
constexpr milliseconds ListingDelay{700};

/// An engine that is not listed in its new stage this long after it should be
/// back has not changed.
constexpr milliseconds ListingSlack{2000};

lease::LeaseOptions leaseOptions(const Context &Shared, uint64_t Draw) {
  const auto Bound =
      std::chrono::duration_cast<milliseconds>(Shared.Settings.Orders.Lease);
  lease::LeaseOptions Options;
  // A process that was restarted must not take its predecessor's row for its
  // own: an order of the predecessor may be on its way.
  Options.Self = fmt::format("{}#{:x}", Shared.Settings.Process.Id, Draw);
  // A successor takes the lease when the row has stood still for Duration; the
  // holder gives its last order Margin before that.
  Options.Margin = Bound + OrderTravel;
  Options.Duration = Options.Margin * 2;
  return Options;
}

} // namespace

StageDirector::StageDirector(Context &Shared, platform::Table &Leases)
    : m_Shared(Shared), m_Leases(Leases) {}

StageDirector::Shard &StageDirector::shardOf(const std::string &Service) {
  Shard &Of = m_Shards.try_emplace(Service, m_Shared.Settings.Fleet.Starts)
                  .first->second;
  if (!Of.Lease) {
    lease::LeaseKeeper::Observer Told{
        [Service](uint64_t Epoch) {
          log::logEvent(log::Level::Info, "lease-taken",
                        {{"service", Service}, {"epoch", Epoch}});
        },
        [Service](uint64_t Epoch) {
          log::logEvent(log::Level::Info, "lease-lost",
                        {{"service", Service}, {"epoch", Epoch}});
        }};
    // The store's callbacks run on the loop already.
    Of.Lease = std::make_shared<lease::LeaseKeeper>(
        m_Leases, [](const std::function<void()> &Run) { Run(); },
        "stages/" + Service, leaseOptions(m_Shared, m_Shared.Random()),
        std::move(Told));
  }
  return Of;
}

void StageDirector::tick(BootTime Now) {
  if (!m_Shared.Configuration || m_Shared.Stop.begun())
    return;
  std::erase_if(m_Shared.Away,
                [&](const auto &Each) { return Each.second <= Now; });
  const auto Configuration = m_Shared.Configuration;
  for (const dispatch::Service &Each : Configuration->Services)
    if (Each.Engine)
      tickService(Each, Now);
}

void StageDirector::storeCameBack(uint64_t Era) {
  for (auto &[Service, Of] : m_Shards)
    if (Of.Lease)
      Of.Lease->storeCameBack(Era);
}

dispatch::EngineDemand StageDirector::demandOn(const std::string &Service,
                                               BootTime Now) const {
  dispatch::EngineDemand Sum;
  if (const auto Own = m_Shared.Demands.find(Service);
      Own != m_Shared.Demands.end())
    Sum += Own->second.demand(Now);
  for (const auto &[Peer, Demands] : m_Shared.PeerDemands)
    for (const dispatch::ServiceDemand &Each : Demands)
      if (Each.Service == Service)
        Sum += Each.Demand;
  return Sum;
}

void StageDirector::tickService(const dispatch::Service &Which, BootTime Now) {
  Shard &Of = shardOf(Which.Name);
  const auto Engines = m_Shared.openTargets(Which.Name);
  Of.Demand.observe(demandOn(Which.Name, Now), Now);
  const dispatch::EngineDemand Demand = Of.Demand.demand();
  const auto Change = Of.Planner.plan(
      Engines, Demand, Of.Demand.uncertainty(Now), m_Shared.Loads, Now);
  // Without the store's list the view may be old.
  if (!Change || !Of.Demand.established(Now) ||
      m_Shared.Targets.storeUnavailable()) {
    Of.WantedSince.reset();
    return;
  }
  if (!Of.WantedSince)
    Of.WantedSince = Now;
  // Gateways later in the order of names leave the first ones time to act: all
  // of them want the same, and one is enough. Without this each would write
  // to the lease's row.
  if (Now - *Of.WantedSince < m_Shared.OrderTurnDelay)
    return;
  Of.Lease->tick();
  if (const auto Epoch = Of.Lease->epoch()) {
    log::logEvent(log::Level::Info, "stage-planned",
                  {{"target", Change->TargetId},
                   {"wanted", Change->DesiredStage == dispatch::Stage::Prefill
                                  ? "prefill"
                                  : "decode"},
                   {"readDemand", Demand.Prefill},
                   {"runDemand", Demand.Decode},
                   {"engines", Engines.size()},
                   {"epoch", *Epoch}});
    begin(Which.Name, *Change, Now);
  }
}

void StageDirector::begin(const std::string &Service,
                          const dispatch::StageChange &What, BootTime Now) {
  const bool Called = callEngine(
      m_Shared, What.TargetId, "GET", slopes::ReportTarget, "",
      [this, Service, What](unsigned Status, const std::string &Body) {
        reported(Service, What, Status, Body);
      });
  if (Called)
    shardOf(Service).Planner.recordOrder(What, Now);
}

void StageDirector::reported(const std::string &Service,
                             const dispatch::StageChange &What, unsigned Status,
                             const std::string &Body) {
  const BootTime Now = BootClock::now();
  dispatch::StagePlanner &Planner = shardOf(Service).Planner;
  const auto Report = slopes::decodeEngineReport(Body);
  if (Status != 200 || !Report) {
    log::logEvent(log::Level::Warning, "engine-report-missing",
                  {{"target", What.TargetId}, {"status", Status}});
    return Planner.recordRefusal(What.TargetId, Now);
  }
  // It has started again: the number of its orders is not that of the engine
  // for which the change was planned.
  if (Report.value().Started != What.Start)
    return Planner.recordRefusal(What.TargetId, Now);
  if (Report.value().Does == What.DesiredStage)
    return Planner.clearOrder(What.TargetId);
  if (Report.value().Busy)
    return Planner.recordRefusal(What.TargetId, Now);
  order(Service, What, Report.value().AcceptedOrders);
}

void StageDirector::order(const std::string &Service,
                          const dispatch::StageChange &What,
                          uint64_t AcceptedBefore) {
  Shard &Of = shardOf(Service);
  const BootTime Now = BootClock::now();
  const dispatch::Service *Which = m_Shared.Configuration->service(Service);
  // Asked right before the order leaves: the process may have stood still
  // since it was planned, and another holds the lease by now.
  const auto Epoch = Of.Lease->epoch();
  if (!Epoch || !Which || !Which->Engine)
    return Of.Planner.clearOrder(What.TargetId);
  const std::string Body =
      slopes::encodeStageOrder({What.DesiredStage, m_Shared.Settings.Process.Id,
                                *Epoch, AcceptedBefore});
  const bool Called =
      callEngine(m_Shared, What.TargetId, "POST", slopes::OrderTarget, Body,
                 [this, Service, What](unsigned Status, const std::string &) {
                   replied(Service, What, Status);
                 });
  if (!Called)
    return Of.Planner.clearOrder(What.TargetId);
  // From the first moment on the engine takes no work that has not begun.
  const BootTime BackAt = Now + Which->Engine->StageSwitch + ListingDelay;
  m_Shared.Away[What.TargetId] = BackAt;
  m_Shared.Loads.excludeUntil(What.TargetId, BackAt);
}

void StageDirector::replied(const std::string &Service,
                            const dispatch::StageChange &What,
                            unsigned Status) {
  const BootTime Now = BootClock::now();
  dispatch::StagePlanner &Planner = shardOf(Service).Planner;
  log::logEvent(log::Level::Info, "order-answered",
                {{"target", What.TargetId}, {"status", Status}});
  // Without an answer it may be carried out later: it stays pending.
  if (Status == 0)
    return;
  const auto Reply = slopes::decodeOrderReply(Status);
  if (Reply == slopes::OrderReply::Accepted) {
    const auto Away = m_Shared.Away.find(What.TargetId);
    const BootTime BackAt = Away == m_Shared.Away.end() ? Now : Away->second;
    // The list may be late: the order counts as carried out some time longer.
    return Planner.recordAcceptance(What.TargetId, BackAt + ListingSlack);
  }
  m_Shared.Away.erase(What.TargetId);
  if (Reply == slopes::OrderReply::HoldsAlready)
    Planner.clearOrder(What.TargetId);
  else
    Planner.recordRefusal(What.TargetId, Now);
}

} // namespace figlift::gateway
