//===- EngineCosts.h - Time that an engine needs for a prompt ---*- C++ -*-===//
//
// What one prompt costs an engine, by what was learned of engines and what is
// configured of them. Measured deviations of a single engine are in
// LoadTracker::slowness().
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

  /// What is to be computed of a prompt of which \p Cached tokens are kept.
  static engine::PrefillSize uncachedSize(const Prompt &Input,
                                          uint32_t CachedTokens);
  /// Time of a prefill engine that no other prompt gets meanwhile.
  Milliseconds prefill(const engine::PrefillSize &Size) const;
  Milliseconds prefill(const Prompt &Input, uint32_t CachedTokens) const {
    return prefill(uncachedSize(Input, CachedTokens));
  }
  /// The same at a decode engine, between the tokens of its streams.
  Milliseconds prefillWhileDecoding(const engine::PrefillSize &Size) const {
    return prefill(Size) * m_Parameters.DecodePrefillFactor;
  }
  double decodePrefillFactor() const {
    return m_Parameters.DecodePrefillFactor;
  }
  /// Of each read besides; other prompts are computed meanwhile.
  Milliseconds prefillFixed() const { return m_Parameters.PrefillFixed; }
  /// From the sending of a run to its first event, beside transfer and reading.
  Milliseconds decodeStartFixed() const {
    return m_Parameters.DecodeStartFixed;
  }
  /// Of \p Tokens tokens of KV cache, by their size and the link.
  Milliseconds nominalTransfer(uint32_t Tokens, bool SameZone) const;
  /// The same as engines really take it.
  Milliseconds transfer(uint32_t Tokens, bool SameZone) const {
    return nominalTransfer(Tokens, SameZone) * m_Parameters.TransferFactor;
  }
  /// A fetch of parts in front of a read.
  Milliseconds fetch(uint32_t Tokens, bool SameZone) const {
    return m_Parameters.FetchFixed + transfer(Tokens, SameZone);
  }
  const EngineTraits &traits() const { return m_Traits; }
  /// Whether reads have been measured well enough to judge an engine by them.
  bool calibrated() const {
    return m_Parameters.PrefillWeight >= CalibratedWeight;
  }

private:
  /// A transfer between availability zones, against one inside a zone, as the
  /// platform describes it.
  static constexpr double CrossZoneFactor = 2;
  /// As many measurements as there are figures of a read.
  static constexpr double CalibratedWeight = 4;

  engine::EngineParameters m_Parameters;
  EngineTraits m_Traits;
};

} // namespace figlift::dispatch
