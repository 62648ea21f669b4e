//===- FluidModel.h - Predicted value of a role assignment ------*- C++ -*-===//
//
// Fluid model of the work: prompts queue for prefill, and the output of prefill
// queues for decode. Predicts the useful tokens produced within a horizon, so
// that assignments of roles can be compared. This includes the engine time that
// a role change costs.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/PlanTypes.h"
#include "LibPlan/RoleSpeeds.h"

#include <chrono>
#include <optional>

namespace figlift::plan {

/// Number of serving engines in each role.
struct RoleCounts {
  unsigned Prefill = 0;
  unsigned Decode = 0;
  unsigned Mixed = 0;

  unsigned &count(Role EngineRole);
  unsigned count(Role EngineRole) const;
  unsigned total() const { return Prefill + Decode + Mixed; }
  bool operator==(const RoleCounts &) const = default;
};

struct FluidSettings {
  RoleSpeeds Engines;
  /// Work that has waited for this time has no value.
  std::chrono::milliseconds MaximumWait{10000};
};

struct Backlog {
  double PrefillTokens = 0;
  double DecodeTokens = 0;
};

/// The engines that serve over time: before, during and after a role change.
struct Scenario {
  RoleCounts BeforeChange;
  RoleCounts DuringChange;
  RoleCounts AfterChange;
  std::chrono::milliseconds ChangeStart{0};
  std::chrono::milliseconds ChangeDuration{0};

  const RoleCounts &at(std::chrono::duration<double> Time) const;
};

/// Expected demand: \p Current for \p CurrentDuration, then \p Next and
/// \p Current alternately, each for \p PhaseLength.
struct Forecast {
  Demand Current;
  Demand Next;
  std::chrono::milliseconds CurrentDuration{0};
  std::chrono::milliseconds PhaseLength{0};

  const Demand &at(std::chrono::duration<double> Time) const;
};

/// Returns the useful tokens produced within the horizon minus a cost for
/// waiting work. A useful token is an output token of answered work, or the
/// number of prompt tokens of answered work that take a mixed engine as long as
/// one output token.
double predictedValue(const FluidSettings &Settings, const Scenario &Engines,
                      const Forecast &ExpectedDemand, const Backlog &Waiting,
                      std::chrono::milliseconds Horizon);

} // namespace figlift::plan
