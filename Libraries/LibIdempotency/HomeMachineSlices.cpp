//===- HomeMachineSlices.cpp - Grants and handovers of slices -------------===//
//
// The steps of a handover: refuse new keys, send all claims to the successor,
// write the grant to the table, announce it. The successor runs nothing before
// the grant is written, so the table alone decides whether a restarted home or
// its successor holds the slice.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/HomeMachine.h"

#include <algorithm>

namespace figlift::idempotency {

namespace {

/// Never lowers the time, so that keys which count as old stay old.
void raiseTo(std::optional<WallTime> &Until, WallTime Time) {
  Until = std::max(Until.value_or(Time), Time);
}

/// Rank of a state by how much is known about the outcome of the call.
int certainty(ClaimState State) {
  switch (State) {
  case ClaimState::Sent:
    return 0;
  case ClaimState::Unknown:
    return 1;
  case ClaimState::Answered:
    return 2;
  }
  return 0;
}

} // namespace

bool HomeMachine::serves(SliceId Slice) const {
  return m_Slices[Slice].State == SliceState::Serving;
}

uint64_t HomeMachine::epochOf(SliceId Slice) const {
  return serves(Slice) ? m_Slices[Slice].Epoch : 0;
}

/// Whether another process may have received the claims of the slice.
bool HomeMachine::wasSentToSuccessor(const SliceRecord &Slice) const {
  bool HandoverStarted = Slice.State == SliceState::HandingOver ||
                         Slice.State == SliceState::Committing ||
                         Slice.State == SliceState::Moved;
  return HandoverStarted && !Slice.Successor.empty();
}

void HomeMachine::on(const SliceGranted &Granted, StepContext &Step) {
  SliceRecord &Slice = m_Slices[Granted.Slice];
  // The row may have been read before this home handed the slice over.
  if (Granted.Epoch <= Slice.Epoch)
    return;
  bool HasClaims =
      Slice.ClaimsEpoch == Granted.Epoch && isHandoverEpoch(Granted.Epoch);
  Slice.State = SliceState::Serving;
  Slice.Epoch = Granted.Epoch;
  Slice.Successor.clear();
  switch (Granted.Reason) {
  case GrantReason::Initial:
    return;
  case GrantReason::Handover:
    // This process started after its predecessor in the slot had received the
    // claims, so they are lost as after a takeover.
    if (!HasClaims)
      raiseTo(Slice.OldKeysUntil, Step.Wall + m_Options.TakeoverGuard);
    return;
  case GrantReason::SameSlotRestart:
  case GrantReason::TableTakeover:
    raiseTo(Slice.OldKeysUntil,
            std::max(Granted.GrantedAt, Step.Wall) + m_Options.TakeoverGuard);
    return;
  }
}

void HomeMachine::on(const SliceLost &Lost, StepContext &) {
  SliceRecord &Slice = m_Slices[Lost.Slice];
  if (Slice.State == SliceState::NotHome || Lost.Epoch <= Slice.Epoch)
    return;
  Slice.State = SliceState::Moved;
}

void HomeMachine::on(const ClaimsReceived &Received, StepContext &Step) {
  SliceRecord &Slice = m_Slices[Received.Slice];
  if (m_Options.UseReceivedClaims)
    for (const Claim &Claim : Received.Claims)
      merge(Claim, Step);
  if (!Received.Complete)
    return;
  if (Received.OldKeysUntil)
    raiseTo(Slice.OldKeysUntil, *Received.OldKeysUntil);
  Slice.ClaimsEpoch = std::max(Slice.ClaimsEpoch, Received.Epoch);
  Step.Out.push_back(AcknowledgeClaims{Received.Slice, Received.Epoch});
}

/// Claims are only added or moved to a state of higher certainty, so that late
/// or duplicate messages do no harm.
void HomeMachine::merge(const Claim &Received, StepContext &Step) {
  auto [Position, IsNew] = m_Claims.try_emplace(Received.Key);
  TrackedClaim &Tracked = Position->second;
  if (IsNew) {
    Tracked.Value = Received;
    Tracked.SentByFormerHome = true;
    Tracked.AnswersAreReplays = true;
    Tracked.StateSince = Step.Now;
    return;
  }
  if (certainty(Received.State) <= certainty(Tracked.Value.State))
    return;
  Tracked.Value.Result = Received.Result;
  setOutcome(Tracked, Received.State, Step);
}

void HomeMachine::on(const HandoverRequested &Requested, StepContext &Step) {
  SliceRecord &Slice = m_Slices[Requested.Slice];
  if (Slice.State != SliceState::Serving)
    return;
  Slice.State = SliceState::HandingOver;
  Slice.Successor = Requested.Successor;
  Slice.SuccessorEpoch =
      nextHandoverEpoch(std::max(Slice.SuccessorEpoch, Slice.Epoch));
  SendClaims Message{
      Requested.Successor, Requested.Slice, Slice.SuccessorEpoch, {}, true,
      Slice.OldKeysUntil};
  for (const auto &[Key, Tracked] : m_Claims)
    if (sliceOf(Key) == Requested.Slice)
      Message.Claims.push_back(Tracked.Value);
  Step.Out.push_back(std::move(Message));
}

void HomeMachine::on(const HandoverAcknowledged &Acknowledged,
                     StepContext &Step) {
  SliceRecord &Slice = m_Slices[Acknowledged.Slice];
  if (Slice.State != SliceState::HandingOver ||
      Acknowledged.Epoch != Slice.SuccessorEpoch)
    return;
  Slice.State = SliceState::Committing;
  Step.Out.push_back(CommitGrant{Acknowledged.Slice, Slice.Successor,
                                 Slice.Epoch, Slice.SuccessorEpoch});
}

void HomeMachine::on(const HandoverFailed &Failed, StepContext &) {
  SliceRecord &Slice = m_Slices[Failed.Slice];
  if (Slice.State != SliceState::HandingOver &&
      Slice.State != SliceState::Committing)
    return;
  Slice.State = SliceState::Serving;
}

void HomeMachine::on(const GrantCommitted &Written, StepContext &Step) {
  SliceRecord &Slice = m_Slices[Written.Slice];
  if (Slice.State != SliceState::Committing ||
      Written.Epoch != Slice.SuccessorEpoch)
    return;
  Slice.State = SliceState::Moved;
  Step.Out.push_back(
      AnnounceGrant{Written.Slice, Slice.Successor, Written.Epoch});
}

} // namespace figlift::idempotency
