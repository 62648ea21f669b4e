//===- SpeedEstimator.h - Measured speeds of a target -----------*- C++ -*-===//
//
// A target that processes prompts and decodes at the same time divides its
// time between both, so neither speed can be read off directly: under load the
// plain averages of both would come out too low, and their sum would show an
// engine that is overloaded when it is half busy. So the decode step is taken
// from tokens that no prompt delayed, and the time of the decode steps is left
// out of the time of the prompts.
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

  /// When a sequence got its last token.
  struct TokenMark {
    BootTime At;
    /// The estimator's clock of time with prompts at the target.
    Seconds PromptTime{0};
  };

  /// Whether prompts are at the target from now on.
  void promptsWait(bool Any, BootTime Now);
  void promptDone(uint64_t ComputedTokens, BootTime Now);
  /// The sequence of \p Last, one of \p Sequences, got \p Tokens more.
  void tokensDone(TokenMark &Last, uint32_t Tokens, size_t Sequences,
                  BootTime Now);
  TokenMark mark(BootTime Now);
  /// The target changed its role: nothing measured counts any more.
  void forget();

  /// Of a target that does nothing else; 0 before the first measurement.
  double promptTokensPerSecond() const { return m_PromptRate; }
  /// Of one token of each sequence in the batch; 0 before the first one.
  Seconds decodeStep() const { return m_Step; }

private:
  void advance(BootTime Now);

  bool m_PromptsWait = false;
  BootTime m_Since;
  /// Total time with prompts at the target.
  Seconds m_PromptTime{0};

  // The open window of prompt work; its time begins at m_WindowStart of
  // m_PromptTime.
  Seconds m_WindowStart{0};
  double m_StepsMeanwhile = 0;
  uint64_t m_PromptTokens = 0;

  double m_PromptRate = 0;
  Seconds m_Step{0};
  /// False: m_Step is at most an upper bound.
  bool m_StepIsMeasured = false;
};

} // namespace figlift::admission
