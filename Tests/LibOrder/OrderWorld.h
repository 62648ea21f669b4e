//===- OrderWorld.h - One agent, one engine, two planners -------*- C++ -*-===//
//
// Bounded world for the exploration of OrderMachine: the agent may be killed
// and the engine may crash at every step, copies of orders without an answer
// reach the engine late, commits are lost or delayed past the death of their
// sender, and the lease passes from one planner to the next at any time.
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

struct OrderBounds {
  int LastTime = 4;
  int Kills = 1;
  int Crashes = 1;
  int LostAnswers = 1;
  int StoreFailures = 0;
  int LostSends = 1;
  int EngineFailures = 0;
  int DrainTimeouts = 0;
  int Takeovers = 1;
  int DeliveriesEach = 1;
  /// The engine refuses a fence below the highest that it has seen.
  bool EngineHonoursFence = false;
  /// The table checks the lease row's version when an intent is written.
  bool LeaseCondition = true;
  std::chrono::milliseconds SettleTime{1000};
};

using Pairs = std::set<std::pair<State, EventKind>>;

class OrderWorld {
public:
  explicit OrderWorld(const OrderBounds &Bounds, Pairs *Met = nullptr)
      : m_Bounds(Bounds), m_Machine(options(Bounds)), m_Met(Met) {
    carryOut(m_Machine.start(now()));
  }

  template <typename Sink> void describe(Sink &&Put) const {
    m_Machine.describe(Put);
    Put(m_Time, m_Row.has_value(), m_RowVersion, m_LeaseEpoch, m_Broken);
    if (m_Row)
      Put(m_Row->What.Id, m_Row->State);
    Put(m_Kills, m_Crashes, m_Lost, m_Failed, m_LostSends, m_DrainTimeouts);
    Put(m_EngineFailures, m_Given[0], m_Given[1], m_Open, m_Draining);
    Put(m_Engine.Boot, m_Engine.Role, m_Engine.OrderId, m_Engine.OrderState);
    Put(m_HighestFence, m_StoreCall.has_value(), m_EngineCall.has_value());
    if (m_StoreCall)
      Put(m_StoreCall->index());
    if (m_StoreAnswer)
      Put('a', m_StoreAnswer->index());
    if (m_EngineCall)
      Put('e', m_EngineCall->index());
    if (m_EngineAnswer)
      Put('f', m_EngineAnswer->index());
    if (m_EngineAnswer)
      if (const auto *Read = std::get_if<EngineStateRead>(&*m_EngineAnswer))
        Put(Read->State.Role, Read->State.OrderId, Read->State.OrderState,
            Read->State.Boot);
    if (m_StoreAnswer)
      if (const auto *Read = std::get_if<IntentRowRead>(&*m_StoreAnswer))
        Put(Read->Version, Read->LeaseVersion);
    for (const Action &Late : m_LateCommits)
      Put('l', Late.index(), version(Late));
    for (const Copy &Late : m_Copies)
      Put('c', Late.Sent.What.Id, Late.Sent.Fence, Late.Until);
  }

  std::string violation() const { return m_Broken; }

  template <typename Visit> void successors(Visit &&Do) const {
    auto Try = [&](const std::string &Label, auto &&Change) {
      OrderWorld Next = *this;
      Change(Next);
      Do("t=" + std::to_string(m_Time) + " " +
             std::string(name(m_Machine.state())) + ": " + Label,
         std::move(Next));
    };
    if (m_Time < m_Bounds.LastTime)
      Try("time passes", [](OrderWorld &W) { W.passTime(); });
    Try("tick", [](OrderWorld &W) { W.feed(Tick{}); });
    plannerSteps(Try);
    storeSteps(Try);
    engineSteps(Try);
    faultSteps(Try);
  }

  /// Without further faults the order in the row must come to its end, and the
  /// engine to the state that it asks for or to a report. Empty when it does.
  std::string settlesWithoutFaults() const {
    OrderWorld W = *this;
    for (int I = 0; I != 60; ++I) {
      bool Busy = W.calmStep();
      bool Over = !W.m_Row || W.m_Row->State != IntentState::Intended;
      if (!Busy && W.m_Machine.state() == State::Idle && Over)
        return W.endState();
      if (!Busy) {
        W.passTime();
        W.feed(Tick{});
      }
    }
    return "the order never ends";
  }

private:
  struct Copy {
    SendToEngine Sent;
    int Until;
  };

  static OrderOptions options(const OrderBounds &Bounds) {
    return {Bounds.SettleTime, std::chrono::milliseconds(1000), 3};
  }
  static uint64_t version(const Action &Commit) {
    if (const auto *Intent = std::get_if<CommitIntentRow>(&Commit))
      return Intent->ExpectedVersion;
    return std::get<CommitCompletionRow>(Commit).ExpectedVersion;
  }
  static Order orderOf(size_t I) {
    return {I ? "b" : "a", I + 1, SetRole{I ? "decode" : "prefill"}};
  }

  BootTime now() const { return BootTime(std::chrono::seconds(100 + m_Time)); }

  /// A copy that was not delivered within its bound never arrives.
  void passTime() {
    ++m_Time;
    std::erase_if(m_Copies,
                  [&](const Copy &One) { return One.Until < m_Time; });
  }

  void feed(const Event &What) {
    if (m_Met)
      m_Met->insert({m_Machine.state(), kindOf(What)});
    carryOut(m_Machine.step(What, now()));
  }

  void carryOut(std::vector<Action> Actions) {
    for (Action &One : Actions)
      std::visit([&](auto &Done) { on(Done); }, One);
  }
  template <typename Call> void callStore(const Call &What) {
    if (m_StoreCall || m_StoreAnswer)
      m_Broken = "two store calls at once";
    m_StoreCall = What;
  }
  template <typename Call> void callEngine(const Call &What) {
    if (m_EngineCall || m_EngineAnswer)
      m_Broken = "two engine calls at once";
    m_EngineCall = What;
  }
  void on(const ReadIntentRow &What) { callStore(What); }
  void on(const CommitIntentRow &What) { callStore(What); }
  void on(const CommitCompletionRow &What) { callStore(What); }
  void on(const ReadEngineState &What) { callEngine(What); }
  void on(const SendToEngine &What) {
    if (m_Open || m_Draining)
      m_Broken = "an order is sent while requests run";
    callEngine(What);
  }
  void on(const CloseAdmission &) {
    m_Open = false;
    m_Draining = true;
  }
  void on(const OpenAdmission &) { m_Open = true; }
  void on(const Reply &) {}
  void on(const ReportEngineState &What) {
    m_ReportedRole = What.State.Role;
    m_ReportedMatch = What.MatchesIntent;
  }

  bool apply(const Action &Commit) {
    if (version(Commit) != m_RowVersion)
      return false;
    if (const auto *Intent = std::get_if<CommitIntentRow>(&Commit)) {
      if (m_Bounds.LeaseCondition &&
          Intent->ExpectedLeaseVersion != m_LeaseEpoch)
        return false;
      if (Intent->Row.What.Epoch != m_LeaseEpoch)
        m_Broken = "an order takes effect after its lease has passed on";
      m_Row = Intent->Row;
    } else {
      m_Row = std::get<CommitCompletionRow>(Commit).Row;
    }
    ++m_RowVersion;
    return true;
  }

  /// The engine takes a copy of an order, from a live or a late connection.
  Event arrive(const SendToEngine &Sent) {
    if (m_Engine.OrderState == EngineOrderState::Running)
      return EngineBusy{};
    if (m_Bounds.EngineHonoursFence && Sent.Fence < m_HighestFence)
      return EngineRejected{};
    bool Current = m_Row && m_Row->What == Sent.What &&
                   m_Row->State == IntentState::Intended;
    if (!Current)
      m_Broken = "the engine takes order " + Sent.What.Id +
                 ", which is not the order in force";
    if (m_Open)
      m_Broken = "the engine takes an order while requests are admitted";
    m_HighestFence = std::max(m_HighestFence, Sent.Fence);
    m_Engine.OrderId = Sent.What.Id;
    m_Engine.OrderState = EngineOrderState::Running;
    return EngineAccepted{};
  }

  void finishOrder(bool Well) {
    m_Engine.OrderState =
        Well ? EngineOrderState::Done : EngineOrderState::Failed;
    if (Well)
      m_Engine.Role = m_Engine.OrderId == "a" ? "prefill" : "decode";
  }

  template <typename TryStep> void plannerSteps(TryStep &&Try) const;

  void storeWorks() {
    const Action Call = *m_StoreCall;
    m_StoreCall.reset();
    if (std::holds_alternative<ReadIntentRow>(Call))
      m_StoreAnswer =
          IntentRowRead{m_RowVersion, m_Row, m_LeaseEpoch, m_LeaseEpoch, true};
    else if (apply(Call))
      m_StoreAnswer = CommitSucceeded{};
    else
      m_StoreAnswer = CommitConflicted{};
  }

  template <typename TryStep> void storeSteps(TryStep &&Try) const;

  void storeAnswers() {
    Event Answer = *m_StoreAnswer;
    m_StoreAnswer.reset();
    feed(Answer);
  }
  void engineAnswers() {
    Event Answer = *m_EngineAnswer;
    m_EngineAnswer.reset();
    feed(Answer);
  }
  void engineWorks() {
    const Action Call = *m_EngineCall;
    m_EngineCall.reset();
    if (const auto *Send = std::get_if<SendToEngine>(&Call))
      m_EngineAnswer = arrive(*Send);
    else
      m_EngineAnswer.emplace(EngineStateRead{m_Engine});
  }
  void loseSend() {
    m_Copies.push_back({std::get<SendToEngine>(*m_EngineCall), m_Time});
    m_EngineCall.reset();
  }

  template <typename TryStep> void engineSteps(TryStep &&Try) const;

  template <typename TryStep> void faultSteps(TryStep &&Try) const;

  void crash() {
    ++m_Crashes;
    m_Engine = EngineState{"boot" + std::to_string(m_Crashes),
                           "mixed",
                           {},
                           "",
                           EngineOrderState::None};
    m_HighestFence = 0;
    // Connections to the old process die with it.
    m_Copies.clear();
    if (!m_EngineCall)
      return;
    bool Send = std::holds_alternative<SendToEngine>(*m_EngineCall);
    m_EngineCall.reset();
    if (Send)
      m_EngineAnswer.emplace(EngineNotReached{});
    else
      m_EngineAnswer.emplace(EngineUnreachable{});
  }

  /// What the dead agent had sent lives on; its requests end with it.
  void kill() {
    ++m_Kills;
    if (m_StoreCall && !std::holds_alternative<ReadIntentRow>(*m_StoreCall))
      m_LateCommits.push_back(*m_StoreCall);
    if (m_EngineCall && std::holds_alternative<SendToEngine>(*m_EngineCall))
      loseSend();
    m_StoreCall.reset();
    m_StoreAnswer.reset();
    m_EngineCall.reset();
    m_EngineAnswer.reset();
    m_Open = false;
    m_Draining = false;
    m_Machine = OrderMachine(options(m_Bounds));
    carryOut(m_Machine.start(now()));
  }

  /// One step of a world in which nothing fails any more.
  bool calmStep() {
    if (m_StoreAnswer)
      return storeAnswers(), true;
    if (m_EngineAnswer)
      return engineAnswers(), true;
    if (m_StoreCall)
      return storeWorks(), true;
    if (m_EngineCall)
      return engineWorks(), true;
    if (m_Draining) {
      m_Draining = false;
      return feed(Drained{}), true;
    }
    if (m_Engine.OrderState == EngineOrderState::Running)
      return finishOrder(true), true;
    return false;
  }

  std::string endState() {
    if (!m_Broken.empty())
      return m_Broken;
    if (!m_Open)
      return "requests are refused for ever";
    if (!m_Row || m_Row->What.Id.empty())
      return {};
    // The agent's next look at the engine, which it takes for its load.
    feed(EngineStateRead{m_Engine});
    bool Matches = m_Row->State == IntentState::Done &&
                   satisfies(m_Engine, m_Row->What.What);
    bool Reported = m_ReportedRole == m_Engine.Role && !m_ReportedMatch;
    if (Matches || Reported)
      return {};
    return "the engine differs from the intent and no report says so";
  }

  OrderBounds m_Bounds;
  OrderMachine m_Machine;
  int m_Time = 0;
  std::optional<IntentRow> m_Row;
  uint64_t m_RowVersion = 0;
  /// The lease row's epoch and, as nobody renews here, its version.
  uint64_t m_LeaseEpoch = 1;
  EngineState m_Engine{"boot0", "mixed", {}, "", EngineOrderState::None};
  uint64_t m_HighestFence = 0;
  std::optional<Action> m_StoreCall;
  std::optional<Event> m_StoreAnswer;
  std::optional<Action> m_EngineCall;
  std::optional<Event> m_EngineAnswer;
  std::vector<Action> m_LateCommits;
  std::vector<Copy> m_Copies;
  bool m_Open = false;
  bool m_Draining = false;
  std::string m_ReportedRole;
  bool m_ReportedMatch = true;
  int m_Given[2] = {0, 0};
  int m_Kills = 0;
  int m_Crashes = 0;
  int m_Lost = 0;
  int m_Failed = 0;
  int m_LostSends = 0;
  int m_EngineFailures = 0;
  int m_DrainTimeouts = 0;
  std::string m_Broken;
  /// Collects the pairs of state and event of all steps.
  Pairs *m_Met;
};

} // namespace figlift::test

#include "LibOrder/OrderWorldSteps.h"
