//===- TestOrderMachine.cpp - Rules of the order machine ------------------===//
//
// Replies to planners, and the complete path of one order.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderMachine.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::order;
using namespace std::chrono_literals;

TEST_GROUP(OrderMachine) {
  OrderMachine Machine;
  BootTime Now{1000s};
  EngineState Engine{"boot", "mixed", {}, "", EngineOrderState::None};
  Order Prefill{"a", 7, SetRole{"prefill"}};

  std::vector<Action> step(const Event &Event) {
    return Machine.step(Event, Now);
  }
  IntentRowRead rows(uint64_t Epoch, std::optional<IntentRow> Row = {}) {
    return {4, std::move(Row), 9, Epoch, true};
  }
  /// Completes recovery with the lease at \p Epoch.
  void recover(uint64_t Epoch) {
    Machine.start(Now);
    step(rows(Epoch));
    step(EngineStateRead{Engine});
    Now += 3s;
    step(Tick{});
    step(EngineStateRead{Engine});
    step(CommitSucceeded{});
    step(EngineStateRead{Engine});
    CHECK_TRUE(Machine.state() == State::Idle);
  }
  void expectReply(const std::vector<Action> &Actions, ResultCode Code,
                   OrderProgress Progress) {
    const auto *Sent = std::get_if<Reply>(&Actions.at(0));
    CHECK_TRUE(Sent != nullptr);
    CHECK_TRUE(Sent->Code == Code && Sent->Progress == Progress);
  }
};

TEST(OrderMachine, CompletesAnOrderAndRepliesToItsRetryFromTheHistory) {
  recover(7);
  CHECK_TRUE(step(OrderReceived{1, Prefill}).at(0) == Action(ReadIntentRow{}));
  CHECK_TRUE(step(rows(7)).at(0) ==
             Action(CommitIntentRow{4, 9, {Prefill, IntentState::Intended}}));
  auto Accepted = step(CommitSucceeded{});
  expectReply(Accepted, ResultCode::Success, OrderProgress::Running);
  CHECK_TRUE(Accepted.at(1) == Action(CloseAdmission{}));
  CHECK_TRUE(step(Drained{}).at(0) == Action(SendToEngine{Prefill, 5}));
  step(EngineAccepted{});
  Engine.Role = "prefill";
  Engine.OrderId = "a";
  Engine.OrderState = EngineOrderState::Done;
  auto Ended = step(EngineStateRead{Engine});
  CHECK_TRUE(Ended.at(0) == Action(OpenAdmission{}));
  CHECK_TRUE(Ended.at(1) == Action(ReportEngineState{Engine, true}));
  step(CommitSucceeded{});
  expectReply(step(OrderReceived{2, Prefill}), ResultCode::Success,
              OrderProgress::Done);
}

TEST(OrderMachine, RefusesAnEpochBelowTheRows) {
  // Guards against an order of a planner that was paused and lost its lease:
  // the agent must compare the epoch with the lease row and not only with the
  // epochs that it has received.
  recover(7);
  step(OrderReceived{1, Prefill});
  expectReply(step(rows(8)), ResultCode::StaleEpoch, OrderProgress::Refused);
  CHECK_TRUE(Machine.state() == State::Idle);
  UNSIGNED_LONGS_EQUAL(8, Machine.highestEpoch());
}

TEST(OrderMachine, RefusesAnotherOrderWhileOneIsInProgress) {
  recover(7);
  step(OrderReceived{1, Prefill});
  expectReply(step(OrderReceived{2, {"b", 7, SetRole{"decode"}}}),
              ResultCode::OrderConflict, OrderProgress::Refused);
}

TEST(OrderMachine, RefusesWhileTheStoreIsDownAndChangesNothing) {
  recover(7);
  step(OrderReceived{1, Prefill});
  expectReply(step(IntentRowReadFailed{}), ResultCode::StoreUnavailable,
              OrderProgress::Refused);
  CHECK_TRUE(Machine.admissionOpen());
}

TEST(OrderMachine, ServesRequestsDuringAnOutageBeforeTheRowsAreKnown) {
  // Guards against an agent that rejects all requests after a restart during a
  // store outage: only orders need the rows.
  Machine.start(Now);
  step(IntentRowReadFailed{});
  step(EngineStateRead{Engine});
  CHECK_FALSE(Machine.admissionOpen());
  Now += 3s;
  step(Tick{});
  step(EngineStateRead{Engine});
  CHECK_TRUE(Machine.admissionOpen());
  expectReply(step(OrderReceived{1, Prefill}), ResultCode::NotReady,
              OrderProgress::Refused);
}

TEST(OrderMachine, ReportsAnEngineThatRestartedInAnotherState) {
  // Guards against a planner that relies on a role that the engine has lost:
  // the order is done, the engine crashes and restarts as mixed.
  Machine.start(Now);
  Engine.Role = "prefill";
  step(rows(7, IntentRow{Prefill, IntentState::Done}));
  Now += 3s;
  step(EngineStateRead{Engine});
  step(Tick{});
  step(EngineStateRead{Engine});
  step(CommitSucceeded{});
  step(EngineStateRead{Engine});
  Engine.Boot = "next";
  Engine.Role = "mixed";
  CHECK_TRUE(step(EngineStateRead{Engine}).at(0) ==
             Action(ReportEngineState{Engine, false}));
}

TEST(OrderMachine, ADrainTimeoutAbandonsTheOrder) {
  // Guards against requests that are aborted by a role change when the drain
  // exceeds its timeout.
  recover(7);
  step(OrderReceived{1, Prefill});
  step(rows(7));
  step(CommitSucceeded{});
  auto Actions = step(DrainTimedOut{});
  CHECK_TRUE(Actions.at(0) == Action(OpenAdmission{}));
  CHECK_TRUE(Actions.back() ==
             Action(CommitCompletionRow{5, {Prefill, IntentState::Abandoned}}));
  // The engine never received the order, so the reply must not be a failure of
  // the engine, which the planner would attribute to the model.
  step(CommitSucceeded{});
  expectReply(step(OrderReceived{2, Prefill}), ResultCode::DeadlineExceeded,
              OrderProgress::Failed);
}
