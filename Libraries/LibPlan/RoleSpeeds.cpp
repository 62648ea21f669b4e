//===- RoleSpeeds.cpp - What an engine achieves in each role ----*- C++ -*-===//
//
// Moving averages for each role and the estimate for roles never seen.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/RoleSpeeds.h"

namespace figlift::plan {

namespace {

constexpr std::array EngineRoles{Role::Prefill, Role::Decode, Role::Mixed};
/// Of a round of reports, about one a second.
constexpr double Weight = 0.05;

void average(double &Known, double Sum, unsigned Count) {
  if (Count == 0)
    return;
  const double New = Sum / Count;
  Known = Known == 0 ? New : Known + Weight * (New - Known);
}

} // namespace

Speeds &RoleSpeeds::of(Role Which) {
  if (Which == Role::Prefill)
    return Prefill;
  return Which == Role::Decode ? Decode : Mixed;
}

const Speeds &RoleSpeeds::of(Role Which) const {
  return const_cast<RoleSpeeds *>(this)->of(Which);
}

void SpeedLearner::observe(const std::vector<TargetState> &Targets) {
  for (const Role Which : EngineRoles) {
    double Prefill = 0, Decode = 0;
    unsigned Prefills = 0, Decodes = 0;
    for (const TargetState &Target : Targets) {
      if (!Target.Live || !Target.Accepting || Target.CurrentRole != Which)
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
    Learned &Known = m_Learned[static_cast<size_t>(Which)];
    average(Known.Prefill, Prefill, Prefills);
    average(Known.Decode, Decode, Decodes);
  }
}

double SpeedLearner::factor(Role Which, bool OfPrefill) const {
  if (Which == Role::Mixed)
    return 1;
  return OfPrefill == (Which == Role::Prefill) ? m_Assumed.OwnWork
                                               : m_Assumed.OtherWork;
}

double SpeedLearner::mixedSpeed(bool OfPrefill) const {
  // Mixed engines first, then those that lean to this work.
  for (const Role Which :
       {Role::Mixed, OfPrefill ? Role::Prefill : Role::Decode,
        OfPrefill ? Role::Decode : Role::Prefill}) {
    const Learned &Known = m_Learned[static_cast<size_t>(Which)];
    if (const double Speed = OfPrefill ? Known.Prefill : Known.Decode;
        Speed > 0)
      return Speed / factor(Which, OfPrefill);
  }
  return OfPrefill ? m_Assumed.Mixed.PrefillTokensPerSecond
                   : m_Assumed.Mixed.DecodeTokensPerSecond;
}

RoleSpeeds SpeedLearner::speeds() const {
  RoleSpeeds Result;
  for (const Role Which : EngineRoles) {
    const Learned &Known = m_Learned[static_cast<size_t>(Which)];
    Speeds &Own = Result.of(Which);
    Own.PrefillTokensPerSecond = Known.Prefill > 0
                                     ? Known.Prefill
                                     : mixedSpeed(true) * factor(Which, true);
    Own.DecodeTokensPerSecond = Known.Decode > 0
                                    ? Known.Decode
                                    : mixedSpeed(false) * factor(Which, false);
  }
  return Result;
}

} // namespace figlift::plan
