//===- SpeedEstimator.h - Measured speeds of a target -----------*- C++ -*-===//
//
// A target that runs prefill and decode concurrently divides its time between
// both, so neither speed can be measured directly: under load, plain averages
// of both would be too low, and together they would make a half-utilized engine
// look overloaded. The decode step is therefore measured with tokens that no
// prompt delayed, and the time of decode steps is subtracted from the time of
// prefill.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstdint>

namespace figlift::admission {

class SpeedEstimator {
public:
  using Seconds = std::chrono::duration<double>;

  /// When a sequence produced its last token.
  struct TokenMark {
    BootTime At;
    /// Total time with prompts at the target until then.
    Seconds PromptTime{0};
  };

  /// Sets whether there are unprocessed prompts at the target from now on.
  void setPromptsWaiting(bool Waiting, BootTime Now);
  void recordPrefill(uint64_t ComputedTokens, BootTime Now);
  /// Records that one of \p Sequences decoding sequences produced \p Tokens
  /// since \p Last, and updates \p Last.
  void recordTokens(TokenMark &Last, uint32_t Tokens, size_t Sequences,
                    BootTime Now);
  TokenMark mark(BootTime Now);
  /// Discards all measurements, because the target may have a new role.
  void reset();

  /// Prefill speed of a target that does nothing else; 0 before the first
  /// measurement.
  double prefillTokensPerSecond() const { return m_PrefillRate; }
  /// Time in which each sequence of the batch produces one token; 0 before the
  /// first measurement.
  Seconds decodeStep() const { return m_Step; }

private:
  void advance(BootTime Now);

  bool m_PromptsWaiting = false;
  BootTime m_Since;
  /// Total time with prompts at the target.
  Seconds m_PromptTime{0};

  // Current measurement window of prefill; it started when m_PromptTime was
  // m_WindowStart.
  Seconds m_WindowStart{0};
  double m_StepsInWindow = 0;
  uint64_t m_PromptTokens = 0;

  double m_PrefillRate = 0;
  Seconds m_Step{0};
  /// If false, m_Step is 0 or an upper bound.
  bool m_StepIsMeasured = false;
};

} // namespace figlift::admission
