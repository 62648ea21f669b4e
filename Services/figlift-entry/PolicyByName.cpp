//===- PolicyByName.cpp - Policies named in the settings ------------------===//
//
// See PolicyByName.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/PolicyByName.h"

namespace figlift::entry {

route::Policy routingArm(std::string_view Name) {
  if (Name == "random")
    return route::RandomPolicy{};
  if (Name == "round-robin")
    return route::RoundRobinPolicy{};
  if (Name == "least-loaded")
    return route::LeastLoadedPolicy{};
  route::FigliftPolicy Own;
  Own.PrefixAwareness = Name != "without-prefix";
  Own.InFlightCorrection = Name != "without-in-flight";
  Own.EarlyRefusal = Name != "without-refusal";
  Own.ClassPriorities = Name != "without-classes";
  return Own;
}

plan::PlanPolicy roleArm(std::string_view Name) {
  if (Name == "static")
    return plan::StaticPlan{};
  if (Name == "threshold")
    return plan::ThresholdPlan{};
  return plan::FigliftPlan{};
}

} // namespace figlift::entry
