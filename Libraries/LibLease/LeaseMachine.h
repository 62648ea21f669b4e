//===- LeaseMachine.h - Authority over one shard ----------------*- C++ -*-===//
//
// Decides whether this process may plan for one shard (back end x region). The
// lease is a row of the platform's table, changed only by compare-and-set on
// its version. The machine reads no clock and does no I/O: the shell passes
// the answers in and carries the actions out.
//
// The lease alone is not the proof: a holder that is paused after mayPlan()
// can still send. Agents therefore compare an order's epoch with the row when
// they accept it (LibOrder).
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

/// Passes time; at least a few times in each third of the duration.
struct Tick {};
/// The row as read; an absent row has version 0 and an empty holder.
struct RowRead {
  uint64_t Version = 0;
  /// Empty when nobody holds the lease (never taken, or released).
  std::string Holder;
  uint64_t Epoch = 0;
  std::chrono::milliseconds Duration{0};
  /// Of the store; 0 for one that never comes back from a copy.
  uint64_t Era = 0;
};
/// The store has come back from a copy: the row may be an earlier one, and its
/// versions are given out again.
struct StoreCameBack {
  uint64_t Era = 0;
};
struct ReadFailed {};
struct CommitSucceeded {};
/// The version differed; nothing was written.
struct CommitConflicted {};
/// The answer was lost; the write may have happened, or may still happen.
struct CommitOutcomeUnknown {};
/// The store was down; nothing was written.
struct StoreFailed {};
struct StopRequested {};
/// @}

using Event = std::variant<Tick, RowRead, ReadFailed, CommitSucceeded,
                           CommitConflicted, CommitOutcomeUnknown, StoreFailed,
                           StopRequested, StoreCameBack>;

/// \name Actions.
/// @{
struct ReadRow {
  bool operator==(const ReadRow &) const = default;
};
/// Writes the row if it still has ExpectedVersion. An empty holder releases.
struct CommitRow {
  uint64_t ExpectedVersion = 0;
  std::string Holder;
  uint64_t Epoch = 0;
  std::chrono::milliseconds Duration{0};
  bool operator==(const CommitRow &) const = default;
};
/// Authority begins; orders carry this epoch from now on.
struct BecomeHolder {
  uint64_t Epoch = 0;
  bool operator==(const BecomeHolder &) const = default;
};
/// Authority of this epoch has ended; the planner stops at once.
struct LoseAuthority {
  uint64_t Epoch = 0;
  bool operator==(const LoseAuthority &) const = default;
};
/// The machine has stopped and emits nothing more.
struct Released {
  /// False when the row could not be written: others wait for the duration.
  bool Written = false;
  bool operator==(const Released &) const = default;
};
/// @}

using Action =
    std::variant<ReadRow, CommitRow, BecomeHolder, LoseAuthority, Released>;

struct LeaseOptions {
  /// Unique for each start of a process: a process that came back under the
  /// same name must not take its predecessor's row for its own.
  std::string Self;
  /// Written into the row: how long others wait after its last change.
  std::chrono::milliseconds Duration{3000};
  /// The holder stops this much before the duration has passed; covers clocks
  /// that run at different rates.
  std::chrono::milliseconds Margin{1000};
};

/// One candidate for one shard.
class LeaseMachine {
public:
  /// \name Steps of a tenure, for the fault matrix.
  /// @{
  enum class Phase { Watching, Holding, Releasing, Stopped };
  /// The call to the store that has had no answer.
  enum class Waiting { Nothing, Read, Commit };
  /// @}

  explicit LeaseMachine(LeaseOptions Options);

  std::vector<Action> step(const Event &What, BootTime Now);

  /// The only authority check: asked immediately before each order is sent.
  bool mayPlan(BootTime Now) const;
  /// Epoch for orders while mayPlan() holds; otherwise empty.
  std::optional<uint64_t> epoch(BootTime Now) const;
  bool stopped() const { return m_Phase == Phase::Stopped; }
  /// Holder named by the row that was read last; empty when none.
  const std::string &knownHolder() const { return m_Row.Holder; }

  /// Passes every member that decides what the machine does next to \p Put, so
  /// that an exhaustive exploration recognises a state it has seen.
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
  void on(const StoreCameBack &, BootTime Now, Actions &Out);

  bool mayAcquire(BootTime Now) const;
  BootTime validUntil() const;
  std::chrono::nanoseconds renewInterval() const;
  void enterEra(uint64_t Era, BootTime Now, Actions &Out);
  /// Greater than all of earlier eras.
  uint64_t nextEpoch() const;
  void failed(BootTime Now, Actions &Out);
  void becomeHolder(BootTime CountedFrom, BootTime Now, Actions &Out);
  void loseAuthority(Actions &Out);
  void read(BootTime Now, Actions &Out);
  void commit(CommitRow What, BootTime Now, Actions &Out);
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
  /// When m_Row.Version was first seen here; the row's expiry is counted from
  /// it, on this machine's clock alone.
  BootTime m_FirstSeen{};
  /// When the commit that is under way was sent.
  BootTime m_CommitSent{};
  /// When the next read or commit is due.
  BootTime m_NextCall{};
  /// A commit had no answer: m_Attempt may have taken effect, or may yet.
  bool m_InDoubt = false;
  /// Content of the last commit, and when that content was sent first. The row
  /// cannot have changed to it earlier.
  CommitRow m_Attempt;
  BootTime m_FirstAttempt{};
  /// While Holding: authority is counted from here, a time before the last
  /// successful commit was sent.
  BootTime m_HeldSince{};
  /// Epoch of the last tenure.
  uint64_t m_HeldEpoch = 0;
  bool m_StopRequested = false;
  /// Newest one that was seen, and that of the last commit.
  uint64_t m_Era = 0;
  uint64_t m_AttemptEra = 0;
  /// A holder of an earlier era, whose row the store has forgotten, may act
  /// until then.
  BootTime m_QuietUntil{};
};

} // namespace figlift::lease
