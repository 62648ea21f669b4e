//===- EngineCosts.cpp - Time that an engine needs for a prompt -----------===//
//
// Linear in the tokens to compute, with the quadratic part of attention.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineCosts.h"

#include <algorithm>

namespace figlift::dispatch {

engine::PrefillSize EngineCosts::uncachedSize(const Prompt &Input,
                                              uint32_t CachedTokens) {
  const double Total = Input.Tokens;
  const double Computed =
      Total - std::min(Total, static_cast<double>(CachedTokens));
  // Each computed token attends to all before it: on average those that are
  // kept and half of the computed ones.
  return {Computed, Computed * (Total - Computed / 2) / 1e6};
}

Milliseconds EngineCosts::prefill(const engine::PrefillSize &Size) const {
  return m_Parameters.PrefillPerThousandTokens * (Size.Tokens / 1000) +
         m_Parameters.PrefillPerMillionPairs * Size.MillionPairs;
}

Milliseconds EngineCosts::nominalTransfer(uint32_t Tokens,
                                          bool SameZone) const {
  const double Bits = 8.0 * static_cast<double>(Tokens) *
                      static_cast<double>(m_Traits.KvBytesPerToken);
  if (m_Traits.LinkMbps <= 0)
    return Milliseconds(0);
  // A megabit a second is a kilobit a millisecond.
  return Milliseconds(Bits / (m_Traits.LinkMbps * 1e3)) *
         (SameZone ? 1 : CrossZoneFactor);
}

} // namespace figlift::dispatch
