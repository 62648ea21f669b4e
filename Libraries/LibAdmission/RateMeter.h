//===- RateMeter.h - Measured speeds of a target ----------------*- C++ -*-===//
//
// Moving averages from the agent's own observations. Speeds differ by role,
// model and load, so none is configured.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstdint>

namespace figlift::admission {

/// Prompt tokens each second while prompts wait. The answer of several prompts
/// may come in one batch, so tokens are gathered over a window of busy time
/// before they count as a sample.
class PrefillMeter {
public:
  /// Prompts wait at the target from now on, or no longer.
  void busy(bool Waiting, BootTime Now);
  void completed(uint64_t Tokens, BootTime Now);
  /// 0 before the first sample.
  double tokensPerSecond() const { return m_Rate; }
  void forget();

private:
  void accumulate(BootTime Now);

  static constexpr double Weight = 0.25;
  static constexpr std::chrono::milliseconds MinimumWindow{50};

  bool m_Busy = false;
  BootTime m_Since;
  std::chrono::nanoseconds m_BusyTime{0};
  uint64_t m_Tokens = 0;
  double m_Rate = 0;
};

/// Time of one token of one sequence.
class TokenTimeMeter {
public:
  void observed(uint32_t Tokens, std::chrono::nanoseconds Time);
  /// 0 before the first observation.
  std::chrono::duration<double> tokenTime() const { return m_Time; }
  void forget() { m_Time = {}; }

private:
  static constexpr double Weight = 0.05;

  std::chrono::duration<double> m_Time{0};
};

} // namespace figlift::admission
