//===- LeaseMachine.cpp - Lease of one shard ------------------------------===//
//
// See LeaseMachine.h.
//
//===----------------------------------------------------------------------===//

#include "LibLease/LeaseMachine.h"

#include <algorithm>
#include <utility>

namespace figlift::lease {

LeaseMachine::LeaseMachine(LeaseOptions Options)
    : m_Options(std::move(Options)) {}

std::vector<Action> LeaseMachine::step(const Event &Input, BootTime Now) {
  Actions Out;
  if (m_Phase == Phase::Stopped)
    return Out;
  std::visit([&](const auto &Event) { on(Event, Now, Out); }, Input);
  return Out;
}

bool LeaseMachine::mayPlan(BootTime Now) const {
  return m_Phase == Phase::Holding && !m_StopRequested && Now < validUntil();
}

std::optional<uint64_t> LeaseMachine::epoch(BootTime Now) const {
  if (!mayPlan(Now))
    return std::nullopt;
  return m_HeldEpoch;
}

BootTime LeaseMachine::validUntil() const {
  return m_HeldSince + m_Options.Duration - m_Options.Margin;
}

std::chrono::nanoseconds LeaseMachine::renewInterval() const {
  std::chrono::nanoseconds Third = m_Options.Duration / 3;
  std::chrono::nanoseconds Valid = m_Options.Duration - m_Options.Margin;
  return std::min(Third, Valid / 2);
}

/// Whether the row may be acquired. Another holder is considered expired by
/// this process's clock alone: the version has not changed here for the
/// duration. The holder counts its time from before its write, and so from
/// before this process saw the version, and stops a margin earlier.
bool LeaseMachine::mayAcquire(BootTime Now) const {
  if (!m_RowKnown || Now < m_QuietUntil)
    return false;
  if (m_Row.Holder.empty() || m_Row.Holder == m_Options.Self)
    return true;
  return Now >= m_FirstSeen + m_Row.Duration;
}

void LeaseMachine::on(const Tick &, BootTime Now, Actions &Out) {
  if (m_Phase == Phase::Holding && Now >= validUntil())
    loseAuthority(Out);
  if (m_Waiting != Waiting::Nothing)
    return;
  if (m_StopRequested)
    return stop(Now, Out);
  if (m_Phase == Phase::Holding) {
    if (Now < m_NextCall)
      return;
    return m_InDoubt ? read(Now, Out) : renew(Now, Out);
  }
  if (Now < m_NextCall)
    return;
  // The row may have expired between two reads. It need not be read again, as
  // the commit fails if its version has changed.
  if (mayAcquire(Now) && !m_InDoubt)
    return acquire(Now, Out);
  read(Now, Out);
}

void LeaseMachine::on(const StoreRestored &Restored, BootTime Now,
                      Actions &Out) {
  enterEra(Restored.Era, Now, Out);
}

/// The known row belongs to another history of the store. The first era that is
/// seen may have begun a moment ago, unless it is the store's first one.
void LeaseMachine::enterEra(uint64_t Era, BootTime Now, Actions &Out) {
  if (Era <= m_Era)
    return;
  m_Era = Era;
  if (Era == 1)
    return;
  if (m_Phase == Phase::Holding)
    loseAuthority(Out);
  m_RowKnown = false;
  m_QuietUntil = Now + m_Options.Duration;
  m_NextCall = Now;
}

void LeaseMachine::on(const RowRead &Row, BootTime Now, Actions &Out) {
  m_Waiting = Waiting::Nothing;
  enterEra(Row.Era, Now, Out);
  bool Changed = !m_RowKnown || Row.Version != m_Row.Version;
  if (Changed)
    m_FirstSeen = Now;
  // A commit of an earlier era may take effect in this one, as versions are
  // assigned again; authority that began before the restoration has ended all
  // the same.
  m_InDoubt = m_InDoubt && m_AttemptEra == m_Era;
  bool TookEffect = m_InDoubt && Row.Version == m_Attempt.ExpectedVersion + 1 &&
                    Row.Holder == m_Attempt.Holder &&
                    Row.Epoch == m_Attempt.Epoch;
  bool StillOpen = m_InDoubt && Row.Version == m_Attempt.ExpectedVersion;
  m_InDoubt = StillOpen;
  m_Row = Row;
  m_RowKnown = true;
  m_NextCall = Now + renewInterval();
  if (BootTime Expiry = m_FirstSeen + Row.Duration; Expiry > Now)
    m_NextCall = std::min(m_NextCall, Expiry);
  if (m_QuietUntil > Now)
    m_NextCall = std::min(m_NextCall, m_QuietUntil);

  if (m_Phase == Phase::Releasing && Row.Holder != m_Options.Self)
    return finish(true, Out);
  if (m_StopRequested)
    return stop(Now, Out);
  if (TookEffect && Row.Holder == m_Options.Self)
    return becomeHolder(m_FirstAttempt, Now, Out);
  if (m_Phase == Phase::Holding && Changed && !TookEffect)
    loseAuthority(Out);
  // A commit that is still open can take effect at any time, or never. The same
  // content is sent again for the same version: at most one of the two can take
  // effect, and the result is the same.
  if (m_Phase == Phase::Holding)
    return renew(Now, Out);
  if (mayAcquire(Now))
    acquire(Now, Out);
}

void LeaseMachine::on(const ReadFailed &, BootTime Now, Actions &Out) {
  failed(Now, Out);
}

void LeaseMachine::on(const CommitSucceeded &, BootTime Now, Actions &Out) {
  m_Waiting = Waiting::Nothing;
  m_InDoubt = false;
  // The commit was sent in an earlier era, and was either carried out in this
  // one or lost.
  if (m_AttemptEra != m_Era)
    return read(Now, Out);
  m_Row = RowRead{m_Attempt.ExpectedVersion + 1, m_Attempt.Holder,
                  m_Attempt.Epoch, m_Attempt.Duration, m_Era};
  m_FirstSeen = Now;
  if (m_Phase == Phase::Releasing)
    return finish(true, Out);
  if (m_StopRequested)
    return stop(Now, Out);
  becomeHolder(m_CommitSent, Now, Out);
}

void LeaseMachine::on(const CommitConflicted &, BootTime Now, Actions &Out) {
  m_Waiting = Waiting::Nothing;
  // Another candidate won, or an earlier commit of this process took effect
  // after its answer was lost. Only the row shows which.
  m_InDoubt = true;
  read(Now, Out);
}

void LeaseMachine::on(const CommitOutcomeUnknown &, BootTime Now,
                      Actions &Out) {
  m_Waiting = Waiting::Nothing;
  if (m_Phase == Phase::Releasing)
    return finish(false, Out);
  m_InDoubt = true;
  read(Now, Out);
}

void LeaseMachine::on(const StoreFailed &, BootTime Now, Actions &Out) {
  failed(Now, Out);
}

void LeaseMachine::on(const StopRequested &, BootTime Now, Actions &Out) {
  if (m_Phase == Phase::Holding)
    loseAuthority(Out);
  m_StopRequested = true;
  if (m_Waiting == Waiting::Nothing)
    stop(Now, Out);
}

/// The store did not answer, or did nothing: retries a few times within the
/// time that is left to a holder.
void LeaseMachine::failed(BootTime Now, Actions &Out) {
  m_Waiting = Waiting::Nothing;
  m_NextCall = Now + renewInterval() / 4;
  if (m_StopRequested)
    finish(false, Out);
}

void LeaseMachine::becomeHolder(BootTime CountedFrom, BootTime Now,
                                Actions &Out) {
  bool WasHolder = m_Phase == Phase::Holding;
  m_HeldSince = CountedFrom;
  m_HeldEpoch = m_Row.Epoch;
  m_NextCall = CountedFrom + renewInterval();
  // If the process was paused between the commit and its answer, another
  // candidate may have waited long enough to acquire the row.
  if (Now >= validUntil()) {
    if (WasHolder)
      loseAuthority(Out);
    return;
  }
  m_Phase = Phase::Holding;
  if (!WasHolder)
    Out.push_back(BecomeHolder{m_Row.Epoch});
}

void LeaseMachine::loseAuthority(Actions &Out) {
  m_Phase = Phase::Watching;
  Out.push_back(LoseAuthority{m_HeldEpoch});
}

void LeaseMachine::read(BootTime Now, Actions &Out) {
  m_Waiting = Waiting::Read;
  m_NextCall = Now + renewInterval();
  Out.push_back(ReadRow{});
}

void LeaseMachine::commit(CommitRow Row, BootTime Now, Actions &Out) {
  if (m_Attempt != Row)
    m_FirstAttempt = Now;
  m_Attempt = Row;
  m_AttemptEra = m_Era;
  m_CommitSent = Now;
  m_Waiting = Waiting::Commit;
  Out.push_back(std::move(Row));
}

void LeaseMachine::acquire(BootTime Now, Actions &Out) {
  commit({m_Row.Version, m_Options.Self, nextEpoch(), m_Options.Duration}, Now,
         Out);
}

uint64_t LeaseMachine::nextEpoch() const {
  // Leaves room for 2^32 acquisitions in one era.
  constexpr unsigned EraShift = 32;
  const uint64_t First = m_Era > 1 ? m_Era << EraShift : 0;
  return std::max(m_Row.Epoch + 1, First);
}

void LeaseMachine::renew(BootTime Now, Actions &Out) {
  commit({m_Row.Version, m_Options.Self, m_Row.Epoch, m_Options.Duration}, Now,
         Out);
}

void LeaseMachine::stop(BootTime Now, Actions &Out) {
  if (m_InDoubt)
    return read(Now, Out);
  if (!m_RowKnown || m_Row.Holder != m_Options.Self)
    return finish(true, Out);
  m_Phase = Phase::Releasing;
  // The epoch stays in the row, so that the next holder's epoch is higher.
  commit({m_Row.Version, "", m_Row.Epoch, m_Options.Duration}, Now, Out);
}

void LeaseMachine::finish(bool Written, Actions &Out) {
  m_Phase = Phase::Stopped;
  Out.push_back(Released{Written});
}

} // namespace figlift::lease
