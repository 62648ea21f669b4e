//===- EngineCosts.h - Time that an engine needs for a prompt ---*- C++ -*-===//
//
// A small model of an engine: how long it reads a prompt, fetches the KV cache
// of one, and makes tokens. The planner compares engines by it, so the shape
// matters more than the last millisecond; measured deviations of a single
// engine are in LoadBook::slowness().
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Configuration.h"
#include "LibDispatch/LoadBook.h"
#include "LibDispatch/Prompt.h"

namespace figlift::dispatch {

struct EngineSpeeds {
  /// Prompt tokens that a prefill engine computes in a millisecond.
  double PrefillTokensPerMs = 600;
  /// Attention between each computed token and those before it, for a million
  /// pairs.
  Milliseconds PerMillionPairs{0.04};
  /// Of each read, whatever its size: scheduling and the first step.
  Milliseconds ReadOverhead{1.5};
  /// A decode engine reads prompts this many times more slowly (half the
  /// speed, by the platform's description) and in short pieces between the
  /// tokens of other requests.
  double DecodeReadFactor = 3;
  /// One token of every request in the batch.
  Milliseconds TokenStep{0.8};
  /// Setting up one transfer of KV cache.
  Milliseconds TransferSetup{0.6};
  /// A transfer between availability zones, against one inside a zone.
  double CrossZoneFactor = 2;
};

class EngineCosts {
public:
  explicit EngineCosts(EngineSpeeds Speeds) : m_Speeds(Speeds) {}

  /// Time of a prefill engine for a prompt of which \p Cached tokens are kept.
  Milliseconds read(const Prompt &What, uint32_t Cached) const;
  /// The same at a decode engine.
  Milliseconds readWhileDecoding(const Prompt &What, uint32_t Cached) const;
  /// Transfer of \p Tokens tokens of KV cache.
  Milliseconds transfer(const EngineTraits &Traits, uint32_t Tokens,
                        bool SameZone) const;
  /// Time from the first token to the last.
  Milliseconds generate(uint32_t OutputTokens) const;
  const EngineSpeeds &speeds() const { return m_Speeds; }

private:
  EngineSpeeds m_Speeds;
};

} // namespace figlift::dispatch
