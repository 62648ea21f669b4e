//===- RoleSpeeds.h - Speeds of an engine in each role ----------*- C++ -*-===//
//
// Averages of the engines' measurements. The speeds of a role that no engine
// has had yet are estimated from the other roles with assumed factors.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/PlanTypes.h"

#include <array>
#include <vector>

namespace figlift::plan {

/// Speeds of one engine, each measured without the other kind of work.
struct Speeds {
  double PrefillTokensPerSecond = 8000;
  double DecodeTokensPerSecond = 1000;
};

/// Speeds by role.
struct RoleSpeeds {
  Speeds Prefill;
  Speeds Decode;
  Speeds Mixed;

  Speeds &of(Role EngineRole);
  const Speeds &of(Role EngineRole) const;
};

struct SpeedAssumptions {
  Speeds Mixed;
  /// Speed of a prefill or decode engine at the work of its role, relative to a
  /// mixed engine.
  double MatchingWork = 1.5;
  /// The same for the other kind of work.
  double OtherWork = 0.4;
};

class RoleSpeedEstimator {
public:
  explicit RoleSpeedEstimator(SpeedAssumptions Assumed = {})
      : m_Assumed(Assumed) {}

  void observe(const std::vector<TargetState> &Targets);
  RoleSpeeds speeds() const;

private:
  /// Moving averages; 0 if the role has no measurement.
  struct MeasuredSpeeds {
    double Prefill = 0;
    double Decode = 0;
  };
  double factor(Role EngineRole, bool IsPrefill) const;
  double mixedSpeed(bool IsPrefill) const;

  SpeedAssumptions m_Assumed;
  std::array<MeasuredSpeeds, 3> m_Measured;
};

} // namespace figlift::plan
