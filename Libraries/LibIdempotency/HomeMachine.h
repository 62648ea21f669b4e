//===- HomeMachine.h - At most one run per key ------------------*- C++ -*-===//
//
// State machine of the home of some slices of one back end's keys. A call with
// an idempotency key runs only at the home of its key, which keeps a claim for
// each key that it sent, so that retries find it. Grants do not expire, and
// serving them needs no access to the store: a slice moves only after proof
// that its former home has stopped serving it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibIdempotency/HomeTypes.h"

#include <array>
#include <chrono>
#include <map>

namespace figlift::idempotency {

struct HomeOptions {
  /// A key that was minted further ahead of this VM's wall clock is
  /// refused.
  std::chrono::milliseconds MaximumKeyAhead{2000};
  /// After a takeover at T, keys that were minted until T + TakeoverGuard count
  /// as old. Must be at least MaximumKeyAhead plus the largest difference
  /// between the wall clocks of two VMs.
  std::chrono::milliseconds TakeoverGuard{3000};
  /// How long a settled claim is kept.
  std::chrono::milliseconds Retention{std::chrono::hours{24}};
  /// How long callers wait for the outcome of a call that was open at the
  /// former home when it handed the slice over.
  std::chrono::milliseconds FormerHomeTimeout{30000};
  /// New keys are refused (LimitReached) while there are this many claims.
  size_t MaximumClaims = 200000;

  /// \name Switches for tests. With one of these rules off, the exploration of
  /// the state machine has to find a key that runs twice.
  /// @{
  bool UseTakeoverRule = true;
  bool UseAheadRule = true;
  bool UseReceivedClaims = true;
  /// @}
};

class HomeMachine {
public:
  enum class SliceState {
    NotHome,
    Serving,
    /// Claims were sent; the successor has not acknowledged them.
    HandingOver,
    /// Claims were acknowledged; the grant is being written or the outcome of
    /// the write is unknown.
    Committing,
    /// Another home holds the slice.
    Moved,
  };

  explicit HomeMachine(HomeOptions Options);

  /// \p Wall is compared only with the mint times of keys; ages are measured by
  /// \p Now.
  std::vector<Action> step(const Event &Event, BootTime Now, WallTime Wall);

  bool serves(SliceId Slice) const;
  /// Epoch of the grant under which this home serves the slice, or 0.
  uint64_t epochOf(SliceId Slice) const;
  size_t claimCount() const { return m_Claims.size(); }
  /// Number of calls that were sent to the target and have no outcome yet.
  size_t openCalls() const;
  const Claim *find(const std::string &Key) const;

  /// Passes every member that influences future steps to \p Put, so that an
  /// exhaustive exploration recognizes a state that it has visited.
  template <typename Sink> void describe(Sink &&Put) const {
    for (SliceId Slice = 0; Slice != SliceCount; ++Slice) {
      const SliceRecord &Record = m_Slices[Slice];
      if (Record.State == SliceState::NotHome && Record.ClaimsEpoch == 0)
        continue;
      Put(Slice, Record.State, Record.Epoch, Record.ClaimsEpoch);
      Put(Record.OldKeysUntil.value_or(WallTime{}), Record.Successor,
          Record.SuccessorEpoch);
    }
    for (const auto &[Key, Tracked] : m_Claims) {
      Put(Key, Tracked.Value.State, Tracked.SentByFormerHome,
          Tracked.AnswersAreReplays);
      Put(Tracked.StateSince);
      for (uint64_t Token : Tracked.Waiters)
        Put(Token);
    }
  }

private:
  struct SliceRecord {
    SliceState State = SliceState::NotHome;
    uint64_t Epoch = 0;
    /// Epoch of the complete claims that a predecessor sent; 0 if none.
    uint64_t ClaimsEpoch = 0;
    /// Keys minted at or before this time, and keys without a mint time, may
    /// have run at a former home. Never decreases; handed over with the slice.
    std::optional<WallTime> OldKeysUntil;
    /// Home to which the claims were sent. Outcomes of open calls are sent to
    /// it as well.
    std::string Successor;
    /// Increases with each handover attempt, so that a late acknowledgment of
    /// an abandoned attempt is not taken for that of the current one.
    uint64_t SuccessorEpoch = 0;
  };

  struct TrackedClaim {
    Claim Value;
    /// The call was sent by a former home, which reports its outcome.
    bool SentByFormerHome = false;
    /// All further answers are replays of the answer of an earlier call.
    bool AnswersAreReplays = false;
    /// Time of the last change of the claim's state.
    BootTime StateSince{};
    /// Callers that wait for the outcome. For a call that was sent here, the
    /// first one is the caller whose request was sent.
    std::vector<uint64_t> Waiters;
  };

  using Actions = std::vector<Action>;
  struct StepContext {
    BootTime Now;
    WallTime Wall;
    Actions &Out;
  };

  void on(const Tick &, StepContext &Step);
  void on(const CallReceived &, StepContext &Step);
  void on(const CallerDisconnected &, StepContext &Step);
  void on(const TargetAnswered &, StepContext &Step);
  void on(const TargetFailedBeforeSend &, StepContext &Step);
  void on(const TargetOutcomeUnknown &, StepContext &Step);
  void on(const SliceGranted &, StepContext &Step);
  void on(const SliceLost &, StepContext &Step);
  void on(const ClaimsReceived &, StepContext &Step);
  void on(const HandoverRequested &, StepContext &Step);
  void on(const HandoverAcknowledged &, StepContext &Step);
  void on(const HandoverFailed &, StepContext &Step);
  void on(const GrantCommitted &, StepContext &Step);

  void joinOrReplay(TrackedClaim &Tracked, const CallReceived &Call,
                    StepContext &Step);
  std::optional<ResultCode> refusalCode(const CallReceived &Call,
                                        WallTime Wall) const;
  bool mayHaveRunBefore(const CallReceived &Call, const SliceRecord &Slice,
                        WallTime Wall) const;
  void setOutcome(TrackedClaim &Tracked, ClaimState State, StepContext &Step);
  void answerWaiters(TrackedClaim &Tracked, StepContext &Step);
  void forwardOutcome(const TrackedClaim &Tracked, StepContext &Step);
  void merge(const Claim &Received, StepContext &Step);
  bool wasSentToSuccessor(const SliceRecord &Slice) const;

  HomeOptions m_Options;
  std::array<SliceRecord, SliceCount> m_Slices{};
  /// Claims of slices that have moved are kept until their retention ends, so
  /// that a caller who retries at the old home gets the answer of a key that
  /// ran there.
  std::map<std::string, TrackedClaim> m_Claims;
};

} // namespace figlift::idempotency
