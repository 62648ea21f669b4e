//===- FluidModel.h - Predicted value of a split of roles -------*- C++ -*-===//
//
// Treats work as a fluid: prompts queue for prefill, what prefill lets through
// queues for decode. Predicts the useful tokens of a horizon, so that splits
// can be compared, the seconds of an engine lost to a change included.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/PlanTypes.h"
#include "LibPlan/RoleSpeeds.h"

#include <chrono>
#include <optional>

namespace figlift::plan {

/// Engines by role; the sum is what serves.
struct Split {
  unsigned Prefill = 0;
  unsigned Decode = 0;
  unsigned Mixed = 0;

  unsigned &count(Role Which);
  unsigned count(Role Which) const;
  unsigned total() const { return Prefill + Decode + Mixed; }
  bool operator==(const Split &) const = default;
};

struct FluidSettings {
  RoleSpeeds Engines;
  /// Work that waited so long is worth nothing.
  std::chrono::milliseconds Patience{10000};
};

struct Backlog {
  double PrefillTokens = 0;
  double DecodeTokens = 0;
};

/// The engines that serve over time: \p First until \p Start, \p During a
/// change of \p Change, \p After from then on.
struct Scenario {
  Split First;
  Split During;
  Split After;
  std::chrono::milliseconds Start{0};
  std::chrono::milliseconds Change{0};

  const Split &at(std::chrono::duration<double> Time) const;
};

/// Demand that is expected: \p Current as long as it \p Persists, then \p Next
/// and \p Current in turns of \p PhaseLength.
struct Forecast {
  Demand Current;
  Demand Next;
  std::chrono::milliseconds Persists{0};
  std::chrono::milliseconds PhaseLength{0};

  const Demand &at(std::chrono::duration<double> Time) const;
};

/// Useful tokens of the horizon less what waiting cost. A useful token is an
/// output token of answered work, or the prompt tokens of answered work that
/// take a mixed engine as long as one output token.
double predictedValue(const FluidSettings &Settings, const Scenario &Engines,
                      const Forecast &Expected, const Backlog &Waiting,
                      std::chrono::milliseconds Horizon);

} // namespace figlift::plan
