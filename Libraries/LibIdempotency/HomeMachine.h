//===- HomeMachine.h - At most one run per key ------------------*- C++ -*-===//
//
// The home of some slices of one back end's keys. A keyed call runs only at
// the home of its key, so that repeated keys meet there; the home remembers
// what it sent. Grants have no expiry and need no store while they last: a
// slice moves only on proof that its former home has stopped.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/HomeTypes.h"

#include <array>
#include <chrono>
#include <map>

namespace figlift::idempotency {

struct HomeOptions {
  /// m1: a key minted further ahead of this machine's wall clock is refused.
  std::chrono::milliseconds MaximumAhead{2000};
  /// m2: after a takeover at T, keys minted until T + m2 count as old. Must be
  /// at least MaximumAhead plus the greatest difference between two machines'
  /// wall clocks.
  std::chrono::milliseconds TakeoverGuard{3000};
  /// How long a settled claim is kept.
  std::chrono::milliseconds Retention{std::chrono::hours{24}};
  /// How long callers wait for the outcome of a call that the former home had
  /// open at the handover.
  std::chrono::milliseconds ForeignWait{30000};
  /// New keys are refused (LimitReached) while this many claims are kept.
  size_t MaximumClaims = 200000;

  /// \name Switches for tests, which show that the exploration of the machine
  /// finds the double runs that these rules prevent.
  /// @{
  bool UseTakeoverRule = true;
  bool UseAheadRule = true;
  bool UseHandedClaims = true;
  /// @}
};

class HomeMachine {
public:
  enum class SliceState {
    NotHome,
    Serving,
    /// Claims were sent, the successor has not acknowledged them.
    HandingOver,
    /// Acknowledged; the grant is being written, or its outcome is open.
    Committing,
    /// Another home holds the slice.
    Moved,
  };

  explicit HomeMachine(HomeOptions Options);

  /// \p Wall is compared with the mint times of keys only; ages use \p Now.
  std::vector<Action> step(const Event &What, BootTime Now, WallTime Wall);

  bool serves(SliceId Slice) const;
  /// Epoch of the grant that this home serves, or 0.
  uint64_t epochOf(SliceId Slice) const;
  size_t claimCount() const { return m_Claims.size(); }
  /// Calls handed to the target whose outcome is open.
  size_t openCalls() const;
  const Claim *find(const std::string &Key) const;

  /// Passes every member that decides what the machine does next to \p Put, so
  /// that an exhaustive exploration recognises a state it has seen.
  template <typename Sink> void describe(Sink &&Put) const {
    for (SliceId Slice = 0; Slice != SliceCount; ++Slice) {
      const SliceRecord &Record = m_Slices[Slice];
      if (Record.State == SliceState::NotHome && Record.ClaimsEpoch == 0)
        continue;
      Put(Slice, Record.State, Record.Epoch, Record.ClaimsEpoch);
      Put(Record.OldUntil.value_or(WallTime{}), Record.Successor,
          Record.SuccessorEpoch);
    }
    for (const auto &[Key, Known] : m_Claims) {
      Put(Key, Known.What.State, Known.Foreign, Known.Replays);
      Put(Known.Since);
      for (uint64_t Token : Known.Waiters)
        Put(Token);
    }
  }

private:
  struct SliceRecord {
    SliceState State = SliceState::NotHome;
    uint64_t Epoch = 0;
    /// Epoch of the complete claims that a predecessor sent; 0 when none.
    uint64_t ClaimsEpoch = 0;
    /// Keys minted at or before it, and keys without a mint time, may have run
    /// at a former home. Never moves back; travels with a handover.
    std::optional<WallTime> OldUntil;
    /// Home that the claims were sent to; updates of open calls go there.
    std::string Successor;
    /// Higher with each attempt, so that the acknowledgement of an attempt
    /// that was given up is not taken for that of the next.
    uint64_t SuccessorEpoch = 0;
  };

  struct Entry {
    Claim What;
    /// The call is open at a former home, not here.
    bool Foreign = false;
    /// Whoever is answered from now on gets the answer of an earlier call.
    bool Replays = false;
    BootTime Since{};
    /// Callers that wait; the first is the one whose call was sent.
    std::vector<uint64_t> Waiters;
  };

  using Actions = std::vector<Action>;
  struct Context {
    BootTime Now;
    WallTime Wall;
    Actions &Out;
  };

  void on(const Tick &, Context &C);
  void on(const CallReceived &, Context &C);
  void on(const CallerGone &, Context &C);
  void on(const TargetAnswered &, Context &C);
  void on(const TargetFailedBeforeSend &, Context &C);
  void on(const TargetOutcomeUnknown &, Context &C);
  void on(const SliceGranted &, Context &C);
  void on(const SliceLost &, Context &C);
  void on(const ClaimsReceived &, Context &C);
  void on(const HandoverRequested &, Context &C);
  void on(const HandoverAcknowledged &, Context &C);
  void on(const HandoverFailed &, Context &C);
  void on(const GrantCommitted &, Context &C);

  void repeat(Entry &Known, const CallReceived &Call, Context &C);
  std::optional<ResultCode> refusalOf(const CallReceived &Call,
                                      WallTime Wall) const;
  bool mayHaveRunBefore(const CallReceived &Call, const SliceRecord &Slice,
                        WallTime Wall) const;
  void settle(Entry &Open, ClaimState State, Context &C);
  void answerWaiters(Entry &Settled, Context &C);
  void forward(const Entry &Settled, Context &C);
  void merge(const Claim &Received, Context &C);
  bool handedOn(const SliceRecord &Slice) const;

  HomeOptions m_Options;
  std::array<SliceRecord, SliceCount> m_Slices{};
  /// Claims of slices that moved stay until the retention ends: a caller who
  /// comes to the old home with a key that ran there gets its answer.
  std::map<std::string, Entry> m_Claims;
};

} // namespace figlift::idempotency
