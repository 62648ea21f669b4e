//===- ShardPlanner.cpp - Planner of one shard ----------------------------===//
//
// An order whose reply is lost is retried with the same id until its outcome is
// known. The agent replies to a known id from its history and never executes
// the order twice.
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

/// Writes the requested change into a wire message.
struct OrderWriter {
  wire::OrderRequest &Request;

  void operator()(const plan::SetRole &Change) const {
    Request.mutable_set_role()->set_role(std::string(roleName(Change.NewRole)));
  }
  void operator()(const plan::LoadModel &Change) const {
    fill(*Request.mutable_load_model(), Change.Model);
  }
  void operator()(const plan::UnloadModel &Change) const {
    fill(*Request.mutable_unload_model(), Change.Model);
  }

  template <typename Message>
  static void fill(Message &Output, const plan::ModelVersion &Model) {
    Output.set_model(Model.Name);
    Output.set_version(Model.Version);
    Output.set_adapter(Model.Adapter);
  }
};

} // namespace

std::shared_ptr<ShardPlanner>
ShardPlanner::create(ShardId Shard, ShardPlannerDependencies Dependencies) {
  std::shared_ptr<ShardPlanner> Planner(
      new ShardPlanner(std::move(Shard), std::move(Dependencies)));
  // The pointer stays valid: the planner owns the lease keeper, and both are
  // used on the planner's thread only.
  ShardPlanner *Self = Planner.get();
  lease::LeaseKeeper::Observer Observer{
      [Self](uint64_t Epoch) { Self->leaseGained(Epoch); },
      [Self](uint64_t Epoch) { Self->leaseLost(Epoch); }};
  const ShardPlannerDependencies &Stored = Planner->m_Dependencies;
  Planner->m_Lease = std::make_shared<lease::LeaseKeeper>(
      Stored.Store, Stored.Run, "lease/" + Planner->m_Shard.toString(),
      Stored.Lease, std::move(Observer));
  return Planner;
}

ShardPlanner::ShardPlanner(ShardId Shard, ShardPlannerDependencies Dependencies)
    : m_Shard(std::move(Shard)), m_Dependencies(std::move(Dependencies)) {
  m_SliceAssigner = std::make_shared<SliceAssigner>(
      m_Dependencies.Store, m_Dependencies.Run, m_Shard, [this](size_t Slices) {
        m_Dependencies.Observer.SlicesGranted(m_Shard, Slices);
      });
}

void ShardPlanner::leaseGained(uint64_t Epoch) {
  m_Planner.emplace(m_Dependencies.Planning);
  m_Demand = plan::DemandEstimator();
  m_Dependencies.Observer.LeaseGained(m_Shard, Epoch);
}

void ShardPlanner::leaseLost(uint64_t Epoch) {
  m_Planner.reset();
  m_Pending.clear();
  m_Dependencies.Observer.LeaseLost(m_Shard, Epoch);
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
  // Only calls of services have homes, so the grants of model back ends need
  // not be read.
  const bool HasGrants = m_Dependencies.View.specification(m_Shard).Type ==
                         record::BackEndType::Service;
  if (HasGrants && Now >= m_NextSlices && m_Dependencies.View.listKnown()) {
    m_NextSlices = Now + SliceInterval;
    m_SliceAssigner->run(m_Dependencies.View.targets(m_Shard));
  }
}

void ShardPlanner::planOnce(BootTime Now) {
  plan::Snapshot Current;
  Current.Spec = m_Dependencies.View.specification(m_Shard);
  if (Current.Spec.Type != record::BackEndType::Model)
    return;
  for (ShardTarget &Target : m_Dependencies.View.targets(m_Shard)) {
    m_Demand.observe(Target.Engine.Id, Target.OfferedPrefillTokens,
                     Target.OfferedDecodeTokens, Now);
    Current.Targets.push_back(std::move(Target.Engine));
  }
  observeRejections(Now);
  Current.Offered = m_Demand.demand(Now);
  for (const plan::TargetOrder &Order :
       m_Planner->step(plan::Tick{Current}, Now))
    issue(Order);
}

/// Entries of an overloaded fleet reject requests before they reach an agent,
/// so that agents' counters do not rise while demand is highest, and the
/// planner would underestimate demand. The load balancer spreads callers evenly
/// over the entries, so this entry's rejections are multiplied by their number.
void ShardPlanner::observeRejections(BootTime Now) {
  const RejectedTotals Totals = m_Dependencies.View.rejectedTotals(m_Shard);
  const uint64_t Entries = m_Dependencies.View.entries().size();
  m_EstimatedRejected.PrefillTokens +=
      (Totals.PrefillTokens - m_LastRejectedHere.PrefillTokens) * Entries;
  m_EstimatedRejected.DecodeTokens +=
      (Totals.DecodeTokens - m_LastRejectedHere.DecodeTokens) * Entries;
  m_LastRejectedHere = Totals;
  m_Demand.observe("entries", m_EstimatedRejected.PrefillTokens,
                   m_EstimatedRejected.DecodeTokens, Now);
}

void ShardPlanner::issue(const plan::TargetOrder &Order) {
  PendingOrder New;
  New.Order.set_order_id(m_Dependencies.Ids.nextText());
  New.Order.set_shard(m_Shard.toString());
  New.Order.set_target(Order.Target);
  std::visit(OrderWriter{New.Order}, Order.RequestedChange);
  m_Dependencies.Observer.OrderGiven(m_Shard, Order, New.Order.order_id());
  m_Pending[Order.Target] = std::move(New);
  sendPending(BootClock::now());
}

void ShardPlanner::sendPending(BootTime Now) {
  for (auto &[Target, Pending] : m_Pending) {
    if (Pending.AwaitsReply || Now < Pending.NextSend)
      continue;
    // Checked before every send, because the lease may have expired since the
    // plan was made.
    std::optional<uint64_t> Epoch = m_Lease->epoch();
    if (!Epoch)
      return;
    Pending.Order.set_epoch(*Epoch);
    Pending.AwaitsReply = true;
    m_Dependencies.Orders.send(
        Target, Pending.Order,
        [Weak = weak_from_this(), Run = m_Dependencies.Run, Target = Target,
         Id = Pending.Order.order_id()](const Result<wire::OrderReply> &Reply) {
          Run([Weak, Target, Id, Reply] {
            if (auto Self = Weak.lock())
              Self->replyReceived(Target, Id, Reply);
          });
        });
  }
}

void ShardPlanner::replyReceived(const std::string &Target,
                                 const std::string &OrderId,
                                 const Result<wire::OrderReply> &Reply) {
  auto Pending = m_Pending.find(Target);
  if (Pending == m_Pending.end() || Pending->second.Order.order_id() != OrderId)
    return;
  Pending->second.AwaitsReply = false;
  Pending->second.NextSend = BootClock::now() + OrderRetryInterval;
  if (!Reply || Reply.value().state() == "running")
    return;
  ResultCode Code = resultCodeFromNumber(static_cast<int>(Reply.value().code()))
                        .value_or(ResultCode::Internal);
  // The reply's code is the result of the call; the outcome of the order is in
  // its state.
  if (Reply.value().state() == "failed" && Code == ResultCode::Success)
    Code = ResultCode::OrderRejectedByTarget;
  // An order that could not be written ends too: a store outage may last long,
  // the engine received nothing, and the planner plans again after the outage.
  orderEnded(Target, {Target, Code, std::nullopt});
}

void ShardPlanner::orderEnded(const std::string &Target,
                              const plan::OrderEnded &Outcome) {
  m_Pending.erase(Target);
  m_Dependencies.Observer.OrderEnded(m_Shard, Target, Outcome.Code);
  if (!m_Planner)
    return;
  for (const plan::TargetOrder &Order :
       m_Planner->step(Outcome, BootClock::now()))
    issue(Order);
}
