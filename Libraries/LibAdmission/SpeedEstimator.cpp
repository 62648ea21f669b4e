//===- SpeedEstimator.cpp - Measured speeds of a target ---------*- C++ -*-===//
//
// Moving averages of prompt speed and decode step.
//
//===----------------------------------------------------------------------===//

#include "LibAdmission/SpeedEstimator.h"

#include <algorithm>
#include <cmath>

namespace figlift::admission {

namespace {

using Seconds = SpeedEstimator::Seconds;

/// Prompt time of a sample: long enough for a few pieces of prompts.
constexpr Seconds Window{0.25};
/// Of the first sample, so that there is some measurement soon.
constexpr Seconds FirstWindow{0.02};
constexpr double RateWeight = 0.2;
constexpr double StepWeight = 0.05;
/// Decode steps can explain at most this part of the prompts' time; more is
/// an estimate of the step that is out of date.
constexpr double MaximumDecodePart = 0.8;

} // namespace

void SpeedEstimator::advance(BootTime Now) {
  if (m_PromptsWait && Now > m_Since)
    m_PromptTime += Now - m_Since;
  m_Since = Now;
}

void SpeedEstimator::promptsWait(bool Any, BootTime Now) {
  advance(Now);
  m_PromptsWait = Any;
}

void SpeedEstimator::promptDone(uint64_t ComputedTokens, BootTime Now) {
  advance(Now);
  m_PromptTokens += ComputedTokens;
  const Seconds Time = m_PromptTime - m_WindowStart;
  if (m_PromptTokens == 0 || Time < (m_PromptRate > 0 ? Window : FirstWindow))
    return;
  // An upper bound of the step contains prompts itself.
  const Seconds Decode = m_StepIsMeasured ? std::min(m_Step * m_StepsMeanwhile,
                                                     Time * MaximumDecodePart)
                                          : Seconds(0);
  const double Sample = m_PromptTokens / (Time - Decode).count();
  m_PromptRate = m_PromptRate > 0
                     ? m_PromptRate + RateWeight * (Sample - m_PromptRate)
                     : Sample;
  m_WindowStart = m_PromptTime;
  m_StepsMeanwhile = 0;
  m_PromptTokens = 0;
}

SpeedEstimator::TokenMark SpeedEstimator::mark(BootTime Now) {
  advance(Now);
  return {Now, m_PromptTime};
}

void SpeedEstimator::tokensDone(TokenMark &Last, uint32_t Tokens,
                                size_t Sequences, BootTime Now) {
  const TokenMark Here = mark(Now);
  const Seconds Gap = Here.At - Last.At;
  const Seconds WithPrompts = Here.PromptTime - Last.PromptTime;
  Last = Here;
  if (Tokens == 0 || Gap.count() <= 0)
    return;
  const Seconds Each = Gap / Tokens;
  if (WithPrompts.count() > 0) {
    m_StepsMeanwhile +=
        WithPrompts / Gap * Tokens / std::max<size_t>(Sequences, 1);
    // An upper bound is better than nothing on a target that is never without
    // prompts.
    if (!m_StepIsMeasured && (m_Step.count() == 0 || Each < m_Step))
      m_Step = Each;
    return;
  }
  const double Share = 1 - std::pow(1 - StepWeight, Tokens);
  m_Step = m_StepIsMeasured ? m_Step + (Each - m_Step) * Share : Each;
  m_StepIsMeasured = true;
}

void SpeedEstimator::forget() {
  m_PromptRate = 0;
  m_Step = Seconds(0);
  m_StepIsMeasured = false;
  m_WindowStart = m_PromptTime;
  m_StepsMeanwhile = 0;
  m_PromptTokens = 0;
}

} // namespace figlift::admission
