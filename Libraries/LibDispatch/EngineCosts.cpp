//===- EngineCosts.cpp - Time that an engine needs for a prompt -----------===//
//
// Linear in the tokens to compute, with the quadratic part of attention.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineCosts.h"

#include <algorithm>

namespace figlift::dispatch {

Milliseconds EngineCosts::read(const Prompt &What, uint32_t Cached) const {
  const double Total = What.Tokens;
  const double Computed = Total - std::min(Total, static_cast<double>(Cached));
  // Each computed token attends to all before it: on average those that are
  // kept and half of the computed ones.
  const double Pairs = Computed * (Total - Computed / 2);
  return m_Speeds.ReadOverhead +
         Milliseconds(Computed / m_Speeds.PrefillTokensPerMs) +
         m_Speeds.PerMillionPairs * (Pairs / 1e6);
}

Milliseconds EngineCosts::readWhileDecoding(const Prompt &What,
                                            uint32_t Cached) const {
  return read(What, Cached) * m_Speeds.DecodeReadFactor;
}

Milliseconds EngineCosts::transfer(const EngineTraits &Traits, uint32_t Tokens,
                                   bool SameZone) const {
  const double Bits = 8.0 * static_cast<double>(Tokens) *
                      static_cast<double>(Traits.KvBytesPerToken);
  // A megabit a second is a kilobit a millisecond.
  const Milliseconds OnLink(Traits.LinkMbps > 0 ? Bits / (Traits.LinkMbps * 1e3)
                                                : 0);
  return m_Speeds.TransferSetup +
         OnLink * (SameZone ? 1 : m_Speeds.CrossZoneFactor);
}

Milliseconds EngineCosts::generate(uint32_t OutputTokens) const {
  return m_Speeds.TokenStep * static_cast<double>(OutputTokens);
}

} // namespace figlift::dispatch
