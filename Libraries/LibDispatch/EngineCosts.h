//===- EngineCosts.h - Cost model of prompts on an engine -------*- C++ -*-===//
//
// Estimates the time that a prompt takes on an engine from the learned
// parameters and the configured traits of the engines of a service.
// LoadTracker::slowness() covers the deviation of a single engine.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Configuration.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/Prompt.h"
#include "LibEngine/EngineModel.h"

namespace figlift::dispatch {

class EngineCosts {
public:
  EngineCosts(const engine::EngineParameters &Parameters,
              const EngineTraits &Traits)
      : m_Parameters(Parameters), m_Traits(Traits) {}

  /// Size of the prefill of a prompt with \p CachedTokens cached tokens.
  static engine::PrefillSize uncachedSize(const Prompt &Input,
                                          uint32_t CachedTokens);
  /// Exclusive compute time on a prefill engine.
  Milliseconds prefill(const engine::PrefillSize &Size) const;
  Milliseconds prefill(const Prompt &Input, uint32_t CachedTokens) const {
    return prefill(uncachedSize(Input, CachedTokens));
  }
  /// Prefill time on a decode engine, interleaved with the decode of its
  /// streams.
  Milliseconds prefillWhileDecoding(const engine::PrefillSize &Size) const {
    return prefill(Size) * m_Parameters.DecodePrefillFactor;
  }
  double decodePrefillFactor() const {
    return m_Parameters.DecodePrefillFactor;
  }
  /// Additional fixed time of each prefill, during which the engine computes
  /// other prompts.
  Milliseconds prefillFixed() const { return m_Parameters.PrefillFixed; }
  /// Time from sending a decode request to its first event, without transfer
  /// and prefill.
  Milliseconds decodeStartFixed() const {
    return m_Parameters.DecodeStartFixed;
  }
  /// Transfer time of the KV cache of \p Tokens tokens, computed from their
  /// size and the link.
  Milliseconds nominalTransfer(uint32_t Tokens, bool SameZone) const;
  /// Transfer time corrected by the learned transfer factor.
  Milliseconds transfer(uint32_t Tokens, bool SameZone) const {
    return nominalTransfer(Tokens, SameZone) * m_Parameters.TransferFactor;
  }
  /// Time to fetch parts before a prefill.
  Milliseconds fetch(uint32_t Tokens, bool SameZone) const {
    return m_Parameters.FetchFixed + transfer(Tokens, SameZone);
  }
  const EngineTraits &traits() const { return m_Traits; }
  /// Whether the parameters rest on enough measurements to judge an engine by
  /// them.
  bool calibrated() const {
    return m_Parameters.PrefillWeight >= CalibratedWeight;
  }

private:
  /// Ratio between the transfer times across and within availability zones, as
  /// specified by the platform.
  static constexpr double CrossZoneFactor = 2;
  /// As many measurements as there are prefill parameters.
  static constexpr double CalibratedWeight = 4;

  engine::EngineParameters m_Parameters;
  EngineTraits m_Traits;
};

} // namespace figlift::dispatch
