//===- HomeTypes.h - Claims, events and actions of a home -------*- C++ -*-===//
//
// Types of HomeMachine: the claims that a home keeps for keys, the events that
// the agent passes to the machine and the actions that the agent executes.
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

/// Answer of the target, kept for retries with the same key.
struct Answer {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  bool operator==(const Answer &) const = default;
};

enum class ClaimState {
  /// The call was sent to the target and has no outcome yet.
  Sent,
  Answered,
  /// The call may have run; its outcome is not known and it is never run again.
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

/// Why a slice was granted to its home.
enum class GrantReason {
  /// The slice never had a home before.
  Initial,
  /// The predecessor was alive and sent its claims first.
  Handover,
  /// This process replaced a dead one on the same VM and port. After binding
  /// the port it found its target in the row of grants and rewrote the grant
  /// with the next epoch. Reading the row is not sufficient, because a write by
  /// the dead process that grants the slice to a successor may take effect
  /// after the read.
  SameSlotRestart,
  /// The former home is absent from the platform's list or was retired.
  TableTakeover,
};

/// \name Events.
/// @{

/// Time has passed; sent about once a second.
struct Tick {};
struct CallReceived {
  /// Identifies the caller's stream in the actions that answer it.
  uint64_t Token = 0;
  std::string Key;
  /// Digest of the request, to detect a key that is reused for another request.
  std::string Fingerprint;
  /// mintTimeOf(Key).
  std::optional<WallTime> MintedAt;
};
/// The caller's stream has ended, so it gets no answer. The call continues.
struct CallerDisconnected {
  uint64_t Token = 0;
};
struct TargetAnswered {
  std::string Key;
  Answer Result;
};
/// Nothing of the call was sent to the target: admission control or the
/// transport refused it before the first byte.
struct TargetFailedBeforeSend {
  std::string Key;
  ResultCode Code = ResultCode::NoTargetAvailable;
};
/// The call was sent, but no complete answer arrived.
struct TargetOutcomeUnknown {
  std::string Key;
};
/// The row of grants names this target. The reason is part of the event,
/// because claims of an abandoned handover may have arrived under the same
/// epoch as a takeover. Which keys count as old depends on the time of this
/// event and not on the start of the process, because the grant may be younger
/// than the process.
struct SliceGranted {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
  GrantReason Reason = GrantReason::Initial;
  /// Lower bound of the time after which minted keys count as new. The time of
  /// this event is used if it is later.
  WallTime GrantedAt{};
};
/// The row of grants names another home with a higher epoch.
struct SliceLost {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
};
/// A predecessor sent claims.
struct ClaimsReceived {
  SliceId Slice = 0;
  /// Epoch under which the successor will hold the slice.
  uint64_t Epoch = 0;
  std::vector<Claim> Claims;
  /// Whether these are all claims of the slice. Otherwise they are outcomes of
  /// calls that were open at the handover.
  bool Complete = true;
  /// Keys minted at or before this time have an unknown outcome.
  std::optional<WallTime> OldKeysUntil;
};
/// An operator, the planner or a shutdown requests a handover of the slice.
struct HandoverRequested {
  SliceId Slice = 0;
  std::string Successor;
};
/// The successor stored the claims that were sent under this epoch.
struct HandoverAcknowledged {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
};
/// The successor did not accept the claims, or its grant certainly was not and
/// will not be written. This home continues to serve the slice.
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
    std::variant<Tick, CallReceived, CallerDisconnected, TargetAnswered,
                 TargetFailedBeforeSend, TargetOutcomeUnknown, SliceGranted,
                 SliceLost, ClaimsReceived, HandoverRequested,
                 HandoverAcknowledged, HandoverFailed, GrantCommitted>;

/// \name Actions.
/// @{

/// Send the call of this caller to the target, exactly once. One of the events
/// TargetAnswered, TargetFailedBeforeSend and TargetOutcomeUnknown follows.
struct SendToTarget {
  uint64_t Token = 0;
  std::string Key;
  bool operator==(const SendToTarget &) const = default;
};
struct AnswerCaller {
  uint64_t Token = 0;
  Answer Result;
  /// The answer is that of an earlier call with the same key.
  bool Replayed = false;
  bool operator==(const AnswerCaller &) const = default;
};
/// The call was not and will not be run.
struct RefuseCaller {
  uint64_t Token = 0;
  ResultCode Code = ResultCode::HomeMoved;
  bool operator==(const RefuseCaller &) const = default;
};
/// Answer the caller with OutcomeUnknown: the key may have run, and this home
/// does not run it again.
struct ReportUnknownOutcome {
  uint64_t Token = 0;
  bool operator==(const ReportUnknownOutcome &) const = default;
};
/// The caller waits for an open call with the same key.
struct JoinWaiters {
  uint64_t Token = 0;
  std::string Key;
  bool operator==(const JoinWaiters &) const = default;
};
/// Send claims to the successor, where they become a ClaimsReceived. If
/// Complete is set, HandoverAcknowledged or HandoverFailed follows. Otherwise
/// the claims are outcomes of calls that were open at the handover, and no
/// event follows.
struct SendClaims {
  std::string Successor;
  SliceId Slice = 0;
  uint64_t Epoch = 0;
  std::vector<Claim> Claims;
  bool Complete = true;
  std::optional<WallTime> OldKeysUntil;
  bool operator==(const SendClaims &) const = default;
};
/// Confirm to the predecessor that its claims are stored.
struct AcknowledgeClaims {
  SliceId Slice = 0;
  uint64_t Epoch = 0;
  bool operator==(const AcknowledgeClaims &) const = default;
};
/// Write the successor's grant, on condition that the row still grants
/// FromEpoch to this target. GrantCommitted follows, or HandoverFailed if the
/// grant certainly was not and will not be written because the row has another
/// version than the commit expects.
struct CommitGrant {
  SliceId Slice = 0;
  std::string Successor;
  uint64_t FromEpoch = 0;
  uint64_t Epoch = 0;
  bool operator==(const CommitGrant &) const = default;
};
/// Announce that the successor's grant is in the table.
struct AnnounceGrant {
  SliceId Slice = 0;
  std::string Successor;
  uint64_t Epoch = 0;
  bool operator==(const AnnounceGrant &) const = default;
};
/// @}

using Action = std::variant<SendToTarget, AnswerCaller, RefuseCaller,
                            ReportUnknownOutcome, JoinWaiters, SendClaims,
                            AcknowledgeClaims, CommitGrant, AnnounceGrant>;

} // namespace figlift::idempotency
