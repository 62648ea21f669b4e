//===- OrderMachineEngine.cpp - Drains and changes the engine -------------===//
//
// See OrderMachine.h. Draining, sending and polling of the engine.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderMachine.h"

namespace figlift::order {

void OrderMachine::on(const Drained &, Context &C) {
  if (m_State == State::Draining)
    send(C);
}

/// Requests are never aborted for an order; the order is abandoned instead.
void OrderMachine::on(const DrainTimedOut &, Context &C) {
  if (m_State != State::Draining)
    return;
  m_UndrainedOrderId = m_Current->Id;
  complete(IntentState::Abandoned, C);
}

void OrderMachine::on(const EngineStateRead &Event, Context &C) {
  if (m_Engine == Engine::Reading)
    m_Engine = Engine::Free;
  bool Restarted =
      m_LastEngineState && m_LastEngineState->Boot != Event.State.Boot;
  m_LastEngineState = Event.State;
  switch (m_State) {
  case State::Recovering:
    return recover(Event.State, C);
  case State::Settling:
    return settle(Event.State, C);
  case State::Idle:
    if (Restarted)
      report(C);
    return;
  default:
    return;
  }
}

void OrderMachine::on(const EngineUnreachable &, Context &C) {
  if (m_Engine == Engine::Reading)
    m_Engine = Engine::Free;
  m_NextPoll = C.Now + m_Options.PollInterval;
}

void OrderMachine::on(const EngineAccepted &, Context &C) { sendCompleted(C); }

void OrderMachine::on(const EngineRejected &, Context &C) {
  m_Rejected = true;
  sendCompleted(C);
}

void OrderMachine::on(const EngineBusy &, Context &C) { sendCompleted(C); }

void OrderMachine::on(const EngineNotReached &, Context &C) {
  sendCompleted(C);
}

void OrderMachine::on(const EngineOutcomeUnknown &, Context &C) {
  if (m_State != State::Sending)
    return;
  // The settle time starts here and not when the order was sent: the process
  // may have been paused in between, and the connection is closed only now.
  m_SettledAt = C.Now + m_Options.SettleTime;
  sendCompleted(C);
}

void OrderMachine::sendCompleted(Context &C) {
  if (m_State != State::Sending)
    return;
  m_Engine = Engine::Free;
  m_State = State::Settling;
  readEngine(C);
}

/// Whether the last read reflects every copy of the order that was sent. The
/// read must have been sent after the settle time: a slow response may show the
/// engine's state from before a late copy arrived.
bool OrderMachine::settled() const { return m_EngineReadSentAt >= m_SettledAt; }

void OrderMachine::readEngine(Context &C) {
  m_Engine = Engine::Reading;
  m_EngineReadSentAt = C.Now;
  m_NextPoll = C.Now + m_Options.PollInterval;
  C.Out.push_back(ReadEngineState{});
}

void OrderMachine::openAdmission(Context &C) {
  if (m_AdmissionOpen)
    return;
  m_AdmissionOpen = true;
  C.Out.push_back(OpenAdmission{});
}

void OrderMachine::drain(Context &C) {
  m_State = State::Draining;
  m_SendCount = 0;
  m_Rejected = false;
  m_AdmissionOpen = false;
  C.Out.push_back(CloseAdmission{});
}

void OrderMachine::send(Context &C) {
  m_State = State::Sending;
  m_Engine = Engine::Sending;
  ++m_SendCount;
  C.Out.push_back(SendToEngine{*m_Current, m_Fence});
}

/// Derives the order's outcome from the engine's state. While an unacknowledged
/// copy may still arrive, the order stays open: if the copy took effect after
/// the next order, the engine would be left in the older state while all rows
/// name the newer one.
void OrderMachine::settle(const EngineState &Reported, Context &C) {
  if (Reported.OrderState == EngineOrderState::Running || !settled())
    return;
  bool Satisfied = satisfies(Reported, m_Current->RequestedChange);
  if (Satisfied)
    return complete(IntentState::Done, C);
  bool Ended = Reported.OrderId == m_Current->Id;
  if (Ended || m_Rejected || m_SendCount >= m_Options.MaximumSends)
    return complete(IntentState::Abandoned, C);
  // The engine never accepted the order, or lost it in a crash.
  send(C);
}

/// Once no order is running or can be in flight, only this machine changes the
/// engine's state. Requests are admitted from then on, even if the rows can't
/// be read yet.
void OrderMachine::recover(const EngineState &Reported, Context &C) {
  if (Reported.OrderState == EngineOrderState::Running || !settled())
    return;
  openAdmission(C);
  if (!m_RowsKnown)
    return;
  if (!m_RowTakenOver)
    return takeOverRow(C);
  if (!m_Row || m_Row->State != IntentState::Intended) {
    m_State = State::Idle;
    return report(C);
  }
  m_Current = m_Row->Intent;
  m_Fence = m_RowVersion;
  bool Failed = Reported.OrderId == m_Current->Id &&
                Reported.OrderState == EngineOrderState::Failed;
  if (satisfies(Reported, m_Current->RequestedChange))
    return complete(IntentState::Done, C);
  if (Failed)
    return complete(IntentState::Abandoned, C);
  drain(C);
}

/// Writes the row back unchanged, or an order without an id if the row is
/// absent. A commit of the predecessor may still be in flight: an intent that
/// took effect now would never be executed, and a completion would contradict
/// what this process does. The new row version makes both of them fail.
void OrderMachine::takeOverRow(Context &C) {
  if (m_Store != Store::Free)
    return;
  m_Store = Store::Committing;
  IntentRow EmptyRow{Order{}, IntentState::Done};
  C.Out.push_back(CommitCompletionRow{m_RowVersion, m_Row.value_or(EmptyRow)});
}

/// The engine has finished. Requests are admitted again at once; the row is
/// written as soon as the store accepts the commit.
void OrderMachine::complete(IntentState FinalState, Context &C) {
  m_FinalState = FinalState;
  m_State = State::WritingCompletion;
  openAdmission(C);
  report(C);
  commitCompletion(C);
}

void OrderMachine::report(Context &C) {
  if (!m_LastEngineState)
    return;
  bool Open = m_State == State::WritingCompletion;
  const Order *Last = Open ? &*m_Current : m_Row ? &m_Row->Intent : nullptr;
  IntentState FinalState = Open    ? m_FinalState
                           : m_Row ? m_Row->State
                                   : IntentState::Done;
  bool Matches =
      !Last || (FinalState == IntentState::Done &&
                satisfies(*m_LastEngineState, Last->RequestedChange));
  C.Out.push_back(ReportEngineState{*m_LastEngineState, Matches});
}

} // namespace figlift::order
