//===- HomeTypes.h - Claims, events and actions of a home -------*- C++ -*-===//
//
// Vocabulary of the home machine: what a home remembers of a key, what the
// agent's shell tells it and what it is told to do.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/ResultCode.h"
#include "LibIdempotency/Slice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figlift::idempotency {

/// Answer of the target, kept for callers who repeat the key.
struct Answer {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  bool operator==(const Answer &) const = default;
};

enum class ClaimState {
  /// Handed to the target; the outcome is open.
  Sent,
  Answered,
  /// May have run; it is never run again and its outcome is not known.
  Unknown,
};

struct Claim {
  std::string Key;
  ClaimState State = ClaimState::Sent;
  std::string Fingerprint;
  std::optional<Answer> Result;
  WallTime ClaimedAt{};
  bool operator==(const Claim &) const = default;
};

/// How a slice came to its home.
enum class GrantReason {
  /// The slice never had a home before.
  Initial,
  /// The living predecessor sent its claims first.
  Handover,
  /// This process replaced a dead one in the same slot: after it had bound the
  /// port it found its target in the row of grants and wrote the grant anew
  /// with the next epoch. Reading alone would not do: a grant for a successor
  /// that the dead process sent may take effect after the reading.
  SameSlotRestart,
  /// The former home is gone from the platform's list or was retired.
  TableTakeover,
};

/// \name Events.
/// @{

/// Passes time; about once a second.
struct Tick {};
struct CallReceived {
  /// Names the caller's stream; comes back in the answer.
  uint64_t Token = 0;
  std::string Key;
  /// Digest of the request, so that a key is not used for another one.
  std::string Fingerprint;
  /// mintTimeOf(Key).
  std::optional<WallTime> MintedAt;
};
/// The caller's stream has ended; it gets no answer. The call goes on.
struct CallerGone {
  uint64_t Token = 0;
};
struct TargetAnswered {
  std::string Key;
  Answer Result;
};
/// Nothing of the call was handed to the target (refused by admission or by
/// the transport before a byte was sent).
struct TargetFailedBeforeSend {
  std::string Key;
  ResultCode Code = ResultCode::NoTargetAvailable;
};
/// Handed over, and no whole answer came.
struct TargetOutcomeUnknown {
  std::string Key;
};
/// The row of grants names this target. The row records how it came to that,
/// because claims of a handover that was given up may have arrived under the
/// same epoch as a takeover. Keys count as old by the time of this event and
/// not by the start of the process: the grant may be younger than the process.
struct SliceGranted {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
  GrantReason How = GrantReason::Initial;
  /// Lower bound of the time from which keys are new; earlier than this event
  /// it is not believed.
  WallTime TakenAt{};
};
/// The row of grants names another home with a higher epoch.
struct SliceLost {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
};
/// Claims of a predecessor.
struct ClaimsReceived {
  SliceId Slice = 0;
  /// Epoch under which the successor will hold the slice.
  uint64_t Epoch = 0;
  std::vector<Claim> Claims;
  /// All claims of the slice; otherwise the outcomes of calls that were open
  /// at the handover.
  bool Complete = true;
  /// Keys minted at or before this time have an unknown outcome.
  std::optional<WallTime> OldUntil;
};
/// An operator, the planner or a stop asks this home to pass a slice on.
struct HandoverRequested {
  SliceId Slice = 0;
  std::string Successor;
};
/// The successor keeps the claims that were sent with this epoch.
struct HandoverAcknowledged {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
};
/// The successor did not take the claims, or the grant is known not to be
/// written and not to be on its way: this home goes on with the slice.
struct HandoverFailed {
  SliceId Slice = 0;
};
/// The grant of the successor is in the table.
struct GrantCommitted {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
};
/// @}

using Event =
    std::variant<Tick, CallReceived, CallerGone, TargetAnswered,
                 TargetFailedBeforeSend, TargetOutcomeUnknown, SliceGranted,
                 SliceLost, ClaimsReceived, HandoverRequested,
                 HandoverAcknowledged, HandoverFailed, GrantCommitted>;

/// \name Actions.
/// @{

/// Hand the call of this caller to the target, once. Answered by one of the
/// Target events.
struct SendToTarget {
  uint64_t Token = 0;
  std::string Key;
  bool operator==(const SendToTarget &) const = default;
};
struct AnswerCaller {
  uint64_t Token = 0;
  Answer Result;
  /// The answer of an earlier call with the same key.
  bool Replayed = false;
  bool operator==(const AnswerCaller &) const = default;
};
/// This call was not and will not be run.
struct RefuseCaller {
  uint64_t Token = 0;
  ResultCode Code = ResultCode::HomeMoved;
  bool operator==(const RefuseCaller &) const = default;
};
/// OutcomeUnknown: the key may have run; it will not run again here.
struct UnknownToCaller {
  uint64_t Token = 0;
  bool operator==(const UnknownToCaller &) const = default;
};
/// The caller waits for a call with its key that is under way.
struct JoinWaiters {
  uint64_t Token = 0;
  std::string Key;
  bool operator==(const JoinWaiters &) const = default;
};
/// Send claims to the next home, a ClaimsReceived there. When it is Complete
/// HandoverAcknowledged or HandoverFailed follows; the outcome of a call that
/// was open at the handover needs no answer.
struct SendClaims {
  std::string Successor;
  SliceId Slice = 0;
  uint64_t Epoch = 0;
  std::vector<Claim> Claims;
  bool Complete = true;
  std::optional<WallTime> OldUntil;
  bool operator==(const SendClaims &) const = default;
};
/// The successor keeps these claims now.
struct AcknowledgeClaims {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
  bool operator==(const AcknowledgeClaims &) const = default;
};
/// Write the successor's grant, on condition that the row still grants
/// FromEpoch to this target. GrantCommitted follows, or HandoverFailed when it
/// is certain that the grant neither was nor will be written: the row has
/// another version than the commit expected.
struct CommitGrant {
  SliceId Slice = 0;
  std::string Successor;
  uint64_t FromEpoch = 0;
  uint64_t Epoch = 0;
  bool operator==(const CommitGrant &) const = default;
};
/// Tell the successor, and the entries, that the grant is in the table.
struct AnnounceGrant {
  SliceId Slice = 0;
  std::string Successor;
  uint64_t Epoch = 0;
  bool operator==(const AnnounceGrant &) const = default;
};
/// @}

using Action = std::variant<SendToTarget, AnswerCaller, RefuseCaller,
                            UnknownToCaller, JoinWaiters, SendClaims,
                            AcknowledgeClaims, CommitGrant, AnnounceGrant>;

} // namespace figlift::idempotency
