//===- RoleSpeeds.h - What an engine achieves in each role ------*- C++ -*-===//
//
// Learned from the engines' own measurements. A role that no engine has had
// yet is estimated from the others by assumed factors.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/PlanTypes.h"

#include <array>
#include <vector>

namespace figlift::plan {

/// Of one engine that does nothing else.
struct Speeds {
  double PrefillTokensPerSecond = 8000;
  double DecodeTokensPerSecond = 1000;
};

/// Speeds by role.
struct RoleSpeeds {
  Speeds Prefill;
  Speeds Decode;
  Speeds Mixed;

  Speeds &of(Role Which);
  const Speeds &of(Role Which) const;
};

struct SpeedAssumptions {
  Speeds Mixed;
  /// How much faster a leaning role does its own work than a mixed engine...
  double OwnWork = 1.5;
  /// ...and how much slower the other work.
  double OtherWork = 0.4;
};

class SpeedLearner {
public:
  explicit SpeedLearner(SpeedAssumptions Assumed = {}) : m_Assumed(Assumed) {}

  void observe(const std::vector<TargetState> &Targets);
  RoleSpeeds speeds() const;

private:
  /// Moving averages; 0: never measured in this role.
  struct Learned {
    double Prefill = 0;
    double Decode = 0;
  };
  double factor(Role Which, bool OfPrefill) const;
  double mixedSpeed(bool OfPrefill) const;

  SpeedAssumptions m_Assumed;
  std::array<Learned, 3> m_Learned;
};

} // namespace figlift::plan
