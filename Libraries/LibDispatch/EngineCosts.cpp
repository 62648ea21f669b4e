//===- EngineCosts.cpp - Cost model of prompts on an engine ---------------===//
//
// Linear in the tokens to compute, plus the quadratic cost of attention.
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
  // Each computed token attends to all tokens before it: on average the cached
  // tokens and half of the computed ones.
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
  // 1 Mbit/s = 1 kbit/ms.
  return Milliseconds(Bits / (m_Traits.LinkMbps * 1e3)) *
         (SameZone ? 1 : CrossZoneFactor);
}

} // namespace figlift::dispatch
