//===- OrderMachine.cpp - Executes orders at one target -------------------===//
//
// See OrderMachine.h. This file handles the events of planners and of the
// store; OrderMachineEngine.cpp handles those of the engine.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderMachine.h"

#include <algorithm>
#include <utility>

namespace figlift::order {

namespace {

constexpr size_t HistorySize = 256;

OrderProgress progressOf(IntentState State) {
  switch (State) {
  case IntentState::Intended:
    return OrderProgress::Running;
  case IntentState::Done:
    return OrderProgress::Done;
  case IntentState::Abandoned:
    return OrderProgress::Failed;
  }
  return OrderProgress::Failed;
}

} // namespace

OrderMachine::OrderMachine(OrderOptions Options) : m_Options(Options) {}

std::vector<Action> OrderMachine::start(BootTime Now) {
  Actions Out;
  Context C{Now, Out};
  // The predecessor has exited, but its last order may still be in flight.
  m_SettledAt = Now + m_Options.SettleTime;
  m_NextPoll = Now + m_Options.PollInterval;
  readRows(C);
  readEngine(C);
  return Out;
}

std::vector<Action> OrderMachine::step(const Event &Event, BootTime Now) {
  Actions Out;
  Context C{Now, Out};
  std::visit([&](const auto &Alternative) { on(Alternative, C); }, Event);
  return Out;
}

void OrderMachine::on(const Tick &, Context &C) {
  if (C.Now < m_NextPoll)
    return;
  m_NextPoll = C.Now + m_Options.PollInterval;
  bool ReadsRows = (m_State == State::Recovering && !m_RowsKnown) ||
                   m_State == State::WritingIntent ||
                   m_State == State::WritingCompletion;
  if (ReadsRows && m_Store == Store::Free)
    readRows(C);
  bool ReadsEngine = m_State == State::Recovering || m_State == State::Settling;
  if (ReadsEngine && m_Engine == Engine::Free)
    readEngine(C);
}

void OrderMachine::on(const OrderReceived &Received, Context &C) {
  if (replyFromHistory(Received, C))
    return;
  auto Refuse = [&](ResultCode Code) {
    C.Out.push_back(
        Reply{Received.Token, Code, OrderProgress::Refused, m_HighestEpoch});
  };
  if (Received.NewOrder.Epoch < m_HighestEpoch)
    return Refuse(ResultCode::StaleEpoch);
  if (m_State == State::Recovering)
    return Refuse(ResultCode::NotReady);
  if (m_State != State::Idle)
    return Refuse(ResultCode::OrderConflict);
  m_Current = Received.NewOrder;
  m_WaitingTokens = {Received.Token};
  m_State = State::CheckingAuthority;
  readRows(C);
}

/// A planner whose reply was lost retries the order. The retry gets the current
/// progress and does not execute the order a second time.
bool OrderMachine::replyFromHistory(const OrderReceived &Received, Context &C) {
  const Order &Requested = Received.NewOrder;
  auto ReplyWith = [&](const Order &Recorded, OrderProgress Progress) {
    bool Same = Recorded == Requested;
    ResultCode Code = Recorded.Id == m_UndrainedOrderId
                          ? ResultCode::DeadlineExceeded
                          : ResultCode::Success;
    C.Out.push_back(
        Reply{Received.Token, Same ? Code : ResultCode::OrderConflict,
              Same ? Progress : OrderProgress::Refused, m_HighestEpoch});
    return true;
  };
  if (m_Current && m_Current->Id == Requested.Id) {
    bool Undecided =
        m_State == State::CheckingAuthority || m_State == State::WritingIntent;
    if (!Undecided || *m_Current != Requested)
      return ReplyWith(*m_Current, OrderProgress::Running);
    m_WaitingTokens.push_back(Received.Token);
    return true;
  }
  auto Completed = std::ranges::find(
      m_History, Requested.Id, [](const auto &Row) { return Row.Intent.Id; });
  if (Completed != m_History.end())
    return ReplyWith(Completed->Intent, progressOf(Completed->State));
  if (m_Row && m_Row->Intent.Id == Requested.Id)
    return ReplyWith(m_Row->Intent, progressOf(m_Row->State));
  return false;
}

void OrderMachine::on(const IntentRowRead &Rows, Context &C) {
  m_Store = Store::Free;
  uint64_t LowestValidEpoch = Rows.LeaseEpoch + (Rows.LeaseHeld ? 0 : 1);
  if (Rows.LeaseVersion != 0)
    m_HighestEpoch = std::max(m_HighestEpoch, LowestValidEpoch);
  m_RowVersion = Rows.Version;
  m_LeaseVersion = Rows.LeaseVersion;
  m_Row = Rows.Row;
  if (m_Row && m_Row->Intent.Id.empty())
    m_Row.reset();
  m_RowTakenOver = false;
  switch (m_State) {
  case State::Recovering:
    m_RowsKnown = true;
    if (m_Engine == Engine::Free)
      readEngine(C);
    return;
  case State::CheckingAuthority:
  case State::WritingIntent:
    return authorizeOrder(Rows, C);
  case State::WritingCompletion:
    return confirmCompletion(Rows, C);
  default:
    return;
  }
}

/// Accepts or rejects m_Current based on both rows. The same rules apply after
/// a commit with unknown outcome: if the rows still have the versions that the
/// commit expected, the same content is committed again and only one of the two
/// commits can take effect; if a version has changed, the earlier commit can no
/// longer take effect.
void OrderMachine::authorizeOrder(const IntentRowRead &Rows, Context &C) {
  bool SameOrder = Rows.Row && Rows.Row->Intent == *m_Current;
  bool Intended = Rows.Row && Rows.Row->State == IntentState::Intended;
  if (SameOrder && Intended && m_IntentOutcomeUnknown)
    return accept(C);
  if (Intended) {
    // A commit of a predecessor took effect after the predecessor exited. Its
    // intent is valid and is executed first.
    refuse(C, ResultCode::OrderConflict);
    m_State = State::Recovering;
    if (m_Engine == Engine::Free)
      readEngine(C);
    return;
  }
  if (m_Current->Epoch < m_HighestEpoch)
    return refuse(C, ResultCode::StaleEpoch);
  if (m_Current->Epoch != Rows.LeaseEpoch || !Rows.LeaseHeld)
    return refuse(C, ResultCode::NoAuthority);
  m_State = State::WritingIntent;
  commitIntent(C);
}

void OrderMachine::confirmCompletion(const IntentRowRead &Rows, Context &C) {
  bool Open = Rows.Row && Rows.Row->Intent.Id == m_Current->Id &&
              Rows.Row->State == IntentState::Intended;
  if (Open)
    return commitCompletion(C);
  if (Rows.Row && Rows.Row->Intent.Id == m_Current->Id)
    m_FinalState = Rows.Row->State;
  becomeIdle(C);
}

void OrderMachine::on(const IntentRowReadFailed &, Context &C) {
  m_Store = Store::Free;
  m_NextPoll = C.Now + m_Options.PollInterval;
  if (m_State == State::CheckingAuthority)
    return refuse(C, ResultCode::StoreUnavailable);
  // The outage may last long, so the planner gets a reply now and retries under
  // the same order id.
  if (m_State == State::WritingIntent)
    reply(C, ResultCode::StoreOutcomeUnknown, OrderProgress::Running);
}

void OrderMachine::on(const CommitSucceeded &, Context &C) {
  m_Store = Store::Free;
  ++m_RowVersion;
  if (m_State == State::Recovering) {
    m_RowTakenOver = true;
    if (m_Engine == Engine::Free)
      readEngine(C);
    return;
  }
  if (m_State == State::WritingIntent) {
    m_Row = IntentRow{*m_Current, IntentState::Intended};
    return accept(C);
  }
  if (m_State != State::WritingCompletion)
    return;
  m_Row = IntentRow{*m_Current, m_FinalState};
  becomeIdle(C);
}

void OrderMachine::on(const CommitConflicted &, Context &C) {
  m_Store = Store::Free;
  readRows(C);
}

void OrderMachine::on(const CommitOutcomeUnknown &, Context &C) {
  m_Store = Store::Free;
  m_IntentOutcomeUnknown = m_State == State::WritingIntent;
  readRows(C);
}

void OrderMachine::on(const CommitFailed &, Context &C) {
  m_Store = Store::Free;
  m_NextPoll = C.Now + m_Options.PollInterval;
  if (m_State == State::WritingIntent && !m_IntentOutcomeUnknown)
    refuse(C, ResultCode::StoreUnavailable);
}

void OrderMachine::readRows(Context &C) {
  m_Store = Store::Reading;
  C.Out.push_back(ReadIntentRow{});
}

void OrderMachine::commitIntent(Context &C) {
  m_Store = Store::Committing;
  C.Out.push_back(CommitIntentRow{
      m_RowVersion, m_LeaseVersion, {*m_Current, IntentState::Intended}});
}

void OrderMachine::commitCompletion(Context &C) {
  m_Store = Store::Committing;
  C.Out.push_back(
      CommitCompletionRow{m_RowVersion, {*m_Current, m_FinalState}});
}

/// The intent is in the table. This process or its successor will either
/// complete or abandon it.
void OrderMachine::accept(Context &C) {
  m_IntentOutcomeUnknown = false;
  m_Fence = m_RowVersion;
  reply(C, ResultCode::Success, OrderProgress::Running);
  drain(C);
}

void OrderMachine::reply(Context &C, ResultCode Code, OrderProgress Progress) {
  for (uint64_t Token : std::exchange(m_WaitingTokens, {}))
    C.Out.push_back(Reply{Token, Code, Progress, m_HighestEpoch});
}

/// Rejects an order of which nothing was written and nothing can be any more.
void OrderMachine::refuse(Context &C, ResultCode Code) {
  reply(C, Code, OrderProgress::Refused);
  m_Current.reset();
  m_IntentOutcomeUnknown = false;
  m_State = State::Idle;
}

void OrderMachine::becomeIdle(Context &) {
  m_History.push_back({*m_Current, m_FinalState});
  if (m_History.size() > HistorySize)
    m_History.pop_front();
  m_Current.reset();
  m_State = State::Idle;
}

} // namespace figlift::order
