//===- EngineCosts.h - Time that an engine needs for a prompt ---*- C++ -*-===//
//
// What one prompt costs an engine, by what was learned of engines and what is
// configured of them. Measured deviations of a single engine are in
// LoadBook::slowness().
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Configuration.h"
#include "LibDispatch/LoadBook.h"
#include "LibDispatch/Prompt.h"
#include "LibEngine/EngineModel.h"

namespace figlift::dispatch {

class EngineCosts {
public:
  EngineCosts(const engine::EngineFigures &Figures, const EngineTraits &Traits)
      : m_Figures(Figures), m_Traits(Traits) {}

  /// What is to be computed of a prompt of which \p Cached tokens are kept.
  static engine::ReadSize toCompute(const Prompt &What, uint32_t Cached);
  /// Time of a prefill engine that no other prompt gets meanwhile.
  Milliseconds reading(const engine::ReadSize &Size) const;
  Milliseconds reading(const Prompt &What, uint32_t Cached) const {
    return reading(toCompute(What, Cached));
  }
  /// The same at a decode engine, between the tokens of its streams.
  Milliseconds readingWhileDecoding(const engine::ReadSize &Size) const {
    return reading(Size) * m_Figures.DecodeReadFactor;
  }
  double decodeReadFactor() const { return m_Figures.DecodeReadFactor; }
  /// Of each read besides; other prompts are computed meanwhile.
  Milliseconds readFixed() const { return m_Figures.ReadFixed; }
  /// From the sending of a run to its first event, beside transfer and reading.
  Milliseconds startFixed() const { return m_Figures.StartFixed; }
  /// Of \p Tokens tokens of KV cache, by their size and the link.
  Milliseconds onLink(uint32_t Tokens, bool SameZone) const;
  /// The same as engines really take it.
  Milliseconds transfer(uint32_t Tokens, bool SameZone) const {
    return onLink(Tokens, SameZone) * m_Figures.TransferFactor;
  }
  /// A fetch of parts in front of a read.
  Milliseconds fetch(uint32_t Tokens, bool SameZone) const {
    return m_Figures.FetchFixed + transfer(Tokens, SameZone);
  }
  const EngineTraits &traits() const { return m_Traits; }
  /// Whether reads have been measured well enough to judge an engine by them.
  bool known() const { return m_Figures.ReadWeight >= KnownWeight; }

private:
  /// A transfer between availability zones, against one inside a zone, as the
  /// platform describes it.
  static constexpr double CrossZoneFactor = 2;
  /// As many measurements as there are figures of a read.
  static constexpr double KnownWeight = 4;

  engine::EngineFigures m_Figures;
  EngineTraits m_Traits;
};

} // namespace figlift::dispatch
