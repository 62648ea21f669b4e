//===- ClaimsMessage.cpp - Wire format of claims --------------------------===//
//
// Each SliceHandover ends with a marker, which is a claim with an empty key;
// claims of callers never have one. The marker's state says whether the set of
// claims is complete, and its time is the slice's OldKeysUntil (0: none).
//
//===----------------------------------------------------------------------===//

#include "ClaimsMessage.h"

namespace figlift::agent {

using idempotency::ClaimState;

/// Size at which a new message is started: half of the transport's limit for
/// one message, because the claim that exceeds it is still included.
static constexpr size_t MaximumClaimBytes = 4u << 20;
static constexpr uint32_t MarkerPartial = 0;
static constexpr uint32_t MarkerComplete = 1;
static constexpr uint32_t MarkerMore = 2;

static uint64_t toMilliseconds(WallTime Time) {
  return static_cast<uint64_t>(Time.time_since_epoch().count());
}

static WallTime toWallTime(uint64_t Milliseconds) {
  return WallTime(
      std::chrono::milliseconds(static_cast<int64_t>(Milliseconds)));
}

static uint32_t stateNumber(ClaimState State) {
  switch (State) {
  case ClaimState::Sent:
    return 1;
  case ClaimState::Answered:
    return 2;
  case ClaimState::Unknown:
    return 3;
  }
  return 3;
}

/// A number that this version does not know is read as Unknown, so that the key
/// is never run.
static ClaimState stateFromNumber(uint32_t Number) {
  if (Number == 1)
    return ClaimState::Sent;
  return Number == 2 ? ClaimState::Answered : ClaimState::Unknown;
}

static void writeClaim(const idempotency::Claim &Claim, wire::Claim &Output) {
  Output.set_key(Claim.Key);
  Output.set_state(stateNumber(Claim.State));
  Output.set_fingerprint(Claim.Fingerprint);
  Output.set_claimed_at_unix_milliseconds(toMilliseconds(Claim.ClaimedAt));
  if (!Claim.Result)
    return;
  Output.mutable_answer()->set_status(Claim.Result->Status);
  Output.mutable_answer()->set_content_type(Claim.Result->ContentType);
  Output.mutable_answer()->set_body(Claim.Result->Body);
}

static idempotency::Claim readClaim(const wire::Claim &Claim) {
  idempotency::Claim Result{Claim.key(), stateFromNumber(Claim.state()),
                            Claim.fingerprint(), std::nullopt,
                            toWallTime(Claim.claimed_at_unix_milliseconds())};
  if (Claim.has_answer())
    Result.Result = idempotency::Answer{Claim.answer().status(),
                                        Claim.answer().content_type(),
                                        Claim.answer().body()};
  return Result;
}

static wire::HandoverRequest
createMessage(const idempotency::SendClaims &Handover,
              const std::string &BackEnd, const std::string &Sender) {
  wire::HandoverRequest Message;
  Message.set_back_end(BackEnd);
  Message.set_from_target(Sender);
  wire::SliceHandover &Slice = *Message.add_slices();
  Slice.set_slice(Handover.Slice);
  Slice.set_epoch(Handover.Epoch);
  return Message;
}

static void addMarker(wire::HandoverRequest &Message, uint32_t State,
                      std::optional<WallTime> OldKeysUntil) {
  wire::Claim &Marker = *Message.mutable_slices(0)->add_claims();
  Marker.set_state(State);
  if (OldKeysUntil)
    Marker.set_claimed_at_unix_milliseconds(toMilliseconds(*OldKeysUntil));
}

std::vector<wire::HandoverRequest>
writeClaims(const idempotency::SendClaims &Handover, const std::string &BackEnd,
            const std::string &Sender) {
  std::vector<wire::HandoverRequest> Result{
      createMessage(Handover, BackEnd, Sender)};
  for (const idempotency::Claim &Claim : Handover.Claims) {
    if (Result.back().ByteSizeLong() > MaximumClaimBytes) {
      addMarker(Result.back(), MarkerMore, std::nullopt);
      Result.push_back(createMessage(Handover, BackEnd, Sender));
    }
    writeClaim(Claim, *Result.back().mutable_slices(0)->add_claims());
  }
  addMarker(Result.back(), Handover.Complete ? MarkerComplete : MarkerPartial,
            Handover.OldKeysUntil);
  return Result;
}

static idempotency::ClaimsReceived
readSlice(const wire::SliceHandover &Message) {
  idempotency::ClaimsReceived Result;
  Result.Slice = Message.slice();
  Result.Epoch = Message.epoch();
  Result.Complete = false;
  for (const wire::Claim &Claim : Message.claims()) {
    if (!Claim.key().empty()) {
      Result.Claims.push_back(readClaim(Claim));
      continue;
    }
    Result.Complete = Claim.state() == MarkerComplete;
    if (Claim.claimed_at_unix_milliseconds() != 0)
      Result.OldKeysUntil = toWallTime(Claim.claimed_at_unix_milliseconds());
  }
  return Result;
}

bool moreFollows(const wire::HandoverRequest &Message) {
  for (const wire::SliceHandover &Slice : Message.slices())
    for (const wire::Claim &Claim : Slice.claims())
      if (Claim.key().empty() && Claim.state() == MarkerMore)
        return true;
  return false;
}

std::vector<idempotency::ClaimsReceived>
readClaims(const wire::HandoverRequest &Message) {
  std::vector<idempotency::ClaimsReceived> Result;
  for (const wire::SliceHandover &Slice : Message.slices())
    if (Slice.slice() < idempotency::SliceCount)
      Result.push_back(readSlice(Slice));
  return Result;
}

} // namespace figlift::agent
