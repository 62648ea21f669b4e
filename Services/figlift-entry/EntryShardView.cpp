//===- EntryShardView.cpp - The planner's interface to the fleet ----------===//
//
// See EntryShardView.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/EntryShardView.h"

#include "figlift-entry/CallContext.h"
#include "figlift-entry/LoadMessage.h"

#include <atomic>

namespace figlift::entry {

using membership::AgentState;
using planner::HomeState;
using planner::ShardId;
using planner::ShardTarget;
using record::TargetIntent;

namespace {

/// Receives the single reply to an order.
class OrderListener final : public wire::StreamListener {
public:
  OrderListener(planner::OrderSender::Done OnReply, timeline::Timeline &Events)
      : m_OnReply(std::move(OnReply)), m_Events(Events) {}

  void onMessage(std::string_view Message) override {
    wire::OrderReply Reply;
    if (m_IsDone ||
        !Reply.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
      return;
    m_IsDone = true;
    m_Events.received(Reply.clock());
    m_OnReply(std::move(Reply));
  }

  void onEnd(wire::StreamEnd) override {
    if (std::exchange(m_IsDone, true))
      return;
    m_OnReply(failure(ResultCode::PeerUnreachable,
                      "the agent did not reply to the order"));
  }

private:
  const planner::OrderSender::Done m_OnReply;
  timeline::Timeline &m_Events;
  /// I/O thread of the connection only.
  bool m_IsDone = false;
};

HomeState homeState(const membership::TargetState &State,
                    const std::set<std::string> &ListedIds) {
  if (!ListedIds.contains(State.Listed.Id))
    return HomeState::Stopped;
  const bool Reported = State.Connected && State.Report;
  if (!Reported)
    // Retiring an unreachable target is an operator's confirmation that it has
    // stopped.
    return State.DesiredState == TargetIntent::Retire ? HomeState::Stopped
                                                      : HomeState::Unreachable;
  if (State.DesiredState != TargetIntent::Serve ||
      State.Listed.State != platform::VmState::Live)
    return HomeState::Draining;
  switch (State.Report->State) {
  case AgentState::Serving:
    return HomeState::Serving;
  case AgentState::Recovering:
    return HomeState::Unreachable;
  case AgentState::Draining:
  case AgentState::Drained:
    return HomeState::Draining;
  }
  return HomeState::Unreachable;
}

} // namespace

std::vector<ShardId> EntryShardView::shards() const {
  std::vector<ShardId> Shards;
  const config::SnapshotPointer &Configuration = m_Fleet.configuration();
  if (!Configuration)
    return Shards;
  for (const config::SnapshotRecord *Item : Configuration->list("backEnd"))
    if (Configuration->backEnd(Item->Stored.Name))
      Shards.push_back({Item->Stored.Name, m_Settings.Process.Region});
  return Shards;
}

record::BackEnd EntryShardView::specification(const ShardId &Shard) const {
  const record::BackEnd *BackEnd =
      m_Fleet.configuration()->backEnd(Shard.BackEnd);
  return BackEnd ? *BackEnd : record::BackEnd();
}

ShardTarget
EntryShardView::describe(const membership::TargetState &State) const {
  ShardTarget Target;
  plan::TargetState &Engine = Target.Engine;
  Engine.Id = State.Listed.Id;
  Target.Home = homeState(State, m_Fleet.listedIds());
  Engine.Live = Target.Home == HomeState::Serving;
  Engine.Accepting = State.acceptsWork();
  const Fleet::LastReport *Last = m_Fleet.lastReport(Engine.Id);
  if (!Last)
    return Target;
  const wire::Load &Load = Last->Message.load();
  Engine.CurrentRole = route::roleFromName(Load.role());
  Engine.OrderInProgress = !Last->Message.order_id().empty();
  for (const std::string &Name : Load.models())
    Engine.Models.push_back(plan::ModelVersion::parse(Name));
  Engine.Load = loadFromWire(Load);
  Engine.ReportedAt = Last->ArrivedAt;
  Target.OfferedPrefillTokens = Load.offered_prefill_tokens();
  Target.OfferedDecodeTokens = Load.offered_decode_tokens();
  return Target;
}

std::vector<ShardTarget> EntryShardView::targets(const ShardId &Shard) const {
  std::vector<ShardTarget> Targets;
  std::set<std::string> Described;
  for (const auto &[Id, State] : m_Fleet.membership().targets()) {
    Described.insert(Id);
    if (State.Listed.BackEnd == Shard.BackEnd)
      Targets.push_back(describe(State));
  }
  // Homes in other regions are listed but not connected. If they were missing
  // from the view, their slices would be treated as slices of a dead home.
  for (const std::string &Id : m_Fleet.listedIds())
    if (!Described.contains(Id)) {
      ShardTarget Unconnected;
      Unconnected.Engine.Id = Id;
      Unconnected.Home = HomeState::Unreachable;
      Targets.push_back(std::move(Unconnected));
    }
  return Targets;
}

planner::RejectedTotals
EntryShardView::rejectedTotals(const ShardId &Shard) const {
  const RefusedWork Totals(m_Metrics, Shard.BackEnd);
  return {static_cast<uint64_t>(Totals.PrefillTokens.value()),
          static_cast<uint64_t>(Totals.DecodeTokens.value())};
}

std::vector<std::string> EntryShardView::entries() const {
  std::vector<std::string> Entries{m_Settings.Process.Id};
  for (const platform::Vm &Peer : m_Fleet.membership().peers())
    Entries.push_back(Peer.Id);
  return Entries;
}

bool EntryShardView::listKnown() const {
  return m_Fleet.membership().listKnown();
}

void EntryShardView::send(const std::string &Target, wire::OrderRequest Order,
                          Done OnReply) {
  const std::shared_ptr<wire::Channel> Channel = m_Fleet.channelTo(Target);
  if (!Channel)
    return OnReply(failure(ResultCode::PeerUnreachable, "not connected"));
  if (const config::SnapshotPointer &Configuration = m_Fleet.configuration())
    Order.set_revision(Configuration->revision());
  Order.set_clock(m_Events.clockToSend());
  Channel->open(wire::Method::Order, Order.SerializeAsString(),
                std::make_shared<OrderListener>(std::move(OnReply), m_Events));
}

} // namespace figlift::entry
