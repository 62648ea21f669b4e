//===- SpeedEstimator.cpp - Measured speeds of a target ---------*- C++ -*-===//
//
// Moving averages of the prefill speed and the decode step.
//
//===----------------------------------------------------------------------===//

#include "LibAdmission/SpeedEstimator.h"

#include <algorithm>
#include <cmath>

namespace figlift::admission {

namespace {

using Seconds = SpeedEstimator::Seconds;

/// Prefill time of a sample: long enough for a few chunks of prompts.
constexpr Seconds Window{0.25};
/// Prefill time of the first sample, short so that a speed is available soon.
constexpr Seconds FirstWindow{0.02};
constexpr double RateWeight = 0.2;
constexpr double StepWeight = 0.05;
/// Limit on the part of the prefill time that is attributed to decode steps; a
/// larger part means that the estimate of the step is out of date.
constexpr double MaximumDecodeFraction = 0.8;

} // namespace

void SpeedEstimator::advance(BootTime Now) {
  if (m_PromptsWaiting && Now > m_Since)
    m_PromptTime += Now - m_Since;
  m_Since = Now;
}

void SpeedEstimator::setPromptsWaiting(bool Waiting, BootTime Now) {
  advance(Now);
  m_PromptsWaiting = Waiting;
}

void SpeedEstimator::recordPrefill(uint64_t ComputedTokens, BootTime Now) {
  advance(Now);
  m_PromptTokens += ComputedTokens;
  const Seconds Time = m_PromptTime - m_WindowStart;
  if (m_PromptTokens == 0 || Time < (m_PrefillRate > 0 ? Window : FirstWindow))
    return;
  // An upper bound of the step includes prefill time, so it is not subtracted.
  const Seconds Decode =
      m_StepIsMeasured
          ? std::min(m_Step * m_StepsInWindow, Time * MaximumDecodeFraction)
          : Seconds(0);
  const double Sample = m_PromptTokens / (Time - Decode).count();
  m_PrefillRate = m_PrefillRate > 0
                      ? m_PrefillRate + RateWeight * (Sample - m_PrefillRate)
                      : Sample;
  m_WindowStart = m_PromptTime;
  m_StepsInWindow = 0;
  m_PromptTokens = 0;
}

SpeedEstimator::TokenMark SpeedEstimator::mark(BootTime Now) {
  advance(Now);
  return {Now, m_PromptTime};
}

void SpeedEstimator::recordTokens(TokenMark &Last, uint32_t Tokens,
                                  size_t Sequences, BootTime Now) {
  const TokenMark Here = mark(Now);
  const Seconds Gap = Here.At - Last.At;
  const Seconds WithPrompts = Here.PromptTime - Last.PromptTime;
  Last = Here;
  if (Tokens == 0 || Gap.count() <= 0)
    return;
  const Seconds TimePerToken = Gap / Tokens;
  if (WithPrompts.count() > 0) {
    m_StepsInWindow +=
        WithPrompts / Gap * Tokens / std::max<size_t>(Sequences, 1);
    // On a target that always has prompts, only an upper bound is available.
    if (!m_StepIsMeasured && (m_Step.count() == 0 || TimePerToken < m_Step))
      m_Step = TimePerToken;
    return;
  }
  const double Share = 1 - std::pow(1 - StepWeight, Tokens);
  m_Step = m_StepIsMeasured ? m_Step + (TimePerToken - m_Step) * Share
                            : TimePerToken;
  m_StepIsMeasured = true;
}

void SpeedEstimator::reset() {
  m_PrefillRate = 0;
  m_Step = Seconds(0);
  m_StepIsMeasured = false;
  m_WindowStart = m_PromptTime;
  m_StepsInWindow = 0;
  m_PromptTokens = 0;
}

} // namespace figlift::admission
