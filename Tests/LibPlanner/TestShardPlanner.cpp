//===- TestShardPlanner.cpp - Leases, slices and orders of a shard --------===//
//
// Runs the planner against a table in memory and fake agents. The state
// machines inside have test suites of their own.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/FakeTable.h"
#include "LibPlanner/PlannerService.h"
#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::planner;
using namespace std::chrono_literals;
using figlift::test::Fault;
using figlift::test::waitUntil;

namespace {

const ShardId BookingShard{"booking-core", "blue-ridge"};
const ShardId DeskShard{"lm-desk", "blue-ridge"};

struct FakeView : ShardView {
  std::vector<ShardId> Shards{BookingShard};
  std::vector<ShardTarget> Targets;
  std::vector<std::string> Entries{"entry-1"};
  record::BackEnd Spec;
  RejectedTotals Rejected;

  std::vector<ShardId> shards() const override { return Shards; }
  record::BackEnd specification(const ShardId &) const override { return Spec; }
  std::vector<ShardTarget> targets(const ShardId &) const override {
    return Targets;
  }
  RejectedTotals rejectedTotals(const ShardId &) const override {
    return Rejected;
  }
  std::vector<std::string> entries() const override { return Entries; }
  bool listKnown() const override { return true; }

  void add(const std::string &Id, HomeState State) {
    ShardTarget Added;
    Added.Engine.Id = Id;
    Added.Home = State;
    Targets.push_back(Added);
  }
};

struct FakeSender : OrderSender {
  std::vector<wire::OrderRequest> Sent;
  std::deque<Result<wire::OrderReply>> Replies;

  void send(const std::string &, wire::OrderRequest Order,
            Done OnReply) override {
    Sent.push_back(Order);
    if (Replies.empty())
      return OnReply(failure(ResultCode::PeerUnreachable, "reply lost"));
    Result<wire::OrderReply> Reply = Replies.front();
    Replies.pop_front();
    OnReply(Reply);
  }
};

wire::OrderReply reply(const std::string &State) {
  wire::OrderReply Reply;
  Reply.set_state(State);
  return Reply;
}

} // namespace

TEST_GROUP(ShardPlanner) {
  test::FakeTable m_Table;
  FakeView m_View;
  FakeSender m_Sender;
  UuidGenerator m_Ids{1};
  std::vector<std::function<void()>> m_Posted;
  std::vector<std::string> m_Events;

  ShardPlannerDependencies dependencies(const std::string &Self) {
    PlannerObserver Observer;
    Observer.LeaseGained = [this](const ShardId &, uint64_t Epoch) {
      m_Events.push_back("gained " + std::to_string(Epoch));
    };
    Observer.LeaseLost = [this](const ShardId &, uint64_t Epoch) {
      m_Events.push_back("lost " + std::to_string(Epoch));
    };
    Observer.OrderGiven = [](const auto &...) {};
    Observer.OrderEnded = [this](const ShardId &, const std::string &,
                                 ResultCode Code) {
      m_Events.push_back("ended " + std::to_string(static_cast<int>(Code)));
    };
    Observer.SlicesGranted = [](const auto &...) {};
    lease::LeaseOptions Lease{Self, 300ms, 100ms};
    return {m_Table,
            m_View,
            m_Sender,
            m_Ids,
            [this](std::function<void()> Task) {
              m_Posted.push_back(std::move(Task));
            },
            Observer,
            Lease,
            {}};
  }

  void runOnce(PlannerService & Service) {
    Service.tick();
    std::vector<std::function<void()>> Tasks;
    Tasks.swap(m_Posted);
    for (auto &Task : Tasks)
      Task();
  }

  template <typename Condition>
  bool runUntil(PlannerService & Service, Condition IsMet) {
    return waitUntil(5s, [&] {
      runOnce(Service);
      return IsMet();
    });
  }

  idempotency::GrantTable grants() {
    return idempotency::readGrantRow(
               m_Table.rowOf(idempotency::grantRowKey("booking-core")).Value)
        .value();
  }

  size_t sliceCountOf(const std::string &Home) {
    size_t Count = 0;
    for (const idempotency::Grant &Grant : grants())
      Count += Grant.Home == Home;
    return Count;
  }
};

TEST(ShardPlanner, GrantsEverySliceOnce) {
  m_View.Spec.Type = record::BackEndType::Service;
  m_View.add("core-1", HomeState::Serving);
  m_View.add("core-2", HomeState::Serving);
  PlannerService Service("entry-1", dependencies("entry-1#1"));
  CHECK_TRUE(runUntil(Service, [&] {
    return sliceCountOf("core-1") + sliceCountOf("core-2") ==
           idempotency::SliceCount;
  }));
  CHECK_TRUE(sliceCountOf("core-1") > 0);
  CHECK_TRUE(sliceCountOf("core-2") > 0);
}

// Guards against executing a call at two homes: a home that is unreachable from
// the entries may still be executing calls, so its slices must not be granted
// to another home until it has stopped.
TEST(ShardPlanner, KeepsTheSlicesOfAnUnreachableHome) {
  m_View.Spec.Type = record::BackEndType::Service;
  m_View.add("core-1", HomeState::Serving);
  PlannerService Service("entry-1", dependencies("entry-1#1"));
  CHECK_TRUE(runUntil(Service, [&] {
    return sliceCountOf("core-1") == idempotency::SliceCount;
  }));
  m_View.Targets[0].Home = HomeState::Unreachable;
  m_View.add("core-2", HomeState::Serving);
  auto End = std::chrono::steady_clock::now() + 1500ms;
  CHECK_TRUE(runUntil(Service,
                      [&] { return std::chrono::steady_clock::now() > End; }));
  CHECK_EQUAL(idempotency::SliceCount, sliceCountOf("core-1"));

  m_View.Targets[0].Home = HomeState::Stopped;
  CHECK_TRUE(runUntil(Service, [&] {
    return sliceCountOf("core-2") == idempotency::SliceCount;
  }));
  CHECK_EQUAL(2, grants()[0].Epoch);
}

TEST(ShardPlanner, ReleasesTheLeaseWhenItStops) {
  PlannerService First("entry-1", dependencies("entry-1#1"));
  CHECK_TRUE(runUntil(First, [&] { return First.heldShards().size() == 1; }));
  First.stop();
  CHECK_TRUE(runUntil(First, [&] { return First.stopped(); }));
  m_View.Entries = {"entry-2"};
  PlannerService Second("entry-2", dependencies("entry-2#1"));
  CHECK_TRUE(runUntil(Second, [&] { return Second.heldShards().size() == 1; }));
  STRCMP_EQUAL("gained 2", m_Events.back().c_str());
}

// Guards against an engine that executes a change twice or never: an order is
// executed and its reply is lost. A lost reply must not be treated as a
// rejection, after which the change would be planned again under a new id.
TEST(ShardPlanner, RetriesAnOrderWithoutAReplyUnderTheSameId) {
  m_View.Shards = {DeskShard};
  m_View.Spec.Models = {{"desk", "2", {}}};
  m_View.Spec.Roles.Mixed = 1;
  for (const char *Id : {"desk-1", "desk-2", "desk-3"}) {
    m_View.add(Id, HomeState::Serving);
    plan::TargetState &Engine = m_View.Targets.back().Engine;
    Engine.Live = Engine.Accepting = true;
    Engine.Models = {{"desk", "1", ""}};
    Engine.ReportedAt = BootClock::now() + 1h;
  }
  m_Sender.Replies = {failure(ResultCode::PeerUnreachable, "reply lost"),
                      reply("running"), reply("done")};
  PlannerService Service("entry-1", dependencies("entry-1#1"));
  CHECK_TRUE(runUntil(Service, [&] {
    return !m_Events.empty() && m_Events.back() == "ended 0";
  }));
  CHECK_EQUAL(3, m_Sender.Sent.size());
  for (const wire::OrderRequest &Item : m_Sender.Sent) {
    STRCMP_EQUAL(m_Sender.Sent[0].order_id().c_str(), Item.order_id().c_str());
    CHECK_EQUAL(1, Item.epoch());
  }
}

// Guards against ordering a model version that no engine can load at engine
// after engine: the load fails and the agent replies with state "failed" and
// code Success, so the planner must check the state as well as the code.
TEST(ShardPlanner, DistinguishesAFailedOrderFromADoneOne) {
  m_View.Shards = {DeskShard};
  m_View.Spec.Models = {{"desk", "2", {}}};
  for (const char *Id : {"desk-1", "desk-2"}) {
    m_View.add(Id, HomeState::Serving);
    plan::TargetState &Engine = m_View.Targets.back().Engine;
    Engine.Live = Engine.Accepting = true;
    Engine.Models = {{"desk", "1", ""}};
    Engine.ReportedAt = BootClock::now() + 1h;
  }
  m_Sender.Replies = {reply("running"), reply("failed")};
  PlannerService Service("entry-1", dependencies("entry-1#1"));
  auto Ended = [&] { return m_Events.size() > 1; };
  CHECK_TRUE(runUntil(Service, Ended));
  STRCMP_EQUAL("ended 504", m_Events.back().c_str());
}

// Guards against orders from a process that has lost its lease: during a store
// outage the lease expires while an order is due for a retry. The lease must be
// checked when the order is sent, not only when it is planned.
TEST(ShardPlanner, SendsNothingAfterTheLeaseHasExpired) {
  m_View.Shards = {DeskShard};
  m_View.Spec.Models = {{"desk", "2", {}}};
  for (const char *Id : {"desk-1", "desk-2"}) {
    m_View.add(Id, HomeState::Serving);
    plan::TargetState &Engine = m_View.Targets.back().Engine;
    Engine.Live = Engine.Accepting = true;
    Engine.Models = {{"desk", "1", ""}};
    Engine.ReportedAt = BootClock::now() + 1h;
  }
  PlannerService Service("entry-1", dependencies("entry-1#1"));
  CHECK_TRUE(runUntil(Service, [&] { return !m_Sender.Sent.empty(); }));
  m_Table.setDown(true);
  CHECK_TRUE(runUntil(Service, [&] { return m_Events.back() == "lost 1"; }));
  size_t SentBefore = m_Sender.Sent.size();
  auto End = std::chrono::steady_clock::now() + 1200ms;
  runUntil(Service, [&] { return std::chrono::steady_clock::now() > End; });
  CHECK_EQUAL(SentBefore, m_Sender.Sent.size());
}

// Guards against an overloaded fleet that keeps the wrong split of roles: the
// entries reject all requests with long outputs, so that agents' counters do
// not show the demand.
TEST(ShardPlanner, CountsRejectionsOfEntriesAsDemand) {
  m_View.Shards = {DeskShard};
  m_View.Entries = {"entry-1", "entry-2"};
  for (const char *Id : {"desk-1", "desk-2", "desk-3"}) {
    m_View.add(Id, HomeState::Serving);
    plan::TargetState &Engine = m_View.Targets.back().Engine;
    Engine.Live = Engine.Accepting = true;
    Engine.CurrentRole = plan::Role::Prefill;
    Engine.ReportedAt = BootClock::now() + 1h;
  }
  m_View.Targets.back().Engine.CurrentRole = plan::Role::Decode;
  PlannerService Service("entry-1", dependencies("entry-1#1"));
  CHECK_TRUE(runUntil(Service, [&] {
    m_View.Rejected.PrefillTokens += 100;
    m_View.Rejected.DecodeTokens += 1000;
    return !m_Sender.Sent.empty();
  }));
  CHECK_TRUE(m_Sender.Sent[0].has_set_role());
}

TEST(ShardPlanner, OnlyAFewEntriesAreCandidatesForAShard) {
  std::vector<std::string> Entries;
  for (int Index = 0; Index < 50; ++Index)
    Entries.push_back("entry-" + std::to_string(Index));
  size_t Candidates = 0;
  for (const std::string &Item : Entries)
    Candidates += isCandidate(BookingShard, Item, Entries);
  CHECK_EQUAL(CandidatesPerShard, Candidates);
}
