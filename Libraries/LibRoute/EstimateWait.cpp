//===- EstimateWait.cpp - Expected times on one target ----------*- C++ -*-===//
//
// Queue model of routing: prompts are processed one after the other at the
// measured prefill rate, and sequences then share the decode batch.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/ChooseTarget.h"

#include <algorithm>

namespace figlift::route {

namespace {

using Seconds = std::chrono::duration<double>;

struct Rates {
  double Prefill;
  double Decode;
  double Sequences;
};

/// Returns the first positive value; \p Assumed is always positive.
double firstKnown(double Measured, double PeerMean, double Assumed) {
  if (Measured > 0)
    return Measured;
  return PeerMean > 0 ? PeerMean : Assumed;
}

Rates ratesOf(const FigliftPolicy &Settings, const TargetLoad &Load,
              const PeerSpeeds &Peers) {
  const double Sequences = Load.MaximumSequences > 0
                               ? Load.MaximumSequences
                               : Settings.AssumedMaximumSequences;
  return {firstKnown(Load.PrefillTokensPerSecond, Peers.PrefillTokensPerSecond,
                     Settings.AssumedPrefillTokensPerSecond),
          firstKnown(Load.DecodeTokensPerSecond,
                     Peers.DecodeTokensPerSequence * Sequences,
                     Settings.AssumedDecodeTokensPerSecond),
          Sequences};
}

uint32_t expectedCachedTokens(const FigliftPolicy &Settings,
                              const TargetView &Target,
                              const RequestShape &Request) {
  if (!Settings.PrefixAwareness)
    return 0;
  const size_t Blocks = Target.cachedBlocks(Request.PrefixHashes);
  const size_t Tokens = Blocks * PrefixBlockTokens;
  return static_cast<uint32_t>(std::min<size_t>(Tokens, Request.PromptTokens));
}

/// Time until a sequence slot of the target is free for this request.
Seconds slotWait(const Rates &Rate, const TargetLoad &Load) {
  const double Sequences = Load.RunningSequences + Load.WaitingRequests;
  const double ExcessSequences = Sequences + 1 - Rate.Sequences;
  if (ExcessSequences <= 0 || Sequences <= 0)
    return Seconds(0);
  const double TokensPerSequence = Load.DecodeTokensWaiting / Sequences;
  return Seconds(ExcessSequences * TokensPerSequence / Rate.Decode);
}

bool mismatchesRole(const FigliftPolicy &Settings, Role TargetRole,
                    Seconds Prefill, Seconds Decode) {
  const double Total = (Prefill + Decode).count();
  if (Total <= 0)
    return false;
  if (TargetRole == Role::Decode)
    return Prefill.count() >= Settings.RoleMatchFraction * Total;
  if (TargetRole == Role::Prefill)
    return Decode.count() >= Settings.RoleMatchFraction * Total;
  return false;
}

std::chrono::microseconds microseconds(Seconds Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Time);
}

} // namespace

WaitEstimate estimateWait(const FigliftPolicy &Settings,
                          const TargetView &Target, const TargetLoad &Load,
                          const RequestShape &Request,
                          const PeerSpeeds &Peers) {
  const Rates Rate = ratesOf(Settings, Load, Peers);
  const uint32_t ExpectedTokens =
      expectedCachedTokens(Settings, Target, Request);
  const auto Saved =
      static_cast<uint32_t>(ExpectedTokens * Target.Gauge->prefixHitRatio());
  const uint64_t PrefillAhead = Settings.ClassPriorities
                                    ? Load.prefillAhead(Request.Class)
                                    : Load.prefillTotal();
  // A plain service call counts as one prompt token.
  const double RequestPrefill =
      std::max<uint32_t>(Request.PromptTokens - Saved, 1);
  const double TokenTime = Rate.Sequences / Rate.Decode;

  Seconds Prefill(RequestPrefill / Rate.Prefill);
  Seconds Decode(Request.MaximumTokens * TokenTime);
  // Compare the shares of the target's time that the two phases take; a
  // decoding sequence takes one slot of the batch.
  if (mismatchesRole(Settings, Target.CurrentRole, Prefill,
                     Decode / Rate.Sequences)) {
    Prefill *= Settings.RoleMismatchFactor;
    Decode *= Settings.RoleMismatchFactor;
  }
  Seconds Wait =
      Seconds(PrefillAhead / Rate.Prefill) + slotWait(Rate, Load) + Prefill;
  if (Load.DecodeTokensWaiting > 0)
    Wait += Seconds(TokenTime * (PrefillAhead + RequestPrefill) /
                    PrefillChunkTokens);
  return {microseconds(Wait), microseconds(Wait + Decode), Saved,
          ExpectedTokens,
          Load.PrefillTokensPerSecond > 0 &&
              (Load.DecodeTokensPerSecond > 0 || Request.MaximumTokens == 0)};
}

} // namespace figlift::route
