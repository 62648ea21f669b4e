//===- FluidModel.h - Predicted value of a split of roles -------*- C++ -*-===//
//
// Treats work as a fluid: prompts queue for prefill, what prefill lets through
// queues for decode. Predicts the useful tokens of a horizon, so that splits
// can be compared, the seconds of an engine lost to a change included.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/PlanTypes.h"

#include <chrono>
#include <optional>

namespace figlift::plan {

/// Engines by role; the sum is what serves.
struct Split {
  unsigned Prefill = 0;
  unsigned Decode = 0;
  unsigned Mixed = 0;

  unsigned &count(Role Which);
  unsigned total() const { return Prefill + Decode + Mixed; }
  bool operator==(const Split &) const = default;
};

struct FluidSettings {
  /// Tokens each second of one engine that does nothing else.
  double PrefillTokensPerSecond = 8000;
  double DecodeTokensPerSecond = 1000;
  /// Part of its time that an engine of a leaning role gives to the other
  /// kind of work.
  double OtherWorkShare = 0.1;
  /// Mixed engines divide their time as needed, and lose some to long prompts
  /// that hold up decoding.
  double MixedEfficiency = 0.85;
  /// Work that waited so long is worth nothing.
  std::chrono::milliseconds Patience{10000};
};

struct Backlog {
  double PrefillTokens = 0;
  double DecodeTokens = 0;
};

/// The engines that serve from \p Change on, and before it.
struct Scenario {
  Split Before;
  Split After;
  std::chrono::milliseconds Change{0};
};

/// Demand that is expected: \p Current as long as it \p Persists, then the
/// long-run \p Average.
struct Forecast {
  Demand Current;
  Demand Average;
  std::chrono::milliseconds Persists{0};
};

/// Useful tokens of the horizon less what waiting cost. A useful token is an
/// output token of answered work, or the prompt tokens of answered work that
/// take an engine as long as one output token.
double predictedValue(const FluidSettings &Settings, const Scenario &Engines,
                      const Forecast &Expected, const Backlog &Waiting,
                      std::chrono::milliseconds Horizon);

} // namespace figlift::plan
