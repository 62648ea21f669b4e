//===- EstimateWait.cpp - Expected times on one target ----------*- C++ -*-===//
//
// The queue model of routing: prompts are processed one after the other at
// the measured prefill rate; sequences then share the batch.
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

/// The first of the three that is known; the last one always is.
double firstKnown(double Own, double OfPeers, double Assumed) {
  if (Own > 0)
    return Own;
  return OfPeers > 0 ? OfPeers : Assumed;
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

uint32_t tokensBelieved(const FigliftPolicy &Settings, const TargetView &Target,
                        const RequestShape &Request) {
  if (!Settings.PrefixAwareness)
    return 0;
  const size_t Blocks = Target.cachedBlocks(Request.PrefixHashes);
  const size_t Tokens = Blocks * PrefixBlockTokens;
  return static_cast<uint32_t>(std::min<size_t>(Tokens, Request.PromptTokens));
}

/// Time until one of the target's sequence slots is free for this request.
Seconds slotWait(const Rates &Rate, const TargetLoad &Load) {
  const double Sequences = Load.RunningSequences + Load.WaitingRequests;
  const double Excess = Sequences + 1 - Rate.Sequences;
  if (Excess <= 0 || Sequences <= 0)
    return Seconds(0);
  const double TokensEach = Load.DecodeTokensWaiting / Sequences;
  return Seconds(Excess * TokensEach / Rate.Decode);
}

bool leansAway(const FigliftPolicy &Settings, Role Which, Seconds Prefill,
               Seconds Decode) {
  const double Whole = (Prefill + Decode).count();
  if (Whole <= 0)
    return false;
  if (Which == Role::Decode)
    return Prefill.count() >= Settings.LeaningFraction * Whole;
  if (Which == Role::Prefill)
    return Decode.count() >= Settings.LeaningFraction * Whole;
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
  const uint32_t Believed = tokensBelieved(Settings, Target, Request);
  const auto Saved =
      static_cast<uint32_t>(Believed * Target.Gauge->prefixTrust());
  const uint64_t Ahead = Settings.ClassPriorities
                             ? Load.prefillAhead(Request.Class)
                             : Load.prefillTotal();
  // A plain service call counts as one prompt token.
  const double OwnPrefill = std::max<uint32_t>(Request.PromptTokens - Saved, 1);
  const double TokenTime = Rate.Sequences / Rate.Decode;

  Seconds Prefill(OwnPrefill / Rate.Prefill);
  Seconds Decode(Request.MaximumTokens * TokenTime);
  // The share of the target that the work takes decides its leaning; decode
  // shares the batch with other sequences.
  if (leansAway(Settings, Target.CurrentRole, Prefill,
                Decode / Rate.Sequences)) {
    Prefill *= Settings.RoleMismatchFactor;
    Decode *= Settings.RoleMismatchFactor;
  }
  Seconds Wait = Seconds(Ahead / Rate.Prefill) + slotWait(Rate, Load) + Prefill;
  if (Load.DecodeTokensWaiting > 0)
    Wait += Seconds(TokenTime * (Ahead + OwnPrefill) / PrefillChunkTokens);
  return {microseconds(Wait), microseconds(Wait + Decode), Saved, Believed,
          Load.PrefillTokensPerSecond > 0 &&
              (Load.DecodeTokensPerSecond > 0 || Request.MaximumTokens == 0)};
}

} // namespace figlift::route
