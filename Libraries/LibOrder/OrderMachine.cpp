//===- OrderMachine.cpp - Orders to one target ----------------------------===//
//
// See OrderMachine.h. This file holds the planner's and the store's side; the
// engine's side is in OrderMachineEngine.cpp.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderMachine.h"

#include <algorithm>
#include <utility>

namespace figlift::order {

namespace {

constexpr size_t BookSize = 256;

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
  // The predecessor is dead, but what it sent last may still be on its way.
  m_SettledAt = Now + m_Options.SettleTime;
  m_NextPoll = Now + m_Options.PollInterval;
  readRows(C);
  readEngine(C);
  return Out;
}

std::vector<Action> OrderMachine::step(const Event &What, BootTime Now) {
  Actions Out;
  Context C{Now, Out};
  std::visit([&](const auto &Event) { on(Event, C); }, What);
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

void OrderMachine::on(const OrderReceived &Call, Context &C) {
  if (answerFromBook(Call, C))
    return;
  auto Refuse = [&](ResultCode Code) {
    C.Out.push_back(
        Reply{Call.Token, Code, OrderProgress::Refused, m_HighestEpoch});
  };
  if (Call.What.Epoch < m_HighestEpoch)
    return Refuse(ResultCode::StaleEpoch);
  if (m_State == State::Recovering)
    return Refuse(ResultCode::NotReady);
  if (m_State != State::Idle)
    return Refuse(ResultCode::OrderConflict);
  m_Current = Call.What;
  m_Callers = {Call.Token};
  m_State = State::CheckingAuthority;
  readRows(C);
}

/// A planner whose reply was lost asks again: it learns how far the order has
/// come, and nothing is done twice.
bool OrderMachine::answerFromBook(const OrderReceived &Call, Context &C) {
  const Order &What = Call.What;
  auto Answer = [&](const Order &Known, OrderProgress Progress) {
    bool Same = Known == What;
    ResultCode Code = Known.Id == m_NotDrained ? ResultCode::DeadlineExceeded
                                               : ResultCode::Success;
    C.Out.push_back(Reply{Call.Token, Same ? Code : ResultCode::OrderConflict,
                          Same ? Progress : OrderProgress::Refused,
                          m_HighestEpoch});
    return true;
  };
  if (m_Current && m_Current->Id == What.Id) {
    bool Undecided =
        m_State == State::CheckingAuthority || m_State == State::WritingIntent;
    if (!Undecided || *m_Current != What)
      return Answer(*m_Current, OrderProgress::Running);
    m_Callers.push_back(Call.Token);
    return true;
  }
  auto Known = std::ranges::find(m_Book, What.Id,
                                 [](const auto &Row) { return Row.What.Id; });
  if (Known != m_Book.end())
    return Answer(Known->What, progressOf(Known->State));
  if (m_Row && m_Row->What.Id == What.Id)
    return Answer(m_Row->What, progressOf(m_Row->State));
  return false;
}

void OrderMachine::on(const IntentRowRead &Rows, Context &C) {
  m_Store = Store::Free;
  uint64_t Floor = Rows.LeaseEpoch + (Rows.LeaseHeld ? 0 : 1);
  if (Rows.LeaseVersion != 0)
    m_HighestEpoch = std::max(m_HighestEpoch, Floor);
  m_RowVersion = Rows.Version;
  m_LeaseVersion = Rows.LeaseVersion;
  m_Row = Rows.Row;
  if (m_Row && m_Row->What.Id.empty())
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
    return rowsForOrder(Rows, C);
  case State::WritingCompletion:
    return rowsAtCompletion(Rows, C);
  default:
    return;
  }
}

/// Decides on m_Current with both rows in hand. After a commit in doubt the
/// same rules hold: if the rows still have the versions of that commit, the
/// same content is committed again and only one of the two can take effect;
/// if one of them has moved on, the commit in doubt can no longer happen.
void OrderMachine::rowsForOrder(const IntentRowRead &Rows, Context &C) {
  bool Mine = Rows.Row && Rows.Row->What == *m_Current;
  bool Intended = Rows.Row && Rows.Row->State == IntentState::Intended;
  if (Mine && Intended && m_IntentInDoubt)
    return accept(C);
  if (Intended) {
    // A commit of a predecessor took effect after it had died. The intent
    // stands: it is carried out before anything else.
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

void OrderMachine::rowsAtCompletion(const IntentRowRead &Rows, Context &C) {
  bool Open = Rows.Row && Rows.Row->What.Id == m_Current->Id &&
              Rows.Row->State == IntentState::Intended;
  if (Open)
    return commitCompletion(C);
  if (Rows.Row && Rows.Row->What.Id == m_Current->Id)
    m_End = Rows.Row->State;
  becomeIdle(C);
}

void OrderMachine::on(const IntentRowReadFailed &, Context &C) {
  m_Store = Store::Free;
  m_NextPoll = C.Now + m_Options.PollInterval;
  if (m_State == State::CheckingAuthority)
    return refuse(C, ResultCode::StoreUnavailable);
  // Nobody waits for a store that may be out for long: the planner asks again
  // under the same id.
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
  m_Row = IntentRow{*m_Current, m_End};
  becomeIdle(C);
}

void OrderMachine::on(const CommitConflicted &, Context &C) {
  m_Store = Store::Free;
  readRows(C);
}

void OrderMachine::on(const CommitOutcomeUnknown &, Context &C) {
  m_Store = Store::Free;
  m_IntentInDoubt = m_State == State::WritingIntent;
  readRows(C);
}

void OrderMachine::on(const CommitFailed &, Context &C) {
  m_Store = Store::Free;
  m_NextPoll = C.Now + m_Options.PollInterval;
  if (m_State == State::WritingIntent && !m_IntentInDoubt)
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
  C.Out.push_back(CommitCompletionRow{m_RowVersion, {*m_Current, m_End}});
}

/// The intent is in the table: from here on it is carried out or abandoned,
/// by this process or by its successor.
void OrderMachine::accept(Context &C) {
  m_IntentInDoubt = false;
  m_Fence = m_RowVersion;
  reply(C, ResultCode::Success, OrderProgress::Running);
  drain(C);
}

void OrderMachine::reply(Context &C, ResultCode Code, OrderProgress Progress) {
  for (uint64_t Token : std::exchange(m_Callers, {}))
    C.Out.push_back(Reply{Token, Code, Progress, m_HighestEpoch});
}

/// Nothing was written and nothing will be: the order never existed.
void OrderMachine::refuse(Context &C, ResultCode Code) {
  reply(C, Code, OrderProgress::Refused);
  m_Current.reset();
  m_IntentInDoubt = false;
  m_State = State::Idle;
}

void OrderMachine::becomeIdle(Context &) {
  m_Book.push_back({*m_Current, m_End});
  if (m_Book.size() > BookSize)
    m_Book.pop_front();
  m_Current.reset();
  m_State = State::Idle;
}

} // namespace figlift::order
