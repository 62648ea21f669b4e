//===- OrderMachineEngine.cpp - The engine's side of an order -------------===//
//
// See OrderMachine.h. Draining, sending and reading back.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderMachine.h"

namespace figlift::order {

void OrderMachine::on(const Drained &, Context &C) {
  if (m_State == State::Draining)
    send(C);
}

/// Requests are never cut for a change: the change is given up instead.
void OrderMachine::on(const DrainTimedOut &, Context &C) {
  if (m_State != State::Draining)
    return;
  m_NotDrained = m_Current->Id;
  complete(IntentState::Abandoned, C);
}

void OrderMachine::on(const EngineStateRead &Read, Context &C) {
  if (m_Engine == Engine::Reading)
    m_Engine = Engine::Free;
  bool Restarted = m_LastEngine && m_LastEngine->Boot != Read.State.Boot;
  m_LastEngine = Read.State;
  switch (m_State) {
  case State::Recovering:
    return recover(Read.State, C);
  case State::Settling:
    return settle(Read.State, C);
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

void OrderMachine::on(const EngineAccepted &, Context &C) {
  sendingAnswered(C);
}

void OrderMachine::on(const EngineRejected &, Context &C) {
  m_Rejected = true;
  sendingAnswered(C);
}

void OrderMachine::on(const EngineBusy &, Context &C) { sendingAnswered(C); }

void OrderMachine::on(const EngineNotReached &, Context &C) {
  sendingAnswered(C);
}

void OrderMachine::on(const EngineOutcomeUnknown &, Context &C) {
  if (m_State != State::Sending)
    return;
  // Counted from here and not from the decision to send: the shell may have
  // been paused in between, and now it has closed the connection.
  m_SettledAt = C.Now + m_Options.SettleTime;
  sendingAnswered(C);
}

void OrderMachine::sendingAnswered(Context &C) {
  if (m_State != State::Sending)
    return;
  m_Engine = Engine::Free;
  m_State = State::Settling;
  readEngine(C);
}

/// Whether the last reading shows what all copies that were sent have done. It
/// must have been sent after the bound: an answer that took long may show the
/// engine as it was before a late copy arrived.
bool OrderMachine::settled() const { return m_EngineReadSent >= m_SettledAt; }

void OrderMachine::readEngine(Context &C) {
  m_Engine = Engine::Reading;
  m_EngineReadSent = C.Now;
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
  m_Sends = 0;
  m_Rejected = false;
  m_AdmissionOpen = false;
  C.Out.push_back(CloseAdmission{});
}

void OrderMachine::send(Context &C) {
  m_State = State::Sending;
  m_Engine = Engine::Sending;
  ++m_Sends;
  C.Out.push_back(SendToEngine{*m_Current, m_Fence});
}

/// Reads the order's end out of the engine's state. While a copy without an
/// answer may still arrive nothing is decided: if it took effect after the
/// next order, the engine would be left in the older state, with all rows
/// saying the newer one.
void OrderMachine::settle(const EngineState &Engine, Context &C) {
  if (Engine.OrderState == EngineOrderState::Running || !settled())
    return;
  bool Satisfied = satisfies(Engine, m_Current->What);
  if (Satisfied)
    return complete(IntentState::Done, C);
  bool Ended = Engine.OrderId == m_Current->Id;
  if (Ended || m_Rejected || m_Sends >= m_Options.MaximumSends)
    return complete(IntentState::Abandoned, C);
  // The engine never took it, or has lost it in a crash.
  send(C);
}

/// The engine is quiet once nothing runs and nothing can be on its way. From
/// then on its state changes only by this machine, so requests may come in
/// even when the rows can't be read yet.
void OrderMachine::recover(const EngineState &Engine, Context &C) {
  if (Engine.OrderState == EngineOrderState::Running || !settled())
    return;
  openAdmission(C);
  if (!m_RowsKnown)
    return;
  if (!m_RowTakenOver)
    return takeRowOver(C);
  if (!m_Row || m_Row->State != IntentState::Intended) {
    m_State = State::Idle;
    return report(C);
  }
  m_Current = m_Row->What;
  m_Fence = m_RowVersion;
  bool Failed = Engine.OrderId == m_Current->Id &&
                Engine.OrderState == EngineOrderState::Failed;
  if (satisfies(Engine, m_Current->What))
    return complete(IntentState::Done, C);
  if (Failed)
    return complete(IntentState::Abandoned, C);
  drain(C);
}

/// Writes the row again as it is, or an order without an id into an empty one.
/// A commit that the predecessor had sent may still be on its way: an intent
/// that takes effect now would be carried out by nobody, and a completion
/// would contradict what is done here. The new version makes both fail.
void OrderMachine::takeRowOver(Context &C) {
  if (m_Store != Store::Free)
    return;
  m_Store = Store::Committing;
  IntentRow None{Order{}, IntentState::Done};
  C.Out.push_back(CommitCompletionRow{m_RowVersion, m_Row.value_or(None)});
}

/// The engine's part is over. Requests go on at once; the row follows as soon
/// as the store takes it.
void OrderMachine::complete(IntentState End, Context &C) {
  m_End = End;
  m_State = State::WritingCompletion;
  openAdmission(C);
  report(C);
  commitCompletion(C);
}

void OrderMachine::report(Context &C) {
  if (!m_LastEngine)
    return;
  bool Open = m_State == State::WritingCompletion;
  const Order *Last = Open ? &*m_Current : m_Row ? &m_Row->What : nullptr;
  IntentState End = Open ? m_End : m_Row ? m_Row->State : IntentState::Done;
  bool Matches = !Last || (End == IntentState::Done &&
                           satisfies(*m_LastEngine, Last->What));
  C.Out.push_back(ReportEngineState{*m_LastEngine, Matches});
}

} // namespace figlift::order
