//===- RoleSpeeds.cpp - Speeds of an engine in each role --------*- C++ -*-===//
//
// Moving averages for each role, and estimates for roles without measurements.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/RoleSpeeds.h"

namespace figlift::plan {

namespace {

constexpr std::array EngineRoles{Role::Prefill, Role::Decode, Role::Mixed};
/// Weight of one round of reports, which arrive about once a second.
constexpr double Weight = 0.05;

void average(double &Average, double Sum, unsigned Count) {
  if (Count == 0)
    return;
  const double New = Sum / Count;
  Average = Average == 0 ? New : Average + Weight * (New - Average);
}

} // namespace

Speeds &RoleSpeeds::of(Role EngineRole) {
  if (EngineRole == Role::Prefill)
    return Prefill;
  return EngineRole == Role::Decode ? Decode : Mixed;
}

const Speeds &RoleSpeeds::of(Role EngineRole) const {
  return const_cast<RoleSpeeds *>(this)->of(EngineRole);
}

void RoleSpeedEstimator::observe(const std::vector<TargetState> &Targets) {
  for (const Role EngineRole : EngineRoles) {
    double Prefill = 0, Decode = 0;
    unsigned Prefills = 0, Decodes = 0;
    for (const TargetState &Target : Targets) {
      if (!Target.Live || !Target.Accepting || Target.CurrentRole != EngineRole)
        continue;
      if (Target.Load.PrefillTokensPerSecond > 0) {
        Prefill += Target.Load.PrefillTokensPerSecond;
        ++Prefills;
      }
      if (Target.Load.DecodeTokensPerSecond > 0) {
        Decode += Target.Load.DecodeTokensPerSecond;
        ++Decodes;
      }
    }
    MeasuredSpeeds &Measured = m_Measured[static_cast<size_t>(EngineRole)];
    average(Measured.Prefill, Prefill, Prefills);
    average(Measured.Decode, Decode, Decodes);
  }
}

double RoleSpeedEstimator::factor(Role EngineRole, bool IsPrefill) const {
  if (EngineRole == Role::Mixed)
    return 1;
  return IsPrefill == (EngineRole == Role::Prefill) ? m_Assumed.MatchingWork
                                                    : m_Assumed.OtherWork;
}

double RoleSpeedEstimator::mixedSpeed(bool IsPrefill) const {
  // Prefer measurements of mixed engines, then those of engines whose role
  // matches this work.
  for (const Role EngineRole :
       {Role::Mixed, IsPrefill ? Role::Prefill : Role::Decode,
        IsPrefill ? Role::Decode : Role::Prefill}) {
    const MeasuredSpeeds &Measured =
        m_Measured[static_cast<size_t>(EngineRole)];
    if (const double Speed = IsPrefill ? Measured.Prefill : Measured.Decode;
        Speed > 0)
      return Speed / factor(EngineRole, IsPrefill);
  }
  return IsPrefill ? m_Assumed.Mixed.PrefillTokensPerSecond
                   : m_Assumed.Mixed.DecodeTokensPerSecond;
}

RoleSpeeds RoleSpeedEstimator::speeds() const {
  RoleSpeeds Result;
  for (const Role EngineRole : EngineRoles) {
    const MeasuredSpeeds &Measured =
        m_Measured[static_cast<size_t>(EngineRole)];
    Speeds &RoleSpeed = Result.of(EngineRole);
    RoleSpeed.PrefillTokensPerSecond =
        Measured.Prefill > 0 ? Measured.Prefill
                             : mixedSpeed(true) * factor(EngineRole, true);
    RoleSpeed.DecodeTokensPerSecond =
        Measured.Decode > 0 ? Measured.Decode
                            : mixedSpeed(false) * factor(EngineRole, false);
  }
  return Result;
}

} // namespace figlift::plan
