//===- OrderSimulation.h - One agent, one engine, two planners --*- C++ -*-===//
//
// Bounded simulation for the exploration of OrderMachine. The agent may be
// killed and the engine may crash at every step, copies of unacknowledged
// orders reach the engine late, commits are lost or delayed until after their
// sender has exited, and the lease changes hands at any time.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Exploration/Explorer.h"
#include "LibOrder/OrderMachine.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figlift::test {

using namespace order;

struct OrderLimits {
  int LastTime = 4;
  int Kills = 1;
  int Crashes = 1;
  int LostResponses = 1;
  int StoreFailures = 0;
  int LostSends = 1;
  int EngineFailures = 0;
  int DrainTimeouts = 0;
  int Takeovers = 1;
  int DeliveriesPerOrder = 1;
  /// The engine rejects a fencing token below the highest that it has received.
  bool EngineHonoursFence = false;
  /// The table checks the lease row's version when an intent is written.
  bool LeaseCondition = true;
  std::chrono::milliseconds SettleTime{1000};
};

using StateEventPairs = std::set<std::pair<State, EventKind>>;

class OrderSimulation {
public:
  explicit OrderSimulation(const OrderLimits &Limits,
                           StateEventPairs *VisitedPairs = nullptr)
      : m_Limits(Limits), m_Machine(options(Limits)),
        m_VisitedPairs(VisitedPairs) {
    perform(m_Machine.start(now()));
  }

  template <typename Sink> void describe(Sink &&Put) const {
    m_Machine.describe(Put);
    Put(m_Time, m_Row.has_value(), m_RowVersion, m_LeaseEpoch, m_Violation);
    if (m_Row)
      Put(m_Row->Intent.Id, m_Row->State);
    Put(m_KillCount, m_CrashCount, m_LostResponseCount, m_StoreFailureCount,
        m_LostSendCount, m_DrainTimeoutCount);
    Put(m_EngineFailureCount, m_DeliveryCounts[0], m_DeliveryCounts[1],
        m_AdmissionOpen, m_Draining);
    Put(m_Engine.Boot, m_Engine.Role, m_Engine.OrderId, m_Engine.OrderState);
    Put(m_HighestFence, m_StoreCall.has_value(), m_EngineCall.has_value());
    if (m_StoreCall)
      Put(m_StoreCall->index());
    if (m_StoreResponse)
      Put('a', m_StoreResponse->index());
    if (m_EngineCall)
      Put('e', m_EngineCall->index());
    if (m_EngineResponse)
      Put('f', m_EngineResponse->index());
    if (m_EngineResponse)
      if (const auto *Read = std::get_if<EngineStateRead>(&*m_EngineResponse))
        Put(Read->State.Role, Read->State.OrderId, Read->State.OrderState,
            Read->State.Boot);
    if (m_StoreResponse)
      if (const auto *Read = std::get_if<IntentRowRead>(&*m_StoreResponse))
        Put(Read->Version, Read->LeaseVersion);
    for (const Action &Commit : m_LateCommits)
      Put('l', Commit.index(), version(Commit));
    for (const LateOrder &Late : m_LateOrders)
      Put('c', Late.Sent.Payload.Id, Late.Sent.Fence, Late.Until);
  }

  std::string violation() const { return m_Violation; }

  template <typename Visitor> void successors(Visitor &&Visit) const {
    auto AddStep = [&](const std::string &Label, auto &&Apply) {
      OrderSimulation Next = *this;
      Apply(Next);
      Visit("t=" + std::to_string(m_Time) + " " +
                std::string(name(m_Machine.state())) + ": " + Label,
            std::move(Next));
    };
    if (m_Time < m_Limits.LastTime)
      AddStep("time passes", [](OrderSimulation &Next) { Next.passTime(); });
    AddStep("tick", [](OrderSimulation &Next) { Next.feed(Tick{}); });
    plannerSteps(AddStep);
    storeSteps(AddStep);
    engineSteps(AddStep);
    faultSteps(AddStep);
  }

  /// Continues without further faults. The order in the row must complete, and
  /// the engine must reach the requested state or be reported as differing from
  /// it. Returns the violation, or an empty string.
  std::string checkSettlesWithoutFaults() const {
    OrderSimulation Copy = *this;
    for (int I = 0; I != 60; ++I) {
      bool Busy = Copy.faultFreeStep();
      bool Ended = !Copy.m_Row || Copy.m_Row->State != IntentState::Intended;
      if (!Busy && Copy.m_Machine.state() == State::Idle && Ended)
        return Copy.finalCheck();
      if (!Busy) {
        Copy.passTime();
        Copy.feed(Tick{});
      }
    }
    return "the order never completes";
  }

private:
  struct LateOrder {
    SendToEngine Sent;
    int Until;
  };

  static OrderOptions options(const OrderLimits &Limits) {
    return {Limits.SettleTime, std::chrono::milliseconds(1000), 3};
  }
  static uint64_t version(const Action &Commit) {
    if (const auto *Intent = std::get_if<CommitIntentRow>(&Commit))
      return Intent->ExpectedVersion;
    return std::get<CommitCompletionRow>(Commit).ExpectedVersion;
  }
  static Order orderOf(size_t Planner) {
    return {Planner ? "b" : "a", Planner + 1,
            SetRole{Planner ? "decode" : "prefill"}};
  }

  BootTime now() const { return BootTime(std::chrono::seconds(100 + m_Time)); }

  /// A copy that was not delivered before its time limit never arrives.
  void passTime() {
    ++m_Time;
    std::erase_if(m_LateOrders,
                  [&](const LateOrder &Late) { return Late.Until < m_Time; });
  }

  void feed(const Event &Event) {
    if (m_VisitedPairs)
      m_VisitedPairs->insert({m_Machine.state(), kindOf(Event)});
    perform(m_Machine.step(Event, now()));
  }

  void perform(std::vector<Action> Actions) {
    for (Action &Next : Actions)
      std::visit([&](auto &Alternative) { on(Alternative); }, Next);
  }
  template <typename StoreCall> void callStore(const StoreCall &Call) {
    if (m_StoreCall || m_StoreResponse)
      m_Violation = "two store calls at once";
    m_StoreCall = Call;
  }
  template <typename EngineCall> void callEngine(const EngineCall &Call) {
    if (m_EngineCall || m_EngineResponse)
      m_Violation = "two engine calls at once";
    m_EngineCall = Call;
  }
  void on(const ReadIntentRow &Call) { callStore(Call); }
  void on(const CommitIntentRow &Call) { callStore(Call); }
  void on(const CommitCompletionRow &Call) { callStore(Call); }
  void on(const ReadEngineState &Call) { callEngine(Call); }
  void on(const SendToEngine &Call) {
    if (m_AdmissionOpen || m_Draining)
      m_Violation = "an order is sent while requests are running";
    callEngine(Call);
  }
  void on(const CloseAdmission &) {
    m_AdmissionOpen = false;
    m_Draining = true;
  }
  void on(const OpenAdmission &) { m_AdmissionOpen = true; }
  void on(const Reply &) {}
  void on(const ReportEngineState &Report) {
    m_ReportedRole = Report.State.Role;
    m_ReportedMatch = Report.MatchesIntent;
  }

  bool apply(const Action &Commit) {
    if (version(Commit) != m_RowVersion)
      return false;
    if (const auto *Intent = std::get_if<CommitIntentRow>(&Commit)) {
      if (m_Limits.LeaseCondition &&
          Intent->ExpectedLeaseVersion != m_LeaseEpoch)
        return false;
      if (Intent->Row.Intent.Epoch != m_LeaseEpoch)
        m_Violation = "an order takes effect after its planner lost the lease";
      m_Row = Intent->Row;
    } else {
      m_Row = std::get<CommitCompletionRow>(Commit).Row;
    }
    ++m_RowVersion;
    return true;
  }

  /// The engine receives an order, over the current or over an old connection.
  Event arrive(const SendToEngine &Sent) {
    if (m_Engine.OrderState == EngineOrderState::Running)
      return EngineBusy{};
    if (m_Limits.EngineHonoursFence && Sent.Fence < m_HighestFence)
      return EngineRejected{};
    bool Current = m_Row && m_Row->Intent == Sent.Payload &&
                   m_Row->State == IntentState::Intended;
    if (!Current)
      m_Violation = "the engine accepts order " + Sent.Payload.Id +
                    ", which is not the order in force";
    if (m_AdmissionOpen)
      m_Violation = "the engine accepts an order while requests are admitted";
    m_HighestFence = std::max(m_HighestFence, Sent.Fence);
    m_Engine.OrderId = Sent.Payload.Id;
    m_Engine.OrderState = EngineOrderState::Running;
    return EngineAccepted{};
  }

  void finishOrder(bool Succeeds) {
    m_Engine.OrderState =
        Succeeds ? EngineOrderState::Done : EngineOrderState::Failed;
    if (Succeeds)
      m_Engine.Role = m_Engine.OrderId == "a" ? "prefill" : "decode";
  }

  template <typename TryStep> void plannerSteps(TryStep &&AddStep) const;

  void executeStoreCall() {
    const Action Call = *m_StoreCall;
    m_StoreCall.reset();
    if (std::holds_alternative<ReadIntentRow>(Call))
      m_StoreResponse =
          IntentRowRead{m_RowVersion, m_Row, m_LeaseEpoch, m_LeaseEpoch, true};
    else if (apply(Call))
      m_StoreResponse = CommitSucceeded{};
    else
      m_StoreResponse = CommitConflicted{};
  }

  template <typename TryStep> void storeSteps(TryStep &&AddStep) const;

  void deliverStoreResponse() {
    Event Response = *m_StoreResponse;
    m_StoreResponse.reset();
    feed(Response);
  }
  void deliverEngineResponse() {
    Event Response = *m_EngineResponse;
    m_EngineResponse.reset();
    feed(Response);
  }
  void executeEngineCall() {
    const Action Call = *m_EngineCall;
    m_EngineCall.reset();
    if (const auto *Send = std::get_if<SendToEngine>(&Call))
      m_EngineResponse = arrive(*Send);
    else
      m_EngineResponse.emplace(EngineStateRead{m_Engine});
  }
  void loseSend() {
    m_LateOrders.push_back({std::get<SendToEngine>(*m_EngineCall), m_Time});
    m_EngineCall.reset();
  }

  template <typename TryStep> void engineSteps(TryStep &&AddStep) const;

  template <typename TryStep> void faultSteps(TryStep &&AddStep) const;

  void crash() {
    ++m_CrashCount;
    m_Engine = EngineState{"boot" + std::to_string(m_CrashCount),
                           "mixed",
                           {},
                           "",
                           EngineOrderState::None};
    m_HighestFence = 0;
    // Connections to the crashed process are closed.
    m_LateOrders.clear();
    if (!m_EngineCall)
      return;
    bool Send = std::holds_alternative<SendToEngine>(*m_EngineCall);
    m_EngineCall.reset();
    if (Send)
      m_EngineResponse.emplace(EngineNotReached{});
    else
      m_EngineResponse.emplace(EngineUnreachable{});
  }

  /// Calls that the killed agent had sent stay in flight; its requests end.
  void kill() {
    ++m_KillCount;
    if (m_StoreCall && !std::holds_alternative<ReadIntentRow>(*m_StoreCall))
      m_LateCommits.push_back(*m_StoreCall);
    if (m_EngineCall && std::holds_alternative<SendToEngine>(*m_EngineCall))
      loseSend();
    m_StoreCall.reset();
    m_StoreResponse.reset();
    m_EngineCall.reset();
    m_EngineResponse.reset();
    m_AdmissionOpen = false;
    m_Draining = false;
    m_Machine = OrderMachine(options(m_Limits));
    perform(m_Machine.start(now()));
  }

  /// One step without faults; false if nothing is pending.
  bool faultFreeStep() {
    if (m_StoreResponse)
      return deliverStoreResponse(), true;
    if (m_EngineResponse)
      return deliverEngineResponse(), true;
    if (m_StoreCall)
      return executeStoreCall(), true;
    if (m_EngineCall)
      return executeEngineCall(), true;
    if (m_Draining) {
      m_Draining = false;
      return feed(Drained{}), true;
    }
    if (m_Engine.OrderState == EngineOrderState::Running)
      return finishOrder(true), true;
    return false;
  }

  std::string finalCheck() {
    if (!m_Violation.empty())
      return m_Violation;
    if (!m_AdmissionOpen)
      return "requests are rejected forever";
    if (!m_Row || m_Row->Intent.Id.empty())
      return {};
    // The agent also reads the engine's state periodically for its load report.
    feed(EngineStateRead{m_Engine});
    bool Matches = m_Row->State == IntentState::Done &&
                   satisfies(m_Engine, m_Row->Intent.RequestedChange);
    bool Reported = m_ReportedRole == m_Engine.Role && !m_ReportedMatch;
    if (Matches || Reported)
      return {};
    return "the engine differs from the intent and was not reported";
  }

  OrderLimits m_Limits;
  OrderMachine m_Machine;
  int m_Time = 0;
  std::optional<IntentRow> m_Row;
  uint64_t m_RowVersion = 0;
  /// The lease row's epoch, and also its version because no planner renews the
  /// lease in this simulation.
  uint64_t m_LeaseEpoch = 1;
  EngineState m_Engine{"boot0", "mixed", {}, "", EngineOrderState::None};
  uint64_t m_HighestFence = 0;
  std::optional<Action> m_StoreCall;
  std::optional<Event> m_StoreResponse;
  std::optional<Action> m_EngineCall;
  std::optional<Event> m_EngineResponse;
  std::vector<Action> m_LateCommits;
  std::vector<LateOrder> m_LateOrders;
  bool m_AdmissionOpen = false;
  bool m_Draining = false;
  std::string m_ReportedRole;
  bool m_ReportedMatch = true;
  int m_DeliveryCounts[2] = {0, 0};
  int m_KillCount = 0;
  int m_CrashCount = 0;
  int m_LostResponseCount = 0;
  int m_StoreFailureCount = 0;
  int m_LostSendCount = 0;
  int m_EngineFailureCount = 0;
  int m_DrainTimeoutCount = 0;
  std::string m_Violation;
  /// Collects the pairs of state and event of all steps; may be null.
  StateEventPairs *m_VisitedPairs;
};

} // namespace figlift::test

#include "LibOrder/OrderSimulationSteps.h"
