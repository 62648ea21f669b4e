//===- PrefillSpill.h - Prompts that decode engines prefill -----*- C++ -*-===//
//
// In a burst of long prompts, decode engines have free slots while prompts wait
// at the prefill engines, longer than they can. Whether such a prompt is in
// time at a decode engine depends on the engines and on the other work there,
// so the share of prompts that are placed so follows their outcomes.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <algorithm>
#include <chrono>

namespace figlift::dispatch {

/// For one service. The share increases by a fixed step with each prompt that
/// is in time, and decreases by a factor with each that is late, so that it
/// falls within a few late prompts.
class PrefillSpill {
public:
  /// Share of the prompts that wait at all prefill engines which may be
  /// prefilled at a decode engine.
  double share() const { return m_Share; }

  /// A prompt is being placed so.
  void recordPlaced(BootTime Now) { m_PlacedAt = Now; }
  /// Whether prompts were placed so lately. Streams at decode
  /// engines then last longer, which looks like demand for more decode engines;
  /// a prefill engine that became one would make more prompts late.
  bool isPrefillShort(BootTime Now) const {
    return m_PlacedAt != BootTime{} && Now - m_PlacedAt < Memory;
  }

  /// A prompt that was placed so got its first event.
  void recordSpilled(bool InTime) {
    m_Share = InTime ? std::min(1.0, m_Share + Increase)
                     : std::max(MinimumShare, m_Share * DecreaseFactor);
  }
  /// A small prompt, which decode engines always prefill, got its first event
  /// late: the prompts in front of it delay it.
  void recordLateSmallPrompt() {
    m_Share = std::max(MinimumShare, m_Share * DecreaseFactor);
  }

private:
  static constexpr double Increase = 0.05;
  static constexpr double DecreaseFactor = 0.8;
  /// A few prompts are always placed so, to notice when it works again.
  static constexpr double MinimumShare = 0.02;

  static constexpr std::chrono::seconds Memory{3};

  double m_Share = 0.5;
  BootTime m_PlacedAt{};
};

} // namespace figlift::dispatch
