//===- LeaseMachine.h - Lease of one shard ----------------------*- C++ -*-===//
//
// Decides whether this process may plan for one shard (back end x region). The
// lease is a row of the platform's table that is changed only by
// compare-and-set on its version. The state machine reads no clock and does no
// I/O: LeaseKeeper passes the answers in and carries the actions out.
//
// The lease alone does not prevent conflicting orders: a holder that is paused
// after mayPlan() can still send. Agents therefore compare the epoch of an
// order with the row when they accept it (LibOrder).
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figlift::lease {

/// \name Events. Every ReadRow and CommitRow is answered by exactly one event,
/// within the timeout of the platform call.
/// @{

/// Time has passed; sent at least a few times in each third of the duration.
struct Tick {};
/// The row as read. An absent row has version 0 and an empty holder.
struct RowRead {
  uint64_t Version = 0;
  /// Empty if the lease is not held (never acquired, or released).
  std::string Holder;
  uint64_t Epoch = 0;
  std::chrono::milliseconds Duration{0};
  /// Era of the store; 0 for a store that is never restored from a copy.
  uint64_t Era = 0;
};
/// The store was restored from a copy: the row may be an earlier one, and its
/// versions are assigned again.
struct StoreRestored {
  uint64_t Era = 0;
};
struct ReadFailed {};
struct CommitSucceeded {};
/// The version differed, and nothing was written.
struct CommitConflicted {};
/// The answer was lost; the write may have taken effect, or may still do so.
struct CommitOutcomeUnknown {};
/// The store was unavailable, and nothing was written.
struct StoreFailed {};
struct StopRequested {};
/// @}

using Event = std::variant<Tick, RowRead, ReadFailed, CommitSucceeded,
                           CommitConflicted, CommitOutcomeUnknown, StoreFailed,
                           StopRequested, StoreRestored>;

/// \name Actions.
/// @{
struct ReadRow {
  bool operator==(const ReadRow &) const = default;
};
/// Writes the row if it still has ExpectedVersion. An empty holder releases the
/// lease.
struct CommitRow {
  uint64_t ExpectedVersion = 0;
  std::string Holder;
  uint64_t Epoch = 0;
  std::chrono::milliseconds Duration{0};
  bool operator==(const CommitRow &) const = default;
};
/// Authority begins; orders have this epoch from now on.
struct BecomeHolder {
  uint64_t Epoch = 0;
  bool operator==(const BecomeHolder &) const = default;
};
/// Authority with this epoch has ended; the holder must give no more orders.
struct LoseAuthority {
  uint64_t Epoch = 0;
  bool operator==(const LoseAuthority &) const = default;
};
/// The state machine has stopped and emits no more actions.
struct Released {
  /// False if the row could not be written: other candidates wait for the
  /// duration.
  bool Written = false;
  bool operator==(const Released &) const = default;
};
/// @}

using Action =
    std::variant<ReadRow, CommitRow, BecomeHolder, LoseAuthority, Released>;

struct LeaseOptions {
  /// Unique for each start of a process: a process that was restarted under the
  /// same name must not take the row of its predecessor for its own.
  std::string Self;
  /// Written into the row: how long other candidates wait after its last
  /// change.
  std::chrono::milliseconds Duration{3000};
  /// The holder's authority ends this long before the duration has passed;
  /// covers clocks that run at different rates.
  std::chrono::milliseconds Margin{1000};
};

/// One candidate for the lease of one shard.
class LeaseMachine {
public:
  /// \name States, for the fault matrix.
  /// @{
  enum class Phase { Watching, Holding, Releasing, Stopped };
  /// The call to the store that has not been answered.
  enum class Waiting { Nothing, Read, Commit };
  /// @}

  explicit LeaseMachine(LeaseOptions Options);

  std::vector<Action> step(const Event &Input, BootTime Now);

  /// The only authority check: called immediately before each order is sent.
  bool mayPlan(BootTime Now) const;
  /// The epoch for orders while mayPlan() is true; otherwise empty.
  std::optional<uint64_t> epoch(BootTime Now) const;
  bool stopped() const { return m_Phase == Phase::Stopped; }
  /// The holder in the row that was read last; empty if there is none.
  const std::string &knownHolder() const { return m_Row.Holder; }

  /// Passes every member that affects later steps to \p Put, so that an
  /// exhaustive exploration recognizes a state that it has already visited.
  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_Phase, m_Waiting, m_Row.Version, m_Row.Holder, m_Row.Epoch);
    Put(m_Row.Duration, m_RowKnown, m_FirstSeen, m_CommitSent, m_NextCall);
    Put(m_InDoubt, m_Attempt.ExpectedVersion, m_Attempt.Holder);
    Put(m_Attempt.Epoch, m_FirstAttempt, m_HeldSince, m_HeldEpoch);
    Put(m_StopRequested, m_Era, m_AttemptEra, m_QuietUntil);
  }

private:
  using Actions = std::vector<Action>;

  void on(const Tick &, BootTime Now, Actions &Out);
  void on(const RowRead &, BootTime Now, Actions &Out);
  void on(const ReadFailed &, BootTime Now, Actions &Out);
  void on(const CommitSucceeded &, BootTime Now, Actions &Out);
  void on(const CommitConflicted &, BootTime Now, Actions &Out);
  void on(const CommitOutcomeUnknown &, BootTime Now, Actions &Out);
  void on(const StoreFailed &, BootTime Now, Actions &Out);
  void on(const StopRequested &, BootTime Now, Actions &Out);
  void on(const StoreRestored &, BootTime Now, Actions &Out);

  bool mayAcquire(BootTime Now) const;
  BootTime validUntil() const;
  std::chrono::nanoseconds renewInterval() const;
  void enterEra(uint64_t Era, BootTime Now, Actions &Out);
  /// Greater than every epoch of earlier eras.
  uint64_t nextEpoch() const;
  void failed(BootTime Now, Actions &Out);
  void becomeHolder(BootTime CountedFrom, BootTime Now, Actions &Out);
  void loseAuthority(Actions &Out);
  void read(BootTime Now, Actions &Out);
  void commit(CommitRow Row, BootTime Now, Actions &Out);
  void acquire(BootTime Now, Actions &Out);
  void renew(BootTime Now, Actions &Out);
  void stop(BootTime Now, Actions &Out);
  void finish(bool Written, Actions &Out);

  LeaseOptions m_Options;
  Phase m_Phase = Phase::Watching;
  Waiting m_Waiting = Waiting::Nothing;
  /// Last known content of the row.
  RowRead m_Row;
  bool m_RowKnown = false;
  /// When m_Row.Version was first seen here. The expiry of the row is counted
  /// from it, by this process's clock alone.
  BootTime m_FirstSeen{};
  /// When the pending commit was sent.
  BootTime m_CommitSent{};
  /// When the next read or commit is due.
  BootTime m_NextCall{};
  /// A commit was not answered: m_Attempt may have taken effect, or may still
  /// do so.
  bool m_InDoubt = false;
  /// Content of the last commit, and when it was first sent. The row cannot
  /// have had this content earlier.
  CommitRow m_Attempt;
  BootTime m_FirstAttempt{};
  /// While Holding, the time from which authority is counted, before the last
  /// successful commit was sent.
  BootTime m_HeldSince{};
  /// Epoch of the last time that the lease was held.
  uint64_t m_HeldEpoch = 0;
  bool m_StopRequested = false;
  /// The newest era that was seen, and the era of the last commit.
  uint64_t m_Era = 0;
  uint64_t m_AttemptEra = 0;
  /// A holder of an earlier era, whose row is lost from the store, may act
  /// until this time.
  BootTime m_QuietUntil{};
};

} // namespace figlift::lease
