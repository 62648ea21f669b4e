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
void raise(std::optional<WallTime> &Until, WallTime To) {
  Until = std::max(Until.value_or(To), To);
}

/// Rank of a state by how much is known about the outcome of the call.
int knowledge(ClaimState State) {
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
bool HomeMachine::handedOn(const SliceRecord &Slice) const {
  bool Passing = Slice.State == SliceState::HandingOver ||
                 Slice.State == SliceState::Committing ||
                 Slice.State == SliceState::Moved;
  return Passing && !Slice.Successor.empty();
}

void HomeMachine::on(const SliceGranted &Granted, Context &C) {
  SliceRecord &Slice = m_Slices[Granted.Slice];
  // The row may have been read before this home handed the slice over.
  if (Granted.Epoch <= Slice.Epoch)
    return;
  bool HasClaims =
      Slice.ClaimsEpoch == Granted.Epoch && isHandoverEpoch(Granted.Epoch);
  Slice.State = SliceState::Serving;
  Slice.Epoch = Granted.Epoch;
  Slice.Successor.clear();
  switch (Granted.How) {
  case GrantReason::Initial:
    return;
  case GrantReason::Handover:
    // This process started after its predecessor in the slot had received the
    // claims, so they are lost as after a takeover.
    if (!HasClaims)
      raise(Slice.OldUntil, C.Wall + m_Options.TakeoverGuard);
    return;
  case GrantReason::SameSlotRestart:
  case GrantReason::TableTakeover:
    raise(Slice.OldUntil,
          std::max(Granted.TakenAt, C.Wall) + m_Options.TakeoverGuard);
    return;
  }
}

void HomeMachine::on(const SliceLost &Lost, Context &) {
  SliceRecord &Slice = m_Slices[Lost.Slice];
  if (Slice.State == SliceState::NotHome || Lost.Epoch <= Slice.Epoch)
    return;
  Slice.State = SliceState::Moved;
}

void HomeMachine::on(const ClaimsReceived &Received, Context &C) {
  SliceRecord &Slice = m_Slices[Received.Slice];
  if (m_Options.UseHandedClaims)
    for (const Claim &What : Received.Claims)
      merge(What, C);
  if (!Received.Complete)
    return;
  if (Received.OldUntil)
    raise(Slice.OldUntil, *Received.OldUntil);
  Slice.ClaimsEpoch = std::max(Slice.ClaimsEpoch, Received.Epoch);
  C.Out.push_back(AcknowledgeClaims{Received.Slice, Received.Epoch});
}

/// Claims are only added or moved to a state of higher certainty, so that late
/// or duplicate messages do no harm.
void HomeMachine::merge(const Claim &Received, Context &C) {
  auto [Line, New] = m_Claims.try_emplace(Received.Key);
  Entry &Known = Line->second;
  if (New) {
    Known.What = Received;
    Known.Foreign = true;
    Known.Replays = true;
    Known.Since = C.Now;
    return;
  }
  if (knowledge(Received.State) <= knowledge(Known.What.State))
    return;
  Known.What.Result = Received.Result;
  settle(Known, Received.State, C);
}

void HomeMachine::on(const HandoverRequested &Asked, Context &C) {
  SliceRecord &Slice = m_Slices[Asked.Slice];
  if (Slice.State != SliceState::Serving)
    return;
  Slice.State = SliceState::HandingOver;
  Slice.Successor = Asked.Successor;
  Slice.SuccessorEpoch =
      nextHandoverEpoch(std::max(Slice.SuccessorEpoch, Slice.Epoch));
  SendClaims All{Asked.Successor, Asked.Slice, Slice.SuccessorEpoch, {}, true,
                 Slice.OldUntil};
  for (const auto &[Key, Known] : m_Claims)
    if (sliceOf(Key) == Asked.Slice)
      All.Claims.push_back(Known.What);
  C.Out.push_back(std::move(All));
}

void HomeMachine::on(const HandoverAcknowledged &Stored, Context &C) {
  SliceRecord &Slice = m_Slices[Stored.Slice];
  if (Slice.State != SliceState::HandingOver ||
      Stored.Epoch != Slice.SuccessorEpoch)
    return;
  Slice.State = SliceState::Committing;
  C.Out.push_back(CommitGrant{Stored.Slice, Slice.Successor, Slice.Epoch,
                              Slice.SuccessorEpoch});
}

void HomeMachine::on(const HandoverFailed &Failed, Context &) {
  SliceRecord &Slice = m_Slices[Failed.Slice];
  if (Slice.State != SliceState::HandingOver &&
      Slice.State != SliceState::Committing)
    return;
  Slice.State = SliceState::Serving;
}

void HomeMachine::on(const GrantCommitted &Written, Context &C) {
  SliceRecord &Slice = m_Slices[Written.Slice];
  if (Slice.State != SliceState::Committing ||
      Written.Epoch != Slice.SuccessorEpoch)
    return;
  Slice.State = SliceState::Moved;
  C.Out.push_back(AnnounceGrant{Written.Slice, Slice.Successor, Written.Epoch});
}

} // namespace figlift::idempotency
