//===- PolicyByName.cpp - Policies named in the settings ------------------===//
//
// See PolicyByName.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/PolicyByName.h"

namespace figlift::entry {

route::Policy routingPolicyByName(std::string_view Name) {
  if (Name == "random")
    return route::RandomPolicy{};
  if (Name == "round-robin")
    return route::RoundRobinPolicy{};
  if (Name == "least-loaded")
    return route::LeastLoadedPolicy{};
  route::FigliftPolicy Policy;
  Policy.PrefixAwareness = Name != "without-prefix";
  Policy.InFlightCorrection = Name != "without-in-flight";
  Policy.EarlyRefusal = Name != "without-refusal";
  Policy.ClassPriorities = Name != "without-classes";
  return Policy;
}

plan::PlanPolicy rolePolicyByName(std::string_view Name) {
  if (Name == "static")
    return plan::StaticPlan{};
  if (Name == "threshold")
    return plan::ThresholdPlan{};
  return plan::FigliftPlan{};
}

} // namespace figlift::entry
