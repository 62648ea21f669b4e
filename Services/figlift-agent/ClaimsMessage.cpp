//===- ClaimsMessage.cpp - Claims on the wire -----------------------------===//
//
// Each SliceHandover ends with a marker: a claim with an empty key. Its state
// says whether the set of claims is complete, its time is the slice's OldUntil
// (0: none). No caller's claim has an empty key.
//
//===----------------------------------------------------------------------===//

#include "ClaimsMessage.h"

namespace figlift::agent {

using idempotency::ClaimState;

/// Half of the transport's limit for one message.
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

static uint32_t numberOf(ClaimState State) {
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

/// A number of a newer version counts as unknown: such a key never runs.
static ClaimState stateOf(uint32_t Number) {
  if (Number == 1)
    return ClaimState::Sent;
  return Number == 2 ? ClaimState::Answered : ClaimState::Unknown;
}

static void writeClaim(const idempotency::Claim &From, wire::Claim &To) {
  To.set_key(From.Key);
  To.set_state(numberOf(From.State));
  To.set_fingerprint(From.Fingerprint);
  To.set_claimed_at_unix_milliseconds(toMilliseconds(From.ClaimedAt));
  if (!From.Result)
    return;
  To.mutable_answer()->set_status(From.Result->Status);
  To.mutable_answer()->set_content_type(From.Result->ContentType);
  To.mutable_answer()->set_body(From.Result->Body);
}

static idempotency::Claim readClaim(const wire::Claim &From) {
  idempotency::Claim Out{From.key(), stateOf(From.state()), From.fingerprint(),
                         std::nullopt,
                         toWallTime(From.claimed_at_unix_milliseconds())};
  if (From.has_answer())
    Out.Result =
        idempotency::Answer{From.answer().status(),
                            From.answer().content_type(), From.answer().body()};
  return Out;
}

static wire::HandoverRequest beginMessage(const idempotency::SendClaims &What,
                                          const std::string &BackEnd,
                                          const std::string &From) {
  wire::HandoverRequest Message;
  Message.set_back_end(BackEnd);
  Message.set_from_target(From);
  wire::SliceHandover &Slice = *Message.add_slices();
  Slice.set_slice(What.Slice);
  Slice.set_epoch(What.Epoch);
  return Message;
}

static void addMarker(wire::HandoverRequest &Message, uint32_t State,
                      std::optional<WallTime> OldUntil) {
  wire::Claim &Marker = *Message.mutable_slices(0)->add_claims();
  Marker.set_state(State);
  if (OldUntil)
    Marker.set_claimed_at_unix_milliseconds(toMilliseconds(*OldUntil));
}

std::vector<wire::HandoverRequest>
writeClaims(const idempotency::SendClaims &What, const std::string &BackEnd,
            const std::string &From) {
  std::vector<wire::HandoverRequest> Out{beginMessage(What, BackEnd, From)};
  for (const idempotency::Claim &Claim : What.Claims) {
    if (Out.back().ByteSizeLong() > MaximumClaimBytes) {
      addMarker(Out.back(), MarkerMore, std::nullopt);
      Out.push_back(beginMessage(What, BackEnd, From));
    }
    writeClaim(Claim, *Out.back().mutable_slices(0)->add_claims());
  }
  addMarker(Out.back(), What.Complete ? MarkerComplete : MarkerPartial,
            What.OldUntil);
  return Out;
}

static idempotency::ClaimsReceived
readSlice(const wire::SliceHandover &Message) {
  idempotency::ClaimsReceived Out;
  Out.Slice = Message.slice();
  Out.Epoch = Message.epoch();
  Out.Complete = false;
  for (const wire::Claim &Claim : Message.claims()) {
    if (!Claim.key().empty()) {
      Out.Claims.push_back(readClaim(Claim));
      continue;
    }
    Out.Complete = Claim.state() == MarkerComplete;
    if (Claim.claimed_at_unix_milliseconds() != 0)
      Out.OldUntil = toWallTime(Claim.claimed_at_unix_milliseconds());
  }
  return Out;
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
  std::vector<idempotency::ClaimsReceived> Out;
  for (const wire::SliceHandover &Slice : Message.slices())
    if (Slice.slice() < idempotency::SliceCount)
      Out.push_back(readSlice(Slice));
  return Out;
}

} // namespace figlift::agent
