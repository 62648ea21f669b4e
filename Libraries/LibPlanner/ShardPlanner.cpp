//===- ShardPlanner.cpp - Plans for one shard -----------------------------===//
//
// An order whose answer is lost is sent again with the same id until its end is
// known: the agent answers a repeated id from its book and never runs it twice.
//
//===----------------------------------------------------------------------===//

#include "LibPlanner/ShardPlanner.h"

using namespace figlift;
using namespace figlift::planner;
using namespace std::chrono_literals;

namespace {

constexpr auto PlanInterval = 500ms;
constexpr auto SliceInterval = 1000ms;
constexpr auto OrderRetryInterval = 500ms;

/// Fills the order of a wire message.
struct OrderWriter {
  wire::OrderRequest &Into;

  void operator()(const plan::SetRole &What) const {
    Into.mutable_set_role()->set_role(std::string(roleName(What.NewRole)));
  }
  void operator()(const plan::LoadModel &What) const {
    fill(*Into.mutable_load_model(), What.Model);
  }
  void operator()(const plan::UnloadModel &What) const {
    fill(*Into.mutable_unload_model(), What.Model);
  }

  template <typename Message>
  static void fill(Message &Into, const plan::ModelVersion &Model) {
    Into.set_model(Model.Name);
    Into.set_version(Model.Version);
    Into.set_adapter(Model.Adapter);
  }
};

} // namespace

std::shared_ptr<ShardPlanner> ShardPlanner::create(ShardId Shard,
                                                   ShardParts Parts) {
  std::shared_ptr<ShardPlanner> Made(
      new ShardPlanner(std::move(Shard), std::move(Parts)));
  // The keeper outlives no planner: both live on the planner's thread, and the
  // planner owns it.
  ShardPlanner *Self = Made.get();
  lease::LeaseKeeper::Observer Told{
      [Self](uint64_t Epoch) { Self->gained(Epoch); },
      [Self](uint64_t Epoch) { Self->lost(Epoch); }};
  const ShardParts &Kept = Made->m_Parts;
  Made->m_Lease = std::make_shared<lease::LeaseKeeper>(
      Kept.Store, Kept.Run, "lease/" + Made->m_Shard.toString(), Kept.Lease,
      std::move(Told));
  return Made;
}

ShardPlanner::ShardPlanner(ShardId Shard, ShardParts Parts)
    : m_Shard(std::move(Shard)), m_Parts(std::move(Parts)) {
  m_Slices = std::make_shared<SliceAssigner>(
      m_Parts.Store, m_Parts.Run, m_Shard,
      [this](size_t Slices) { m_Parts.Told.SlicesGranted(m_Shard, Slices); });
}

void ShardPlanner::gained(uint64_t Epoch) {
  m_Planner.emplace(m_Parts.Planning);
  m_Demand = plan::DemandEstimator();
  m_Parts.Told.LeaseGained(m_Shard, Epoch);
}

void ShardPlanner::lost(uint64_t Epoch) {
  m_Planner.reset();
  m_Pending.clear();
  m_Parts.Told.LeaseLost(m_Shard, Epoch);
}

void ShardPlanner::tick() {
  m_Lease->tick();
  if (!m_Planner || !m_Lease->epoch())
    return;
  const BootTime Now = BootClock::now();
  sendPending(Now);
  if (Now >= m_NextPlan) {
    m_NextPlan = Now + PlanInterval;
    planOnce(Now);
  }
  // Only calls of plain services have homes; the rows of engines would be read
  // for nothing.
  const bool HasHomes =
      m_Parts.View.specification(m_Shard).Type == record::BackEndType::Service;
  if (HasHomes && Now >= m_NextSlices && m_Parts.View.listKnown()) {
    m_NextSlices = Now + SliceInterval;
    m_Slices->run(m_Parts.View.targets(m_Shard));
  }
}

void ShardPlanner::planOnce(BootTime Now) {
  plan::Snapshot Seen;
  Seen.Spec = m_Parts.View.specification(m_Shard);
  if (Seen.Spec.Type != record::BackEndType::Model)
    return;
  for (ShardTarget &Each : m_Parts.View.targets(m_Shard)) {
    m_Demand.observe(Each.Engine.Id, Each.OfferedPrefillTokens,
                     Each.OfferedDecodeTokens, Now);
    Seen.Targets.push_back(std::move(Each.Engine));
  }
  observeRefused(Now);
  Seen.Offered = m_Demand.demand(Now);
  for (const plan::TargetOrder &Each : m_Planner->step(plan::Tick{Seen}, Now))
    give(Each);
}

/// An overloaded fleet refuses at the entries, so that agents' counts stand
/// still just when demand is highest: without this the planner would take the
/// engines to be well used. The balancer spreads callers over the entries, so
/// what this one refuses stands for each of them.
void ShardPlanner::observeRefused(BootTime Now) {
  const RefusedTotals Here = m_Parts.View.refusedHere(m_Shard);
  const uint64_t Entries = m_Parts.View.entries().size();
  m_RefusedByAll.PrefillTokens +=
      (Here.PrefillTokens - m_RefusedHere.PrefillTokens) * Entries;
  m_RefusedByAll.DecodeTokens +=
      (Here.DecodeTokens - m_RefusedHere.DecodeTokens) * Entries;
  m_RefusedHere = Here;
  m_Demand.observe("entries", m_RefusedByAll.PrefillTokens,
                   m_RefusedByAll.DecodeTokens, Now);
}

void ShardPlanner::give(const plan::TargetOrder &Order) {
  Pending New;
  New.Order.set_order_id(m_Parts.Ids.nextText());
  New.Order.set_shard(m_Shard.toString());
  New.Order.set_target(Order.Target);
  std::visit(OrderWriter{New.Order}, Order.RequestedChange);
  m_Parts.Told.OrderGiven(m_Shard, Order, New.Order.order_id());
  m_Pending[Order.Target] = std::move(New);
  sendPending(BootClock::now());
}

void ShardPlanner::sendPending(BootTime Now) {
  for (auto &[Target, Each] : m_Pending) {
    if (Each.Asked || Now < Each.NextTry)
      continue;
    // Asked again before every sending: the lease may have run out since the
    // plan was made.
    std::optional<uint64_t> Epoch = m_Lease->epoch();
    if (!Epoch)
      return;
    Each.Order.set_epoch(*Epoch);
    Each.Asked = true;
    m_Parts.Orders.send(
        Target, Each.Order,
        [Weak = weak_from_this(), Run = m_Parts.Run, Target = Target,
         Id = Each.Order.order_id()](const Result<wire::OrderReply> &Reply) {
          Run([Weak, Target, Id, Reply] {
            if (auto Self = Weak.lock())
              Self->answered(Target, Id, Reply);
          });
        });
  }
}

void ShardPlanner::answered(const std::string &Target,
                            const std::string &OrderId,
                            const Result<wire::OrderReply> &Reply) {
  auto Found = m_Pending.find(Target);
  if (Found == m_Pending.end() || Found->second.Order.order_id() != OrderId)
    return;
  Found->second.Asked = false;
  Found->second.NextTry = BootClock::now() + OrderRetryInterval;
  if (!Reply || Reply.value().state() == "running")
    return;
  ResultCode Code = resultCodeFromNumber(static_cast<int>(Reply.value().code()))
                        .value_or(ResultCode::Internal);
  // The reply's code says that the question was answered; the order's own end
  // is in its state.
  if (Reply.value().state() == "failed" && Code == ResultCode::Success)
    Code = ResultCode::OrderRejectedByTarget;
  // The store may be away for long; the engine was not ordered anything, and
  // the plan is made anew once the order could be written.
  ended(Target, {Target, Code, std::nullopt});
}

void ShardPlanner::ended(const std::string &Target,
                         const plan::OrderEnded &How) {
  m_Pending.erase(Target);
  m_Parts.Told.OrderEnded(m_Shard, Target, How.Code);
  if (!m_Planner)
    return;
  for (const plan::TargetOrder &Each : m_Planner->step(How, BootClock::now()))
    give(Each);
}
